/**
 * Synchronizes the configuration, upstreams and peers with the store, and tracks
 * the age of the configuration. It reads a full snapshot once and then follows
 * changes. A minimum interval bounds the number of calls, since many upstreams
 * write often.
 */
import type {Clock} from '@toucanrouter/common';
import {delay} from '@toucanrouter/common';
import type {Logger} from '@toucanrouter/logging';
import type {ActiveConfig} from '../config/ActiveConfig.js';
import type {ConfigAge, TimeMark} from '../config/ConfigAge.js';
import type {PeerDirectory} from '../peers/PeerDirectory.js';
import type {UpstreamRegistry} from '../upstreams/UpstreamRegistry.js';
import type {StateChange, StateStore} from './StateStore.js';

/** Options of the synchronization. */
export interface StateSyncOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly store: StateStore;
  readonly config: ActiveConfig;
  readonly configAge: ConfigAge;
  readonly registry: UpstreamRegistry;
  readonly peers: PeerDirectory;
  /** Minimum time between calls; a change arrives within about this time. */
  readonly minCallIntervalMs: () => number;
}

/** Follows the state in the store until it is closed. */
export interface StateSync {
  start(): void;
  /** Verifies with the store that the newest configuration is in force. */
  confirmConfig(): Promise<void>;
  /** True while the last call to the store succeeded. */
  connected(): boolean;
  close(): void;
}

/**
 * Longest wait of a watch call. Without changes, the configuration is confirmed
 * once per wait.
 */
const watchWaitMs = 1_000;
/** Time after the end of its wait at which a watch call is cancelled. */
const responseTimeoutMs = 700;
const readAllTimeoutMs = 1_500;
/** Calls during an outage are short, to notice its end early. */
const probeTimeoutMs = 600;
const initialProbeDelayMs = 250;
/** The number of failed calls is bounded too, so probes back off in an outage. */
const maxProbeDelayMs = 1_000;
const confirmTimeoutMs = 400;
/** Minimum time between confirmations that requests trigger. */
const minConfirmIntervalMs = 200;

function probeDelayMs(consecutiveFailures: number): number {
  const backoffMs = initialProbeDelayMs * 2 ** (consecutiveFailures - 1);
  return Math.min(backoffMs, maxProbeDelayMs);
}

/** Creates a synchronization that has not started. */
export function createStateSync(options: StateSyncOptions): StateSync {
  const {clock, config, configAge, logger, peers, registry, store} = options;
  let revision: number | undefined;
  let connected = false;
  let everConnected = false;
  let closed = false;
  let confirming: Promise<void> | undefined;
  let lastConfirmAtMs = -Infinity;
  let consecutiveFailures = 0;

  function apply(change: StateChange): void {
    switch (change.kind) {
      case 'config':
        config.applyIfNewer(change.config);
        return;
      case 'upstream':
        registry.put(change.entry);
        return;
      case 'upstream_removed':
        registry.remove(change.id);
        return;
      case 'peer':
        peers.put(change.entry);
        return;
      case 'peer_removed':
        peers.remove(change.id);
        return;
      case 'unreadable':
        logger.warn('a value in the store cannot be decoded and is not used', {
          key: change.key,
          reason: change.reason,
        });
        if (change.id !== undefined) registry.remove(change.id);
    }
  }

  function applyAll(changes: readonly StateChange[]): void {
    const entries = changes.flatMap(change =>
      change.kind === 'upstream' ? [change.entry] : [],
    );
    changes.filter(({kind}) => kind !== 'upstream').forEach(apply);
    registry.replaceAll(entries);
  }

  function onStoreResponse(mark: TimeMark): void {
    configAge.confirmed(mark);
    if (connected) return;
    connected = true;
    registry.storeRegained();
    logger.info(everConnected ? 'store regained' : 'store connected', {
      revision,
      configVersion: config.current()?.version,
    });
    everConnected = true;
  }

  function onStoreFailure(reason: string): void {
    registry.storeLost();
    if (!connected) return;
    connected = false;
    logger.warn('store lost', {
      reason,
      configAgeMs: Math.round(configAge.ageMs()),
      configVersion: config.current()?.version,
    });
  }

  async function readAll(): Promise<boolean> {
    const mark = configAge.mark();
    const update = await store.readAll(
      everConnected && !connected ? probeTimeoutMs : readAllTimeoutMs,
    );
    if (update.isErr()) {
      onStoreFailure(update.error.message);
      return false;
    }
    onStoreResponse(mark);
    applyAll(update.value.changes);
    revision = update.value.revision;
    return true;
  }

  async function readChanges(after: number): Promise<boolean> {
    const mark = configAge.mark();
    const update = await store.readChanges(
      after,
      connected ? watchWaitMs : 0,
      connected ? watchWaitMs + responseTimeoutMs : probeTimeoutMs,
    );
    if (update.isErr()) {
      onStoreFailure(update.error.message);
      return false;
    }
    if (update.value === 'compacted') {
      logger.info('the store compacted its history; reading a full snapshot', {
        after,
      });
      revision = undefined;
      return true;
    }
    onStoreResponse(mark);
    update.value.changes.forEach(apply);
    revision = update.value.revision;
    return true;
  }

  async function run(): Promise<void> {
    while (!closed) {
      const startedAtMs = clock.nowMs();
      const succeeded =
        revision === undefined ? await readAll() : await readChanges(revision);
      if (closed) return;
      consecutiveFailures = succeeded ? 0 : consecutiveFailures + 1;
      if (!succeeded) await delay(clock, probeDelayMs(consecutiveFailures));
      else if (revision !== undefined) {
        await delay(
          clock,
          Math.max(
            0,
            options.minCallIntervalMs() - (clock.nowMs() - startedAtMs),
          ),
        );
      }
    }
  }

  async function confirm(): Promise<void> {
    const mark = configAge.mark();
    const latest = await store.readConfig(confirmTimeoutMs);
    lastConfirmAtMs = clock.nowMs();
    if (latest.isErr()) {
      logger.warn('confirming the configuration failed', {
        reason: latest.error.message,
        configAgeMs: Math.round(configAge.ageMs()),
      });
      return;
    }
    if (latest.value !== undefined) config.applyIfNewer(latest.value);
    configAge.confirmed(mark);
  }

  return {
    start: () => void run(),
    connected: () => connected,
    confirmConfig: () => {
      // During an outage the probes detect when the store is back.
      const probing = everConnected && !connected;
      if (probing || clock.nowMs() - lastConfirmAtMs < minConfirmIntervalMs) {
        return Promise.resolve();
      }
      confirming ??= confirm().finally(() => {
        confirming = undefined;
      });
      return confirming;
    },
    close: () => {
      closed = true;
    },
  };
}
