/**
 * Keeps the list of the software versions of each service that may have begun
 * streams which callers can still resume. A stream begins only at a version that
 * the store is known to list, so whoever reads a list with one version knows the
 * origin of every stream of the service. A version leaves the list when no
 * upstream had it for as long as callers can resume streams. A list that came
 * back with a copy of the store may lack versions: instances add what they know,
 * and it counts as complete only once it is confirmed.
 */
import type {
  Clock,
  RandomSource,
  ServiceName,
  SoftwareVersion,
} from '@toucanrouter/common';
import {delay} from '@toucanrouter/common';
import type {Logger} from '@toucanrouter/logging';
import {getOrCreate} from '../GetOrCreate.js';
import {restoredEntryGraceMs} from '../state/RestoredState.js';
import type {
  StateStore,
  StoredVersionList,
  StoreEra,
  VersionList,
} from '../state/StateStore.js';
import type {StoreHistory} from '../state/StoreHistory.js';
import type {UpstreamEntry} from '../upstreams/UpstreamEntry.js';
import type {StreamOrigin} from './StreamOrigins.js';
import {streamVersionOf} from './StreamVersion.js';

/** Options of a keeper. */
export interface VersionListKeeperOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: RandomSource;
  readonly store: Pick<StateStore, 'readVersionLists' | 'writeVersionList'>;
  readonly history: StoreHistory;
  /** Upstreams of a service at which streams may begin. */
  readonly usable: (service: ServiceName) => readonly UpstreamEntry[];
  /** True while the state of this instance follows the store. */
  readonly isInSync: () => boolean;
  /** Time for which callers can resume a stream. */
  readonly retentionMs: () => number;
  /** Called when what is known of the list of a service has changed. */
  readonly onChange: () => void;
}

/** Keeps the lists until it is closed. */
export interface VersionListKeeper {
  /** True if the store is known to list the version. */
  isListed(origin: StreamOrigin): boolean;
  /** False if this instance has seen a version that a list lacks. */
  coversSeen(list: VersionList): boolean;
  /** True if the origins of all streams follow from the list of a service. */
  isSingle(service: ServiceName): boolean;
  /** Handles an upstream that was added or has changed. */
  upstreamAdded(entry: UpstreamEntry): void;
  /** Handles a list that was read from the store. */
  receive(list: VersionList): void;
  receiveRemoval(service: ServiceName): void;
  close(): void;
}

const callTimeoutMs = 800;
const initialRetryMs = 250;
const maxRetryMs = 4_000;
/** Spreads the writes of instances that see a new version at the same time. */
const maxWriteDelayMs = 150;
const sweepIntervalMs = 1_000;
/** After a longer time the process stood still and followed nothing. */
const maxSweepGapMs = 3_000;

interface ServiceState {
  /** The list in the present history of the store. */
  listed: VersionList | undefined;
  /** When each version was last known to begin streams. */
  readonly lastSeenMs: Map<SoftwareVersion, number>;
  /** True if this instance knew the list before the store came from a copy. */
  isKnownFromBefore: boolean;
  isUpdating: boolean;
}

/** Returns whether a list is complete in the era of the store that shows it. */
export function isConfirmed(
  list: VersionList,
  storeEra: StoreEra | undefined,
): boolean {
  return storeEra === undefined || list.era === storeEra;
}

