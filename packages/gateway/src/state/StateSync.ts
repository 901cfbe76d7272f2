/**
 * Synchronizes the configuration, upstreams and peers with the store, and tracks
 * the age of the configuration. It reads a full snapshot once and then follows
 * changes: through another instance of the failure domain where there is one,
 * and else from the store itself, with a minimum interval that bounds the number
 * of calls.
 */
import type {Clock, InstanceId, UpstreamId} from '@toucanrouter/common';
import {delay} from '@toucanrouter/common';
import type {Logger} from '@toucanrouter/logging';
import type {SegmentHash} from '@toucanrouter/policy';
import type {ActiveConfig} from '../config/ActiveConfig.js';
import type {ConfigAge, TimeMark} from '../config/ConfigAge.js';
import {shiftMark} from '../config/ConfigAge.js';
import type {PeerDirectory, PeerEntry} from '../peers/PeerDirectory.js';
import type {UpstreamRegistry} from '../upstreams/UpstreamRegistry.js';
import type {RelayClient} from './RelayClient.js';
import type {StateLog} from './StateLog.js';
import {relayRole} from './StateRelay.js';
import type {StoreHistory} from './StoreHistory.js';
import type {
  StateChange,
  StateStore,
  StoredItem,
  StoredVerdict,
  StoreEra,
} from './StateStore.js';
import type {
  EndedAbsence,
  ObservedRenewals,
  StoreAbsence,
} from './StoreAbsence.js';
import {createStoreAbsenceJudge} from './StoreAbsence.js';

/** Options of the synchronization. */
export interface StateSyncOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly instanceId: InstanceId;
  readonly failureDomain: string;
  readonly store: StateStore;
  readonly relays: Pick<RelayClient, 'read'>;
  readonly log: StateLog;
  readonly history: StoreHistory;
  readonly config: ActiveConfig;
  readonly configAge: ConfigAge;
  readonly registry: UpstreamRegistry;
  readonly peers: PeerDirectory;
  readonly onVerdict: (verdict: StoredVerdict) => void;
  readonly onVerdictRemoved: (segment: SegmentHash) => void;
  /** Time within which a change in the store must be in force. */
  readonly changeDelayMs: () => number;
}

/** Follows the state in the store until it is closed. */
export interface StateSync {
  start(): void;
  /** Verifies with the store that the newest configuration is in force. */
  confirmConfig(): Promise<void>;
  /** True while the last read of the state succeeded. */
  connected(): boolean;
  /** The last absence of the store that may have made entries expire. */
  lastAbsence(): EndedAbsence | undefined;
  close(): void;
}

/**
 * Minimum time between calls to the store, as a share of the delay within which
 * changes must be in force. A longer one saves calls, but one lost response must
 * not exceed the delay. Instances that read for others call more often.
 */
const callIntervalShare = 0.5;
const relayCallIntervalShare = 0.25;
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
/** Waits at another instance are short, so that its silence is noticed soon. */
const relayWaitMs = 600;
const relayTimeoutMs = relayWaitMs + 300;
/**
 * Oldest confirmation that is accepted from another instance, as a share of the
 * delay within which changes must be in force. Beyond it, that instance may have
 * lost the store without having noticed.
 */
const maxRelayAgeShare = 0.5;
/** Minimum time between reads from another instance. */
const minRelayIntervalMs = 100;
/** An instance that failed to respond is not asked for this time. */
const relayBackoffMs = 3_000;

function toErrorText(error: unknown): string {
  return error instanceof Error
    ? (error.stack ?? error.message)
    : String(error);
}

function probeDelayMs(consecutiveFailures: number): number {
  const backoffMs = initialProbeDelayMs * 2 ** (consecutiveFailures - 1);
  return Math.min(backoffMs, maxProbeDelayMs);
}

