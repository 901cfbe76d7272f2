/**
 * Follows the stored configuration and reports each higher version once. The
 * watch brings changes promptly; reads at growing intervals cover what it may
 * miss.
 */
import type {
  Clock,
  KeyValue,
  KeyValueStore,
  PlatformError,
  StoredConfig,
  Undo,
} from '@toucanrouter/common';
import {configKey, maxRefreshMs, minRefreshMs} from './ConfigStoreConstants.js';
import {decodeConfig} from './ConfigStoreUtils.js';

/** Parameters of a configuration watch. */
export interface ConfigWatchOptions {
  readonly store: KeyValueStore;
  readonly clock: Clock;
  readonly onConfig: (config: StoredConfig) => void;
  /** Called when a read fails or the stored value is no configuration. */
  readonly onError: (error: PlatformError) => void;
}

/** Starts to follow the configuration; the returned function ends it. */
export function startConfigWatch(options: ConfigWatchOptions): Undo {
  let stopped = false;
  let reportedVersion = 0;
  let refreshMs = minRefreshMs;
  let stopTimer: Undo = () => {};

  function offer(entry: KeyValue | undefined): void {
    decodeConfig(entry).match(config => {
      if (stopped || config === undefined) return;
      if (config.version <= reportedVersion) return;
      reportedVersion = config.version;
      options.onConfig(config);
    }, report);
  }

  function report(error: PlatformError): void {
    if (!stopped) options.onError(error);
  }

  function refresh(): void {
    void options.store
      .get(configKey)
      .match(offer, report)
      .then(() => {
        if (stopped) return;
        stopTimer = options.clock.after(refreshMs, refresh);
        refreshMs = Math.min(refreshMs * 2, maxRefreshMs);
      });
  }

  const stopWatch = options.store.watch(configKey, events => {
    for (const {key, entry} of events) if (key === configKey) offer(entry);
  });
  refresh();
  return () => {
    stopped = true;
    stopTimer();
    stopWatch();
  };
}