/** Creates a keeper that knows no lists. */
export function createVersionListKeeper(
  options: VersionListKeeperOptions,
): VersionListKeeper {
  const {clock, history, logger, store} = options;
  const states = new Map<ServiceName, ServiceState>();
  let historyBeganAtMs = clock.nowMs();
  let lastSweepAtMs = clock.nowMs();
  let hasWarned = false;
  let closed = false;

  const stateOf = (service: ServiceName) =>
    getOrCreate(states, service, (): ServiceState => ({
      listed: undefined,
      lastSeenMs: new Map(),
      isKnownFromBefore: false,
      isUpdating: false,
    }));

  function noteUsable(service: ServiceName, state: ServiceState): void {
    for (const entry of options.usable(service)) {
      state.lastSeenMs.set(streamVersionOf(entry), clock.nowMs());
    }
  }

  function isExpired(seenMs: number): boolean {
    return clock.nowMs() - seenMs >= options.retentionMs();
  }

  /** Instances that knew the lost part of the history add it within this time. */
  function mayConfirm({isKnownFromBefore}: ServiceState): boolean {
    const settleMs = isKnownFromBefore
      ? restoredEntryGraceMs
      : options.retentionMs();
    return clock.nowMs() - historyBeganAtMs >= settleMs;
  }

  /** Returns what the store should hold in place of `current`. */
  function wantedFor(
    state: ServiceState,
    current: StoredVersionList,
    storeEra: StoreEra | undefined,
  ): StoredVersionList {
    const versions = new Set(current.versions);
    for (const [version, seenMs] of state.lastSeenMs) {
      if (isExpired(seenMs)) versions.delete(version);
      else versions.add(version);
    }
    const isNew = current.revision === 0 && !state.isKnownFromBefore;
    const era = isNew || mayConfirm(state) ? storeEra : current.era;
    return {...current, versions: [...versions], era};
  }

  function isSame(a: VersionList, b: VersionList): boolean {
    return (
      a.era === b.era &&
      a.versions.length === b.versions.length &&
      a.versions.every(version => b.versions.includes(version))
    );
  }

  /** A stream may begin at an unlisted version if no other upstream is left. */
  function coversSeen({service, versions}: VersionList): boolean {
    const seen = states.get(service)?.lastSeenMs.keys() ?? [];
    return [...seen].every(version => versions.includes(version));
  }

  function isUpToDate(state: ServiceState): boolean {
    const {listed} = state;
    if (listed === undefined) return state.lastSeenMs.size === 0;
    const current = {...listed, revision: 1};
    return isSame(listed, wantedFor(state, current, history.era()));
  }

  function adopt(next: VersionList): void {
    const state = stateOf(next.service);
    const removed = (state.listed?.versions ?? []).filter(
      version => !next.versions.includes(version),
    );
    for (const version of removed) state.lastSeenMs.delete(version);
    noteUsable(next.service, state);
    for (const version of next.versions) {
      if (!state.lastSeenMs.has(version)) {
        state.lastSeenMs.set(version, clock.nowMs());
      }
    }
    const isChanged = state.listed === undefined || !isSame(state.listed, next);
    state.listed = next;
    if (!isChanged) return;
    logger.info('the list of software versions in the store has changed', {
      service: next.service,
      versions: next.versions.join(', '),
      isConfirmed: isConfirmed(next, history.era()),
    });
    options.onChange();
  }

  /** Reads and writes a list once; returns false if it must be repeated. */
  async function tryUpdate(
    service: ServiceName,
    state: ServiceState,
  ): Promise<boolean> {
    const read = await store.readVersionLists(callTimeoutMs);
    if (read.isErr()) return failed(service, read.error.message);
    const {era, lists} = read.value;
    if (history.observe(era) === 'outdated') return false;
    const current = lists.find(stored => stored.service === service) ?? {
      service,
      versions: [],
      era: undefined,
      revision: 0,
    };
    noteUsable(service, state);
    const wanted = wantedFor(state, current, era);
    if (!isSame(current, wanted)) {
      const written = await store.writeVersionList(wanted, callTimeoutMs);
      if (written.isErr()) return failed(service, written.error.message);
      const {era: writtenEra, isWritten} = written.value;
      if (history.observe(writtenEra) === 'outdated') return false;
      // The write may have gone to another history than the read.
      if (!isWritten || writtenEra !== era) return false;
    }
    if (era !== undefined && era !== history.era()) return false;
    adopt(wanted);
    hasWarned = false;
    return true;
  }

  function failed(service: ServiceName, reason: string): false {
    if (!hasWarned) {
      logger.warn(
        'the list of software versions cannot be updated in the store; trying again',
        {service, reason},
      );
    }
    hasWarned = true;
    return false;
  }

  async function update(
    service: ServiceName,
    state: ServiceState,
  ): Promise<void> {
    if (state.isUpdating) return;
    state.isUpdating = true;
    let retryMs = initialRetryMs;
    await delay(clock, options.random.next() * maxWriteDelayMs);
    while (!closed && !isUpToDate(state)) {
      if ((await tryUpdate(service, state)) && isUpToDate(state)) break;
      await delay(clock, retryMs);
      retryMs = Math.min(retryMs * 2, maxRetryMs);
    }
    state.isUpdating = false;
  }

  function sweep(): void {
    const stoodStill = clock.nowMs() - lastSweepAtMs > maxSweepGapMs;
    lastSweepAtMs = clock.nowMs();
    const isInSync = options.isInSync() && !stoodStill;
    for (const [service, state] of states) {
      noteUsable(service, state);
      for (const [version, seenMs] of state.lastSeenMs) {
        const isListed = state.listed?.versions.includes(version) ?? false;
        // Upstreams may have come and gone while nothing was seen of them.
        if (!isInSync) state.lastSeenMs.set(version, clock.nowMs());
        else if (!isListed && isExpired(seenMs)) {
          state.lastSeenMs.delete(version);
        }
      }
      if (isInSync && !isUpToDate(state)) void update(service, state);
    }
  }

  const cancelSweep = clock.every(sweepIntervalMs, sweep);
  const stopListening = history.onBegin(() => {
    historyBeganAtMs = clock.nowMs();
    for (const [service, state] of states) {
      state.isKnownFromBefore ||= state.listed !== undefined;
      state.listed = undefined;
      for (const version of state.lastSeenMs.keys()) {
        state.lastSeenMs.set(version, clock.nowMs());
      }
      void update(service, state);
    }
    options.onChange();
  });

  return {
    isListed: ({service, softwareVersion}) =>
      states.get(service)?.listed?.versions.includes(softwareVersion) ?? false,
    coversSeen,
    isSingle: service => {
      const listed = states.get(service)?.listed;
      return (
        listed !== undefined &&
        listed.versions.length === 1 &&
        isConfirmed(listed, history.era()) &&
        coversSeen(listed)
      );
    },
    upstreamAdded: entry => {
      const {service} = entry;
      const state = stateOf(service);
      state.lastSeenMs.set(streamVersionOf(entry), clock.nowMs());
      if (!isUpToDate(state)) void update(service, state);
    },
    receive: adopt,
    receiveRemoval: service => {
      const state = stateOf(service);
      if (state.listed === undefined) return;
      state.listed = undefined;
      options.onChange();
    },
    close: () => {
      closed = true;
      cancelSweep();
      stopListening();
    },
  };
}