/** Creates a synchronization that has not started. */
export function createStateSync(options: StateSyncOptions): StateSync {
  const {
    clock,
    config,
    configAge,
    history,
    log,
    logger,
    peers,
    registry,
    store,
  } = options;
  const relayFailedAtMs = new Map<InstanceId, number>();
  const absenceJudge = createStoreAbsenceJudge();
  let lastReadAtMs: number | undefined;
  let revision: number | undefined;
  let connected = false;
  let everConnected = false;
  let closed = false;
  let confirming: Promise<void> | undefined;
  let lastConfirmAtMs = -Infinity;
  let consecutiveFailures = 0;
  let absenceEnd: {reason: StoreAbsence; atMs: number} | undefined;
  let currentRelay: InstanceId | undefined;

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
      case 'peer_domain':
        peers.putDomain(change.id, change.failureDomain);
        return;
      case 'peer_removed':
        peers.remove(change.id);
        return;
      case 'verdict':
        options.onVerdict(change.verdict);
        return;
      case 'verdict_removed':
        options.onVerdictRemoved(change.segment);
        return;
      case 'unreadable':
        logger.warn('a value in the store cannot be decoded and is not used', {
          key: change.key,
          reason: change.reason,
        });
        if (change.id !== undefined) registry.remove(change.id);
    }
  }

  /** Other writers may have written anything; one item must not stop the rest. */
  function decode(item: StoredItem): StateChange | undefined {
    try {
      return store.decode(item);
    } catch (error) {
      return {
        kind: 'unreadable',
        key: item.key,
        reason: toErrorText(error),
        id: undefined,
      };
    }
  }

  function applyItem(item: StoredItem, atRevision: number): void {
    const change = decode(item);
    if (change === undefined) return;
    apply(change);
    log.record(item, change, atRevision);
  }

  function applyItems(items: readonly StoredItem[], atRevision: number): void {
    for (const item of items) {
      try {
        applyItem(item, atRevision);
      } catch (error) {
        logger.error('a value in the store cannot be applied', {
          key: item.key,
          error: toErrorText(error),
        });
      }
    }
  }

  function applyUpdate(items: readonly StoredItem[], nextRevision: number) {
    applyItems(items, nextRevision);
    revision = nextRevision;
    log.advance(nextRevision);
  }

  /** Applies a full snapshot: what it does not contain has been removed. */
  function applySnapshot(items: readonly StoredItem[], nextRevision: number) {
    const present = new Set(items.map(({key}) => key));
    const removed = log
      .keys()
      .filter(key => !present.has(key))
      .map(key => ({key, value: undefined}));
    applyUpdate([...removed, ...items], nextRevision);
  }

  function observeEra(era: StoreEra | undefined, nextRevision?: number): void {
    const previousEra = history.era();
    if (history.observe(era) !== 'begun') return;
    logger.warn('the store came back from a copy', {
      era,
      previousEra,
      revision: nextRevision,
      previousRevision: revision,
      configVersion: config.current()?.version,
    });
  }

  /** Counts the renewals of entries that exist before and after `items`. */
  function countRenewals(
    items: readonly StoredItem[],
    elapsedMs: number,
  ): ObservedRenewals {
    const removed = new Set<UpstreamId>();
    const writesById = new Map<UpstreamId, number>();
    for (const item of items) {
      const change = decode(item);
      if (change?.kind === 'upstream_removed') removed.add(change.id);
      if (change?.kind !== 'upstream') continue;
      const {id} = change.entry;
      writesById.set(id, (writesById.get(id) ?? 0) + 1);
    }
    const survives = (id: UpstreamId) => registry.has(id) && !removed.has(id);
    return {
      upstreamCount:
        registry.size - [...removed].filter(id => registry.has(id)).length,
      renewalCount: [...writesById]
        .filter(([id]) => survives(id))
        .reduce((sum, [, count]) => sum + count, 0),
      elapsedMs,
    };
  }

  function noteAbsenceEnd(reason: StoreAbsence, agoMs: number): void {
    registry.storeRegained(reason, agoMs);
    const atMs = clock.nowMs() - agoMs;
    if (reason !== 'cut_off' && atMs > (absenceEnd?.atMs ?? -Infinity)) {
      absenceEnd = {reason, atMs};
    }
  }

  function onStoreResponse(
    mark: TimeMark,
    absence: () => StoreAbsence = () => 'unknown',
  ): void {
    configAge.confirmed(mark);
    if (connected) return;
    connected = true;
    const reason = absence();
    if (everConnected) noteAbsenceEnd(reason, 0);
    else registry.storeRegained(reason);
    logger.info(everConnected ? 'store regained' : 'store connected', {
      absence: everConnected ? reason : undefined,
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
    observeEra(update.value.era, update.value.revision);
    applySnapshot(update.value.items, update.value.revision);
    lastReadAtMs = clock.nowMs();
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
    const {era, items, revision: nextRevision} = update.value;
    observeEra(era, nextRevision);
    const nowMs = clock.nowMs();
    if (lastReadAtMs !== undefined) {
      const renewals = countRenewals(items, nowMs - lastReadAtMs);
      if (connected) absenceJudge.observe(renewals);
      onStoreResponse(mark, () => absenceJudge.judge(renewals));
    } else {
      onStoreResponse(mark);
    }
    lastReadAtMs = nowMs;
    applyUpdate(items, nextRevision);
    return true;
  }

  function noteRelay(relay: PeerEntry | undefined): void {
    if (relay?.instanceId === currentRelay) return;
    currentRelay = relay?.instanceId;
    logger.info(
      relay === undefined
        ? 'the store is read directly'
        : 'the store is read through another instance',
      {relay: currentRelay},
    );
  }

  function noteRelayFailure({instanceId}: PeerEntry, reason: string): void {
    relayFailedAtMs.set(instanceId, clock.nowMs());
    logger.info('reading the state through another instance failed', {
      relay: instanceId,
      reason,
    });
  }

  async function readFrom(relay: PeerEntry, after: number): Promise<boolean> {
    const mark = configAge.mark();
    const response = await options.relays.read(
      relay.address,
      after,
      relayWaitMs,
      relayTimeoutMs,
    );
    if (response.isErr()) {
      noteRelayFailure(relay, response.error.message);
      return false;
    }
    const {absence, complete, confirmedAfterMs, items, regainedAgoMs} =
      response.value;
    if (-confirmedAfterMs > options.changeDelayMs() * maxRelayAgeShare) {
      noteRelayFailure(relay, 'its state is old');
      return false;
    }
    // Renewals are not passed on, but the other instance has judged by them.
    onStoreResponse(shiftMark(mark, confirmedAfterMs), () => 'cut_off');
    lastReadAtMs = undefined;
    if (regainedAgoMs !== null) {
      noteAbsenceEnd(absence ?? 'unknown', regainedAgoMs);
    }
    const update = complete ? applySnapshot : applyUpdate;
    update(items, response.value.revision);
    return true;
  }

  function relaysToTry(): readonly PeerEntry[] {
    const {sources} = currentRole();
    const earliestMs = clock.nowMs() - relayBackoffMs;
    return sources.filter(
      ({instanceId}) =>
        (relayFailedAtMs.get(instanceId) ?? -Infinity) < earliestMs,
    );
  }

  function currentRole() {
    const {failureDomain, instanceId} = options;
    return relayRole(instanceId, peers.inDomain(failureDomain));
  }

  /** Reads through another instance; returns false if none responded. */
  async function readThroughRelays(): Promise<boolean> {
    if (revision === undefined) return false;
    for (const relay of relaysToTry()) {
      if (closed) return false;
      if (await readFrom(relay, revision)) {
        noteRelay(relay);
        return true;
      }
    }
    return false;
  }

  async function readStore(): Promise<boolean> {
    noteRelay(undefined);
    return revision === undefined ? readAll() : readChanges(revision);
  }

  function callIntervalMs(): number {
    const share = currentRole().readsForOthers
      ? relayCallIntervalShare
      : callIntervalShare;
    return options.changeDelayMs() * share;
  }

  async function waitSince(startedAtMs: number, intervalMs: number) {
    const elapsedMs = clock.nowMs() - startedAtMs;
    await delay(clock, Math.max(0, intervalMs - elapsedMs));
  }

  async function readOnce(): Promise<void> {
    const startedAtMs = clock.nowMs();
    if (await readThroughRelays()) {
      consecutiveFailures = 0;
      await waitSince(startedAtMs, minRelayIntervalMs);
      return;
    }
    const succeeded = await readStore();
    if (closed) return;
    consecutiveFailures = succeeded ? 0 : consecutiveFailures + 1;
    if (!succeeded) await delay(clock, probeDelayMs(consecutiveFailures));
    else if (revision !== undefined) {
      await waitSince(startedAtMs, callIntervalMs());
    }
  }

  async function run(): Promise<void> {
    while (!closed) {
      try {
        await readOnce();
      } catch (error) {
        // The process would go on with its past state if this loop ended.
        logger.error('reading the state failed unexpectedly', {
          error: toErrorText(error),
        });
        consecutiveFailures += 1;
        await delay(clock, probeDelayMs(consecutiveFailures));
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
    if (latest.value !== undefined) {
      observeEra(latest.value.era);
      applyItems(latest.value.items, latest.value.revision);
    }
    configAge.confirmed(mark);
  }

  return {
    start: () => void run(),
    connected: () => connected,
    lastAbsence: () =>
      absenceEnd && {
        reason: absenceEnd.reason,
        endedAgoMs: clock.nowMs() - absenceEnd.atMs,
      },
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
