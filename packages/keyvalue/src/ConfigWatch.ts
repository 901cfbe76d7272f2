/**
 * Follows the stored configuration and reports each higher version once. A
 * watch reports changes promptly, and polls at growing intervals find changes
 * that it misses.
 */
import type {
  Clock,
  KeyValue,
  KeyValueStore,
  PlatformError,
  StoredConfig,
  Undo,
} from '@toucanrouter/common';
import {
  configKey,
  maxPollIntervalMs,
  minPollIntervalMs,
} from './ConfigStoreConstants.js';
import {decodeConfig} from './ConfigStoreUtils.js';

export interface ConfigWatchOptions {
  readonly store: KeyValueStore;
  readonly clock: Clock;
  readonly onConfig: (config: StoredConfig) => void;
  /** Called when a read fails or the stored value is not valid. */
  readonly onError: (error: PlatformError) => void;
}

/** Starts following the configuration. The returned function stops it. */
export function startConfigWatch(options: ConfigWatchOptions): Undo {
  let stopped = false;
  let reportedVersion = 0;
  let pollIntervalMs = minPollIntervalMs;
  let stopTimer: Undo = () => {};

  function handleEntry(entry: KeyValue | undefined): void {
    decodeConfig(entry).match(config => {
      if (stopped || config === undefined) return;
      if (config.version <= reportedVersion) return;
      reportedVersion = config.version;
      options.onConfig(config);
    }, reportError);
  }

  function reportError(error: PlatformError): void {
    if (!stopped) options.onError(error);
  }

  function poll(): void {
    void options.store
      .get(configKey)
      .match(handleEntry, reportError)
      .then(() => {
        if (stopped) return;
        stopTimer = options.clock.after(pollIntervalMs, poll);
        pollIntervalMs = Math.min(pollIntervalMs * 2, maxPollIntervalMs);
      });
  }

  const stopWatch = options.store.watch(configKey, events => {
    for (const {key, entry} of events)
      if (key === configKey) handleEntry(entry);
  });
  poll();
  return () => {
    stopped = true;
    stopTimer();
    stopWatch();
  };
}
