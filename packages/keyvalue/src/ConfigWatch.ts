/**
 * Follows the stored configuration and reports each higher version once. A
 * watch reports changes promptly, and polls at growing intervals find changes
 * that it misses. If the store turns out to lack the configuration in force, it
 * is brought up to it.
 */
import type {
  Clock,
  KeyValue,
  KeyValueStore,
  PlatformError,
  StoredConfig,
  Undo,
} from '@toucanrouter/common';
import type {ResultAsync} from 'neverthrow';
import {isBehind} from './ConfigRestore.js';
import {
  configKey,
  maxPollIntervalMs,
  minPollIntervalMs,
} from './ConfigStoreConstants.js';
import {decodeConfig} from './ConfigStoreUtils.js';

export interface ConfigWatchOptions {
  readonly store: KeyValueStore;
  readonly clock: Clock;
  readonly inForce: () => StoredConfig | undefined;
  /** Writes what the store lacks of the configuration in force. */
  readonly catchUp: () => ResultAsync<void, PlatformError>;
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
  let catchingUp = false;
  /** Only the newest poll schedules the next one. */
  let pollCount = 0;

  function handleEntry(entry: KeyValue | undefined): void {
    decodeConfig(entry).match(config => {
      if (stopped) return;
      if (isBehind(config, options.inForce())) catchUp();
      if (config === undefined) return;
      if (config.version <= reportedVersion) return;
      reportedVersion = config.version;
      options.onConfig(config);
    }, reportError);
  }

  function reportError(error: PlatformError): void {
    if (!stopped) options.onError(error);
  }

  function catchUp(): void {
    if (catchingUp) return;
    catchingUp = true;
    void options
      .catchUp()
      .match(() => {}, reportError)
      .then(() => {
        catchingUp = false;
        pollAfterMin();
      });
  }

  function poll(): void {
    const own = ++pollCount;
    void options.store
      .get(configKey)
      .match(handleEntry, reportError)
      .then(() => {
        if (stopped || own !== pollCount) return;
        stopTimer = options.clock.after(pollIntervalMs, poll);
        pollIntervalMs = Math.min(pollIntervalMs * 2, maxPollIntervalMs);
      });
  }

  /** Polls often again, since something may have been missed. */
  function pollAfterMin(): void {
    if (stopped) return;
    pollCount++;
    stopTimer();
    pollIntervalMs = minPollIntervalMs;
    stopTimer = options.clock.after(pollIntervalMs, poll);
  }

  const stopWatch = options.store.watch(configKey, events => {
    for (const {key, entry} of events)
      if (key === configKey) handleEntry(entry);
  });
  const unregisterHistory = options.store.registerHistoryHandler(pollAfterMin);
  poll();
  return () => {
    stopped = true;
    unregisterHistory();
    stopTimer();
    stopWatch();
  };
}
