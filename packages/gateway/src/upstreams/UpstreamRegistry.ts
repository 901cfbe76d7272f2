/**
 * The upstreams that may receive new work, as registered in the store. During
 * an outage of the store the leases of entries expire although their upstreams
 * still run, so an entry that disappears around an outage is kept for a grace
 * period. If only this instance was cut off from the store, there is none.
 */
import type {
  Clock,
  ServiceName,
  SoftwareVersion,
  UpstreamId,
} from '@toucanrouter/common';
import {createBoundedMap} from '@toucanrouter/policy';
import type {StoreAbsence} from '../state/StoreAbsence.js';
import type {UpstreamEntry} from './UpstreamEntry.js';
import {isSameProcess, processKeyOf} from './UpstreamEntry.js';

/** Options of a registry. */
export interface UpstreamRegistryOptions {
  readonly clock: Clock;
  readonly onAdded: (entry: UpstreamEntry) => void;
  readonly onRemoved: (entry: UpstreamEntry, reason: string) => void;
  /** Time within which upstreams that leave must receive no new work. */
  readonly leavingDelayMs: () => number;
}

/** Upstreams of a service that run the same software version. */
export interface UpstreamVersionCount {
  readonly service: ServiceName;
  /** Undefined for upstreams that do not tell their version. */
  readonly softwareVersion: SoftwareVersion | undefined;
  readonly count: number;
}

/** The registered upstreams by service. */
export interface UpstreamRegistry {
  /** Upstreams of a service that accept new work. */
  usable(service: ServiceName): readonly UpstreamEntry[];
  /** All upstreams of a service, also those that leave. */
  registered(service: ServiceName): readonly UpstreamEntry[];
  has(id: UpstreamId): boolean;
  /** The latest entry of an upstream, also of one that leaves. */
  entryOf(id: UpstreamId): UpstreamEntry | undefined;
  readonly size: number;
  /** Counts the upstreams that accept new work. */
  versionCounts(): readonly UpstreamVersionCount[];
  /** Adds or replaces one entry. */
  put(entry: UpstreamEntry): void;
  /** Handles the removal of an entry from the store. */
  remove(id: UpstreamId): void;
  /** Starts an outage, during which entries that disappear are kept. */
  storeLost(): void;
  /** Ends an absence of the store, `agoMs` ago; a grace period starts then. */
  storeRegained(absence: StoreAbsence, agoMs?: number): void;
  /**
   * Excludes a process from new work that has announced that it leaves, whatever
   * its entry says. Returns false if that is known.
   */
  markLeaving(entry: UpstreamEntry): boolean;
  /** Removes an upstream whose address now belongs to another one. */
  addressReassigned(id: UpstreamId): void;
}

/**
 * Entries that expired during an outage return about 2 s after its end; the
 * rest covers the delay of the watch.
 */
export const lapsedEntryGraceMs = 2_300;
/** Bounds the processes to remember, whose entries may return. */
const maxLeavingProcesses = 4_096;
/** Covers the time in which a removal becomes known and requests arrive. */
const leavingReserveMs = 250;

/** True when no field differs; upstreams often rewrite an unchanged entry. */
function isUnchanged(a: UpstreamEntry, b: UpstreamEntry): boolean {
  return (
    a.service === b.service &&
    a.host === b.host &&
    a.port === b.port &&
    a.failureDomain === b.failureDomain &&
    a.slots === b.slots &&
    a.leaving === b.leaving &&
    a.reclaimable === b.reclaimable &&
    a.startedAtMs === b.startedAtMs &&
    a.softwareVersion === b.softwareVersion
  );
}

