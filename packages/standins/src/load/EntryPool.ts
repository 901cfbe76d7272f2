/**
 * Selects the entry instance of each request like the platform's load balancer:
 * round robin over the ready instances.
 */

/** Selects entry addresses. */
export interface EntryPool {
  /** Returns the next address, round robin. */
  next(): string;
  /** Number of addresses that are currently in rotation. */
  size(): number;
  close(): void;
}

/** Creates a pool that always contains all addresses. */
export function createFixedPool(addresses: readonly string[]): EntryPool {
  return createPool(
    () => addresses,
    () => undefined,
  );
}

const readyPollMs = 100;

/** An entry instance with its readiness check. */
export interface EntryWithReadiness {
  readonly address: string;
  readonly isReady: () => Promise<boolean>;
}

/**
 * Creates a pool that skips entries that are not ready. If none is ready, it
 * contains all of them.
 */
export function createReadyPool(
  entries: readonly EntryWithReadiness[],
): EntryPool {
  const all = entries.map(entry => entry.address);
  const unready = new Set<string>();

  async function check({address, isReady}: EntryWithReadiness): Promise<void> {
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
      if (address === undefined) throw new Error('the entry pool is empty');
      return address;
    },
    size: () => currentAddresses().length,
    close,
  };
}
