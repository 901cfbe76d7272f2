/**
 * Synchronizes the configuration, upstreams and peers with the store, and tracks
 * the age of the configuration. It reads a full snapshot once and then follows
 * changes: through another instance of the failure domain where there is one,
 * and else from the store itself, with a minimum interval that bounds the number
 * of calls. A revision is valid only in the history of the store that it belongs
 * to, so another history begins with a full snapshot.
 */
import type {
  Clock,
  InstanceId,
  PlatformError,
  ServiceName,
  TimeMark,
  UpstreamId,
} from '@toucanrouter/common';
import {delay, hash64, shiftMark} from '@toucanrouter/common';
import type {Logger} from '@toucanrouter/logging';
import type {SegmentHash} from '@toucanrouter/policy';
import type {Result} from 'neverthrow';
import type {ActiveConfig} from '../config/ActiveConfig.js';
import type {ConfigAge} from '../config/ConfigAge.js';
import {createConfigAge} from '../config/ConfigAge.js';
import type {PeerDirectory, PeerEntry} from '../peers/PeerDirectory.js';
import type {UpstreamRegistry} from '../upstreams/UpstreamRegistry.js';
import type {RelayClient} from './RelayClient.js';
import type {RelayResponse} from './RelayServer.js';
import type {DecodedItem} from './RestoredState.js';
import {createRestoredState} from './RestoredState.js';
import type {StateLog} from './StateLog.js';
import {relayRole} from './StateRelay.js';
import type {HistoryChange, StoreHistory} from './StoreHistory.js';
import type {
  StateChange,
  StateStore,
  StateUpdate,
  StoredItem,
  StoredVerdict,
  StoreEra,
  VersionList,
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
  readonly onVersionList: (list: VersionList) => void;
  readonly onVersionListRemoved: (service: ServiceName) => void;
  /** Called with the instance that holds the duties, or without one. */
  readonly onDutyOwner: (holder: InstanceId | undefined) => void;
  /** Called when the store no longer holds the entry of this instance. */
  readonly onOwnEntryRemoved?: (() => void) | undefined;
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
  /** Age of the last read, which may show an older configuration. */
  readonly readAge: Pick<ConfigAge, 'confirmedAfterMs'>;
  /** Version of the configuration that the store shows; 0 if none. */
  shownConfigVersion(): number;
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
/**
 * Until an instance has a state, late responses of a slow store count too. Reads
 * that get no response overlap for this time, which bounds their number.
 */
const firstReadTimeoutMs = 4_000;
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
/** Instances that a starting one asks for a newer configuration. */
const maxAskedPeers = 3;
const askTimeoutMs = 300;
/** Precedes all revisions, so the response holds the whole state. */
const beforeAllRevisions = 0;
/** An instance that failed to respond is not asked for this time. */
const relayBackoffMs = 3_000;

/** Where to continue reading: a revision is valid in its history only. */
interface Cursor {
  readonly era: StoreEra | undefined;
  readonly revision: number;
}

/** What was known when a new history of the store began. */
interface PreviousHistory {
  readonly era: StoreEra | undefined;
  readonly revision: number | undefined;
}

/** A read that is of no use because another history began meanwhile. */
const supersededRead = Symbol('superseded read');

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
  const restored = createRestoredState(clock);
  const readAge = createConfigAge(clock);
  let lastReadAtMs: number | undefined;
  let cursor: Cursor | undefined;
  /** Latest revision of the present history. */
  let latestRevision: number | undefined;
  /** Set until the first snapshot of a new history has been applied. */
  let previousHistory: PreviousHistory | undefined;
  let shownConfigVersion = 0;
  /** Set while items are applied; the entry may be written again among them. */
  let isOwnEntryGone = false;
  let hasAskedPeers = false;
  /** Rounds of questions that may tell of a configuration that a copy lacks. */
  let openRounds = 0;
  const historyWaiters = new Set<() => void>();
  /** The era of unused responses that is in the log already. */
  let reportedEra: StoreEra | undefined;
  let connected = false;
  let everConnected = false;
  let closed = false;
  let confirming: Promise<void> | undefined;
  let lastConfirmAtMs = -Infinity;
  let consecutiveFailures = 0;
  let absenceEnd: {reason: StoreAbsence; atMs: number} | undefined;
  let currentRelay: InstanceId | undefined;

  function apply(key: string, change: StateChange): void {
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
        if (change.entry.instanceId === options.instanceId) {
          isOwnEntryGone = false;
        }
        peers.put(change.entry);
        return;
      case 'peer_domain':
        if (change.failureDomain === undefined) {
          restored.deferRemoval(key, () =>
            peers.putDomain(change.id, undefined),
          );
        } else peers.putDomain(change.id, change.failureDomain);
        return;
      case 'peer_removed':
        if (change.id === options.instanceId) isOwnEntryGone = true;
        restored.deferRemoval(key, () => peers.remove(change.id));
        return;
      case 'verdict':
        options.onVerdict(change.verdict);
        return;
      case 'verdict_removed':
        restored.deferRemoval(key, () =>
          options.onVerdictRemoved(change.segment),
        );
        return;
      case 'service_versions':
        options.onVersionList(change.list);
        return;
      case 'service_versions_removed':
        options.onVersionListRemoved(change.service);
        return;
      case 'duty_owner':
        options.onDutyOwner(change.holder);
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

  /** True for a configuration that is older than the one in force. */
  function isOlderConfig(change: StateChange): boolean {
    return (
      change.kind === 'config' &&
      change.config.version < (config.current()?.version ?? -Infinity)
    );
  }

  /** Responses may arrive in another order than they were sent. */
  function noteShown(version: number): void {
    shownConfigVersion = Math.max(shownConfigVersion, version);
  }

  function applyItem({change, item}: DecodedItem, atRevision: number): void {
    if (change === undefined) return;
    if (change.kind === 'config') noteShown(change.config.version);
    // Peers would receive it in place of the newer one.
    if (isOlderConfig(change)) return;
    apply(item.key, change);
    log.record(item, change, atRevision);
  }

  function applyItems(items: readonly DecodedItem[], atRevision: number): void {
    for (const decoded of items) {
      try {
        applyItem(decoded, atRevision);
      } catch (error) {
        logger.error('a value in the store cannot be applied', {
          key: decoded.item.key,
          error: toErrorText(error),
        });
      }
    }
    if (!isOwnEntryGone) return;
    isOwnEntryGone = false;
    options.onOwnEntryRemoved?.();
  }

  const toDecoded = (item: StoredItem): DecodedItem => ({
    item,
    change: decode(item),
  });

  function advanceTo(next: Cursor): void {
    if (next.era !== undefined && log.era() === undefined) {
      log.nameHistory(next.era);
    }
    cursor = next;
    latestRevision = next.revision;
    log.advance(next.revision);
  }

  /** Applies the changes since the last read. */
  function applyUpdate(items: readonly StoredItem[], next: Cursor): void {
    for (const {key} of items) restored.noteWritten(key);
    const overdue = restored.takeOverdue();
    applyItems([...overdue, ...items].map(toDecoded), next.revision);
    advanceTo(next);
  }

  /** Applies a full snapshot: what it does not contain has been removed. */
  function applySnapshot(items: readonly StoredItem[], next: Cursor): void {
    const previous = previousHistory;
    previousHistory = undefined;
    const present = new Set(items.map(({key}) => key));
    const removed = log
      .keys()
      .filter(key => !present.has(key))
      .map(key => toDecoded({key, value: undefined}));
    const decoded = items.map(toDecoded);
    for (const {change} of decoded) {
      if (change?.kind === 'config') shownConfigVersion = change.config.version;
    }
    const admitted = restored.admit(
      decoded,
      previous === undefined ? undefined : log.known,
    );
    if (previous !== undefined) {
      restored.noteLacking(removed.map(({item}) => item.key));
      log.beginHistory(next.era, next.revision);
    }
    applyItems([...removed, ...admitted], next.revision);
    advanceTo(next);
    if (previous === undefined) return;
    logger.warn('the store came back from a copy', {
      era: next.era,
      previousEra: previous.era,
      revision: next.revision,
      previousRevision: previous.revision,
      configVersion: config.current()?.version,
      storeConfigVersion: shownConfigVersion,
      lackingItems: removed.length,
      itemsHeldBack: restored.heldBackCount,
    });
  }

  function beginHistory(): void {
    previousHistory ??= {era: cursorEra(), revision: latestRevision};
    cursor = undefined;
    latestRevision = undefined;
    shownConfigVersion = 0;
    // Renewals of two histories cannot be compared.
    lastReadAtMs = undefined;
    restored.begin();
    registry.storeLost();
    noteAbsenceEnd('outage', 0);
    for (const run of [...historyWaiters]) run();
  }

  const cursorEra = () => cursor?.era ?? log.era();

  /** A store that goes on in an earlier era would leave no other line. */
  function observeEra(era: StoreEra | undefined): HistoryChange {
    const change = history.observe(era);
    if (change !== 'outdated') reportedEra = undefined;
    else if (era !== reportedEra) {
      reportedEra = era;
      logger.warn('responses of the store are not used: their era has passed', {
        era,
        latestEra: history.era(),
        configAgeMs: Math.round(configAge.ageMs()),
      });
    }
    return change;
  }

  /**
   * Records which history a response belongs to. Revisions of one history only
   * rise, which tells a new one of a store that does not tell eras.
   */
  function observeHistory(
    era: StoreEra | undefined,
    revision: number,
    knownRevision: number | undefined,
  ): HistoryChange {
    const change = observeEra(era);
    if (era !== undefined || revision >= (knownRevision ?? -Infinity)) {
      return change;
    }
    history.begin();
    return 'begun';
  }

  /** Gives up waiting for `promise` when a new history begins. */
  async function untilNewHistory<T>(
    promise: PromiseLike<T>,
  ): Promise<T | typeof supersededRead> {
    let run = () => undefined as void;
    const begun = new Promise<typeof supersededRead>(resolve => {
      run = () => resolve(supersededRead);
    });
    historyWaiters.add(run);
    try {
      return await Promise.race([promise, begun]);
    } finally {
      historyWaiters.delete(run);
    }
  }

  /**
   * The configuration in force is confirmed only by a read that shows it or a
   * newer one: a copy may lack the newest one.
   */
  function confirmConfigBy(mark: TimeMark, shown = shownConfigVersion): void {
    const inForce = config.current()?.version;
    if (openRounds > 0) return;
    if (inForce === undefined || shown >= inForce) {
      configAge.confirmed(mark);
    }
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
    readAge.confirmed(mark);
    if (connected) return;
    connected = true;
    const reason = absence();
    if (everConnected) noteAbsenceEnd(reason, 0);
    else registry.storeRegained(reason);
    logger.info(everConnected ? 'store regained' : 'store connected', {
      absence: everConnected ? reason : undefined,
      revision: cursor?.revision,
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

  /** Peers that an instance asks, different ones for each instance. */
  function peersToAsk() {
    const rankOf = ({host, port}: PeerEntry['address']) =>
      hash64(`${options.instanceId} ${host}:${port}`);
    return [...peers.addresses()]
      .sort((a, b) => (rankOf(a) < rankOf(b) ? -1 : 1))
      .slice(0, maxAskedPeers);
  }

  /** Takes the newest configuration of peers, with the age that it has there. */
  function learnConfig(
    responses: readonly RelayResponse[],
    mark: TimeMark,
  ): void {
    const learned = responses.flatMap(({confirmedAfterMs, items}) =>
      items.flatMap(item => {
        const change = decode(item);
        return change?.kind === 'config'
          ? [{change, confirmedAfterMs, item}]
          : [];
      }),
    );
    for (const {change, item} of learned) {
      if (config.applyIfNewer(change.config) && cursor !== undefined) {
        log.record(item, change, cursor.revision);
      }
    }
    const inForce = config.current()?.version;
    for (const {change, confirmedAfterMs} of learned) {
      if (change.config.version !== inForce) continue;
      configAge.confirmed(shiftMark(mark, confirmedAfterMs));
    }
  }

  /**
   * A copy may lack the newest configuration. An instance that starts knows only
   * what the store shows, so it asks others before it serves anything.
   */
  async function askPeersForConfig(): Promise<void> {
    const mark = configAge.mark();
    const responses: RelayResponse[] = [];
    openRounds += 1;
    const asked = peersToAsk().map(async address => {
      const response = await options.relays.read(
        address,
        beforeAllRevisions,
        0,
        askTimeoutMs,
      );
      if (response.isErr()) return;
      history.observe(response.value.era);
      responses.push(response.value);
    });
    try {
      // A call may take longer than its timeout until it is connected.
      await Promise.race([Promise.all(asked), delay(clock, askTimeoutMs)]);
      learnConfig(responses, mark);
    } finally {
      openRounds -= 1;
    }
    if (asked.length === 0) return;
    logger.info('asked other instances for the configuration', {
      asked: asked.length,
      answered: responses.length,
      configVersion: config.current()?.version,
      storeConfigVersion: shownConfigVersion,
    });
  }

  async function readAll(): Promise<boolean> {
    if (!everConnected) return readFirst();
    const mark = configAge.mark();
    const update = await untilNewHistory(
      store.readAll(connected ? readAllTimeoutMs : probeTimeoutMs),
    );
    if (update === supersededRead) return true;
    return applyFullState(mark, update);
  }

  async function applyFullState(
    mark: TimeMark,
    update: Result<StateUpdate, PlatformError>,
  ): Promise<boolean> {
    if (update.isErr()) {
      onStoreFailure(update.error.message);
      return false;
    }
    const {era, items, revision} = update.value;
    const change = observeHistory(era, revision, latestRevision);
    if (change === 'outdated') return false;
    const isRestored = previousHistory !== undefined;
    onStoreResponse(mark, () => (isRestored ? 'outage' : 'unknown'));
    applySnapshot(items, {era, revision});
    lastReadAtMs = clock.nowMs();
    if (!hasAskedPeers) {
      const asked = await untilNewHistory(askPeersForConfig());
      if (asked === supersededRead) return true;
      hasAskedPeers = true;
    }
    confirmConfigBy(mark);
    return true;
  }

  /**
   * Reads the state for the first time. Reads overlap: a store that is slow
   * answers the first one late, and one on a connection that went silent gets no
   * answer although the store is back.
   */
  async function readFirst(): Promise<boolean> {
    await Promise.race([delay(clock, readAllTimeoutMs), takeFirstState()]);
    return everConnected;
  }

  async function takeFirstState(): Promise<void> {
    const mark = configAge.mark();
    const update = await store.readAll(firstReadTimeoutMs);
    // Another read may have been answered first.
    if (!everConnected && !closed) await applyFullState(mark, update);
  }

  async function readChanges({revision: after}: Cursor): Promise<boolean> {
    const mark = configAge.mark();
    const update = await untilNewHistory(
      store.readChanges(
        after,
        connected ? watchWaitMs : 0,
        connected ? watchWaitMs + responseTimeoutMs : probeTimeoutMs,
      ),
    );
    if (update === supersededRead) return true;
    if (update.isErr()) {
      onStoreFailure(update.error.message);
      return false;
    }
    if (update.value === 'compacted') {
      logger.info('the store compacted its history; reading a full snapshot', {
        after,
      });
      cursor = undefined;
      return true;
    }
    const {era, items, revision} = update.value;
    // These changes do not follow the revision of another history.
    if (observeHistory(era, revision, after) !== 'none') return true;
    const nowMs = clock.nowMs();
    if (lastReadAtMs !== undefined) {
      const renewals = countRenewals(items, nowMs - lastReadAtMs);
      if (connected) absenceJudge.observe(renewals);
      onStoreResponse(mark, () => absenceJudge.judge(renewals));
    } else {
      onStoreResponse(mark);
    }
    lastReadAtMs = nowMs;
    applyUpdate(items, {era, revision});
    confirmConfigBy(mark);
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

  /** Returns the part of a response that can be applied, by its history. */
  function usableFrom(
    relay: PeerEntry,
    {complete, era}: RelayResponse,
  ): 'complete' | 'changes' | undefined {
    if (history.observe(era) === 'outdated') {
      noteRelayFailure(relay, 'its state belongs to an earlier history');
      return undefined;
    }
    if (complete) return 'complete';
    // Without a cursor, a new history has just begun.
    return cursor === undefined ? undefined : 'changes';
  }

  async function readFrom(relay: PeerEntry, from: Cursor): Promise<boolean> {
    const mark = configAge.mark();
    const response = await untilNewHistory(
      options.relays.read(
        relay.address,
        from.revision,
        relayWaitMs,
        relayTimeoutMs,
        from.era,
      ),
    );
    if (response === supersededRead) return false;
    if (response.isErr()) {
      noteRelayFailure(relay, response.error.message);
      return false;
    }
    const {absence, confirmedAfterMs, era, items, regainedAgoMs, revision} =
      response.value;
    const readAfterMs = response.value.readAfterMs ?? confirmedAfterMs;
    if (-readAfterMs > options.changeDelayMs() * maxRelayAgeShare) {
      noteRelayFailure(relay, 'its state is old');
      return false;
    }
    const usable = usableFrom(relay, response.value);
    if (usable === undefined) return false;
    // Renewals are not passed on, but the other instance has judged by them.
    onStoreResponse(shiftMark(mark, readAfterMs), () => 'cut_off');
    lastReadAtMs = undefined;
    if (regainedAgoMs !== null) {
      noteAbsenceEnd(absence ?? 'unknown', regainedAgoMs);
    }
    const update = usable === 'complete' ? applySnapshot : applyUpdate;
    update(items, {era, revision});
    // Earlier builds confirm whatever the store shows.
    shownConfigVersion =
      response.value.configVersion ?? config.current()?.version ?? 0;
    confirmConfigBy(shiftMark(mark, confirmedAfterMs));
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
    for (const relay of relaysToTry()) {
      if (closed || cursor === undefined) return false;
      if (await readFrom(relay, cursor)) {
        noteRelay(relay);
        return true;
      }
    }
    return false;
  }

  async function readStore(): Promise<boolean> {
    noteRelay(undefined);
    return cursor === undefined ? readAll() : readChanges(cursor);
  }

  function callIntervalMs(): number {
    const share = currentRole().readsForOthers
      ? relayCallIntervalShare
      : callIntervalShare;
    return options.changeDelayMs() * share;
  }

  async function waitSince(startedAtMs: number, intervalMs: number) {
    const elapsedMs = clock.nowMs() - startedAtMs;
    await untilNewHistory(delay(clock, Math.max(0, intervalMs - elapsedMs)));
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
    if (!succeeded) {
      await untilNewHistory(delay(clock, probeDelayMs(consecutiveFailures)));
    } else if (cursor !== undefined) {
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
    if (observeEra(latest.value?.era) === 'outdated') return;
    confirmConfigBy(mark, applyConfirmed(latest.value));
  }

  /**
   * Applies what a read of the configuration alone returned, and returns the
   * version that it showed.
   */
  function applyConfirmed(latest: StateUpdate | undefined): number {
    const items = latest?.items.map(toDecoded) ?? [];
    // The snapshot that follows passes it on in the revisions of its history.
    if (latest !== undefined && previousHistory === undefined) {
      applyItems(items, latest.revision);
    }
    let shown = 0;
    for (const {change} of items) {
      if (change?.kind !== 'config') continue;
      shown = change.config.version;
      if (previousHistory !== undefined) config.applyIfNewer(change.config);
    }
    return shown;
  }

  const stopListening = history.onBegin(beginHistory);

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
    readAge,
    shownConfigVersion: () => shownConfigVersion,
    close: () => {
      closed = true;
      stopListening();
    },
  };
}