/** Creates a registry without upstreams. */
export function createUpstreamRegistry(
  options: UpstreamRegistryOptions,
): UpstreamRegistry {
  const {clock} = options;
  const entries = new Map<UpstreamId, UpstreamEntry>();
  const cancelEvictions = new Map<UpstreamId, () => void>();
  /** Entries whose grace period ended while the store was away again. */
  const lapsedInAbsence = new Set<UpstreamId>();
  const byService = new Map<ServiceName, UpstreamEntry[]>();
  const announcedLeaving = createBoundedMap<string, true>(maxLeavingProcesses);
  let storeDown = false;
  let graceEndMs = -Infinity;

  function reindex(service: ServiceName): void {
    const usable = [...entries.values()].filter(
      entry =>
        entry.service === service &&
        !entry.leaving &&
        !announcedLeaving.has(processKeyOf(entry)),
    );
    byService.set(service, usable);
  }

  function cancelEviction(id: UpstreamId): void {
    cancelEvictions.get(id)?.();
    cancelEvictions.delete(id);
  }

  function evict(id: UpstreamId, reason: string): void {
    cancelEviction(id);
    const entry = entries.get(id);
    if (entry === undefined) return;
    entries.delete(id);
    reindex(entry.service);
    options.onRemoved(entry, reason);
  }

  function put(entry: UpstreamEntry): void {
    cancelEviction(entry.id);
    const previous = entries.get(entry.id);
    if (previous !== undefined && isUnchanged(previous, entry)) return;
    if (previous !== undefined && !isSameProcess(previous, entry)) {
      evict(previous.id, 'its process was restarted');
    }
    entries.set(entry.id, entry);
    if (previous !== undefined && previous.service !== entry.service) {
      reindex(previous.service);
    }
    reindex(entry.service);
    options.onAdded(entry);
  }

  function versionCounts(): readonly UpstreamVersionCount[] {
    return [...byService].flatMap(([service, usable]) => {
      const counts = new Map<SoftwareVersion | undefined, number>();
      for (const {softwareVersion} of usable) {
        counts.set(softwareVersion, (counts.get(softwareVersion) ?? 0) + 1);
      }
      return [...counts].map(([softwareVersion, count]) => ({
        service,
        softwareVersion,
        count,
      }));
    });
  }

  function isInGracePeriod(): boolean {
    return storeDown || clock.nowMs() < graceEndMs;
  }

  function graceMs(absence: StoreAbsence): number {
    switch (absence) {
      case 'outage':
        return lapsedEntryGraceMs;
      case 'cut_off':
        return 0;
      case 'unknown':
        return Math.min(
          lapsedEntryGraceMs,
          Math.max(0, options.leavingDelayMs() - leavingReserveMs),
        );
    }
  }

  function remove(id: UpstreamId): void {
    const entry = entries.get(id);
    if (entry === undefined) return;
    if (entry.leaving || !isInGracePeriod()) {
      evict(id, 'its entry was removed');
      return;
    }
    if (!cancelEvictions.has(id)) scheduleEviction(id);
  }

  function scheduleEviction(id: UpstreamId): void {
    const remainingMs = storeDown
      ? lapsedEntryGraceMs
      : graceEndMs - clock.nowMs();
    const wasStoreDown = storeDown;
    const cancel = clock.after(Math.max(0, remainingMs), () => {
      // A later absence of the store has a grace period of its own.
      if (clock.nowMs() < graceEndMs) scheduleEviction(id);
      else if (storeDown && !wasStoreDown) keepUntilRegained(id);
      else evict(id, 'its entry did not return within the grace period');
    });
    cancelEvictions.set(id, cancel);
  }

  /** While the store is away, the upstream cannot write its entry again. */
  function keepUntilRegained(id: UpstreamId): void {
    lapsedInAbsence.add(id);
    cancelEvictions.set(id, () => lapsedInAbsence.delete(id));
  }

  return {
    usable: service => byService.get(service) ?? [],
    registered: service =>
      [...entries.values()].filter(entry => entry.service === service),
    has: id => entries.has(id),
    entryOf: id => entries.get(id),
    get size() {
      return entries.size;
    },
    versionCounts,
    put,
    remove,
    storeLost: () => {
      storeDown = true;
    },
    storeRegained: (absence, agoMs = 0) => {
      if (storeDown || agoMs > 0) {
        const endMs = clock.nowMs() - agoMs + graceMs(absence);
        graceEndMs = Math.max(graceEndMs, endMs);
      }
      storeDown = false;
      const lapsed = [...lapsedInAbsence];
      lapsedInAbsence.clear();
      for (const id of lapsed) scheduleEviction(id);
    },
    markLeaving: entry => {
      const key = processKeyOf(entry);
      if (announcedLeaving.has(key)) return false;
      announcedLeaving.set(key, true);
      reindex(entry.service);
      return true;
    },
    addressReassigned: id =>
      evict(id, 'another upstream answers at its address'),
  };
}
