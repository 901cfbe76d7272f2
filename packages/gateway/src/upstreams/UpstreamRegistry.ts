/**
 * The upstreams that may receive new work, as registered in the store. During
 * an outage of the store the leases of entries expire although their upstreams
 * still run, so an entry that disappears around an outage is kept for a grace
 * period.
 */
import type {Clock, ServiceName, UpstreamId} from '@toucanrouter/common';
import type {UpstreamEntry} from './UpstreamEntry.js';

/** Options of a registry. */
export interface UpstreamRegistryOptions {
  readonly clock: Clock;
  readonly onAdded: (entry: UpstreamEntry) => void;
  readonly onRemoved: (entry: UpstreamEntry, reason: string) => void;
}

/** The registered upstreams by service. */
export interface UpstreamRegistry {
  /** Upstreams of a service that accept new work. */
  usable(service: ServiceName): readonly UpstreamEntry[];
  /** Adds or replaces one entry. */
  put(entry: UpstreamEntry): void;
  /** Handles the removal of an entry from the store. */
  remove(id: UpstreamId): void;
  /** Replaces all entries by a complete snapshot of the store. */
  replaceAll(entries: readonly UpstreamEntry[]): void;
  /** Starts an outage, during which entries that disappear are kept. */
  storeLost(): void;
  /** Ends an outage; the grace period starts. */
  storeRegained(): void;
  /** Removes an upstream whose address now belongs to another one. */
  addressReassigned(id: UpstreamId): void;
}

/**
 * Entries that expired during an outage return about 2 s after its end; the
 * rest covers the delay of the watch.
 */
export const lapsedEntryGraceMs = 2_300;

/** True when no field differs; upstreams often rewrite an unchanged entry. */
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
      evict(previous.id, 'its process was restarted');
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
      if (lapsed.has(id))
        evict(id, 'its entry did not return within the grace period');
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
