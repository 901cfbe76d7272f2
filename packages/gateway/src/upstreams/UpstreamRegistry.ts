/**
 * The upstreams that may receive new work. Entries come and go in the store.
 * While the store is away entries lapse although their upstreams live, so an
 * entry that disappears around an outage is kept for a grace period.
 */
import type {Clock, ServiceName, UpstreamId} from '@toucanrouter/common';
import type {UpstreamEntry} from './UpstreamEntry.js';

/** Options of a registry. */
export interface UpstreamRegistryOptions {
  readonly clock: Clock;
  readonly onAdded: (entry: UpstreamEntry) => void;
  readonly onRemoved: (entry: UpstreamEntry, reason: string) => void;
}

/** The upstreams that this instance knows. */
export interface UpstreamRegistry {
  /** Upstreams of a service that take new work. */
  usable(service: ServiceName): readonly UpstreamEntry[];
  /** Takes in the present state of one entry. */
  put(entry: UpstreamEntry): void;
  /** The entry of an upstream was removed. */
  remove(id: UpstreamId): void;
  /** Replaces all entries by a complete reading. */
  replaceAll(entries: readonly UpstreamEntry[]): void;
  /** The store does not answer. */
  storeLost(): void;
  /** The store answers again. */
  storeRegained(): void;
  /** Another upstream answers at the address of this one. */
  addressReassigned(id: UpstreamId): void;
}

/**
 * Entries that lapsed during an outage are back about two seconds after its
 * end; the rest allows for the delay of the watch.
 */
export const lapsedEntryGraceMs = 2_300;

/** Upstreams write often; most of the time nothing of use has changed. */
function isUnchanged(a: UpstreamEntry, b: UpstreamEntry): boolean {
  return (
    a.service === b.service &&
    a.host === b.host &&
    a.port === b.port &&
    a.failureDomain === b.failureDomain &&
    a.slots === b.slots &&
    a.leaving === b.leaving &&
    a.startedAtMs === b.startedAtMs
  );
}

/** Creates a registry without upstreams. */
export function createUpstreamRegistry(
  options: UpstreamRegistryOptions,
): UpstreamRegistry {
  const {clock} = options;
  const entries = new Map<UpstreamId, UpstreamEntry>();
  const lapsed = new Map<UpstreamId, UpstreamEntry>();
  const byService = new Map<ServiceName, UpstreamEntry[]>();
  let storeDown = false;
  let regainedAtMs = -Infinity;

  function reindex(service: ServiceName): void {
    const usable = [...entries.values()].filter(
      entry => entry.service === service && !entry.leaving,
    );
    byService.set(service, usable);
  }

  function evict(id: UpstreamId, reason: string): void {
    lapsed.delete(id);
    const entry = entries.get(id);
    if (entry === undefined) return;
    entries.delete(id);
    reindex(entry.service);
    options.onRemoved(entry, reason);
  }

  function put(entry: UpstreamEntry): void {
    lapsed.delete(entry.id);
    const previous = entries.get(entry.id);
    if (previous !== undefined && isUnchanged(previous, entry)) return;
    if (previous !== undefined && previous.startedAtMs !== entry.startedAtMs) {
      evict(previous.id, 'it was started again');
    }
    entries.set(entry.id, entry);
    if (previous !== undefined && previous.service !== entry.service) {
      reindex(previous.service);
    }
    reindex(entry.service);
    options.onAdded(entry);
  }

  function isInGracePeriod(): boolean {
    return storeDown || clock.nowMs() - regainedAtMs < lapsedEntryGraceMs;
  }

  function remove(id: UpstreamId): void {
    const entry = entries.get(id);
    if (entry === undefined) return;
    if (entry.leaving || !isInGracePeriod()) {
      evict(id, 'its entry was removed');
      return;
    }
    if (lapsed.has(id)) return;
    lapsed.set(id, entry);
    const elapsedMs = storeDown ? 0 : clock.nowMs() - regainedAtMs;
    clock.after(lapsedEntryGraceMs - elapsedMs, () => {
      if (lapsed.has(id)) evict(id, 'its entry did not return');
    });
  }

  return {
    usable: service => byService.get(service) ?? [],
    put,
    remove,
    replaceAll: replacement => {
      const present = new Set(replacement.map(entry => entry.id));
      replacement.forEach(put);
      for (const id of [...entries.keys()]) {
        if (!present.has(id)) remove(id);
      }
    },
    storeLost: () => {
      storeDown = true;
    },
    storeRegained: () => {
      if (!storeDown) return;
      storeDown = false;
      regainedAtMs = clock.nowMs();
    },
    addressReassigned: id =>
      evict(id, 'another upstream answers at its address'),
  };
}
