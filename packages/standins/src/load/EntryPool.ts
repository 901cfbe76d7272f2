/**
 * Chooses the entry instance of each request, as the platform's load balancer
 * does: in rotation among those that are ready.
 */

/** Gives entry addresses. */
export interface EntryPool {
  /** Returns the next address, in rotation. */
  next(): string;
  /** Number of addresses that `next` rotates over. */
  size(): number;
  close(): void;
}

/** Creates a pool of addresses that are always offered. */
export function createFixedPool(addresses: readonly string[]): EntryPool {
  return createPool(
    () => addresses,
    () => undefined,
  );
}

const readyPollMs = 100;

/** An entry instance and its check for readiness. */
export interface CheckedEntry {
  readonly address: string;
  readonly isReady: () => Promise<boolean>;
}

/** Creates a pool that leaves out entries that are not ready. */
export function createReadyPool(entries: readonly CheckedEntry[]): EntryPool {
  const all = entries.map(entry => entry.address);
  const unready = new Set<string>();

  async function check({address, isReady}: CheckedEntry): Promise<void> {
    if (await isReady()) unready.delete(address);
    else unready.add(address);
  }

  function readyAddresses(): readonly string[] {
    const ready = all.filter(address => !unready.has(address));
    return ready.length > 0 ? ready : all;
  }

  const timer = setInterval(() => {
    for (const entry of entries) void check(entry);
  }, readyPollMs);
  return createPool(readyAddresses, () => clearInterval(timer));
}

function createPool(
  currentAddresses: () => readonly string[],
  close: () => void,
): EntryPool {
  let nextIndex = 0;
  return {
    next: () => {
      const addresses = currentAddresses();
      const address = addresses[nextIndex++ % addresses.length];
      if (address === undefined) throw new Error('the load has no entries');
      return address;
    },
    size: () => currentAddresses().length,
    close,
  };
}
