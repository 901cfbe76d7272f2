/**
 * Obtains the operators' configuration: at startup from the platform or from
 * peers, later by a watch that only a few instances of a region keep, so that
 * the platform's load does not grow with the fleet.
 */
import type {Clock, Undo} from '@toucanrouter/common';
import {delay} from '@toucanrouter/common';
import type {ConfigStore} from '@toucanrouter/keyvalue';
import type {Logger} from '@toucanrouter/logging';
import type {ConfigHolder} from './ConfigHolder.js';
import type {Fleet} from './Fleet.js';

/** Number of instances per region that watch the platform. */
const watchersPerRegion = 2;

const watchResource = 'configuration watch';
const initialReadRetryDelayMs = 200;

/** If the platform is unavailable, peers have this long to send a version. */
const peerConfigDelayMs = 500;

/** Keeps the configuration current. */
export interface ConfigSource {
  /** Resolves once the configuration in force is known. */
  start(): Promise<void>;
  close(): void;
}

/** Creates the source of an instance's configuration. */
export function createConfigSource(
  clock: Clock,
  logger: Logger,
  fleet: Fleet,
  holder: ConfigHolder,
  store: ConfigStore,
): ConfigSource {
  let stopWatch: Undo | undefined;
  let unregisterViewHandler: Undo | undefined;
  let closed = false;

  function updateWatch(): void {
    const rank = fleet.rank(watchResource);
    const shouldWatch = rank >= 0 && rank < watchersPerRegion;
    if (shouldWatch && stopWatch === undefined) {
      stopWatch = store.watchConfig(holder.offer);
    } else if (!shouldWatch && stopWatch !== undefined) {
      stopWatch();
      stopWatch = undefined;
    }
  }

  async function readInitialConfig(): Promise<void> {
    const startedAtMs = clock.nowMs();
    while (!closed) {
      const result = await store.read();
      if (result.isOk()) {
        if (result.value !== undefined) holder.offer(result.value);
        return;
      }
      const waitedMs = clock.nowMs() - startedAtMs;
      if (holder.inForce().version > 0 && waitedMs >= peerConfigDelayMs) {
        logger.warn(
          'the platform is unavailable; using configuration of peers',
          {
            version: holder.inForce().version,
          },
        );
        return;
      }
      await delay(clock, initialReadRetryDelayMs);
    }
  }

  return {
    start: async () => {
      unregisterViewHandler = fleet.registerViewHandler(updateWatch);
      updateWatch();
      await readInitialConfig();
    },
    close: () => {
      closed = true;
      unregisterViewHandler?.();
      stopWatch?.();
    },
  };
}
