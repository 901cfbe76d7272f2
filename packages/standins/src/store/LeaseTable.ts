/**
 * Leases of the key-value stand-in. A lease that is not kept alive expires, and
 * the keys attached to it are deleted.
 */
import type {Clock, Undo} from '@toucanrouter/common';
import type {KeyValueState} from './KeyValueState.js';

export interface Lease {
  readonly id: number;
  readonly ttlSeconds: number;
}

/** The leases at one moment, from which a service can be restored. */
export interface LeaseCopy {
  readonly leases: readonly Lease[];
  readonly nextId: number;
}

/** Leases and their expiry. */
export interface LeaseTable {
  /** Grants a lease; id 0 allocates an id. Undefined if the id is in use. */
  grant(id: number, ttlSeconds: number): Lease | undefined;
  /** Restarts the time to live; undefined if the lease has expired. */
  keepAlive(id: number): Lease | undefined;
  /** Revokes a lease and deletes its keys; false if it has expired. */
  revoke(id: number): boolean;
  has(id: number): boolean;
  copy(): LeaseCopy;
  /** Goes back to the leases of a copy; each runs its whole time again. */
  restore(copy: LeaseCopy): void;
  close(): void;
}

interface ActiveLease extends Lease {
  stopTimer: Undo;
}

/** Range of all keys. */
const allKeys = {key: '\0', end: '\0'};

/** Creates an empty table; expired leases delete their keys from `state`. */
export function createLeaseTable(
  state: KeyValueState,
  clock: Clock,
): LeaseTable {
  const leases = new Map<number, ActiveLease>();
  let nextId = 1;

  function startTimer(id: number, ttlSeconds: number): Undo {
    return clock.after(ttlSeconds * 1000, () => revoke(id));
  }

  function revoke(id: number): boolean {
    const lease = leases.get(id);
    if (lease === undefined) return false;
    lease.stopTimer();
    leases.delete(id);
    const attached = state
      .range(allKeys)
      .entries.filter(entry => entry.leaseId === id);
    state.commit(writer => {
      for (const entry of attached) writer.remove({key: entry.key});
    });
    return true;
  }

  function freeId(): number {
    while (leases.has(nextId)) nextId++;
    return nextId++;
  }

  return {
    grant: (requestedId, ttlSeconds) => {
      if (leases.has(requestedId)) return undefined;
      const id = requestedId || freeId();
      const stopTimer = startTimer(id, ttlSeconds);
      leases.set(id, {id, ttlSeconds, stopTimer});
      return {id, ttlSeconds};
    },
    keepAlive: id => {
      const lease = leases.get(id);
      if (lease === undefined) return undefined;
      lease.stopTimer();
      lease.stopTimer = startTimer(id, lease.ttlSeconds);
      return lease;
    },
    revoke,
    has: id => leases.has(id),
    copy: () => ({
      leases: [...leases.values()].map(({id, ttlSeconds}) => ({
        id,
        ttlSeconds,
      })),
      nextId,
    }),
    restore: copy => {
      for (const lease of leases.values()) lease.stopTimer();
      leases.clear();
      nextId = copy.nextId;
      for (const {id, ttlSeconds} of copy.leases) {
        const stopTimer = startTimer(id, ttlSeconds);
        leases.set(id, {id, ttlSeconds, stopTimer});
      }
    },
    close: () => {
      for (const lease of leases.values()) lease.stopTimer();
    },
  };
}
