/**
 * Registers this instance in the store under a lease and renews the lease while
 * the instance runs. The entry of a stopped instance expires with its lease. A
 * store that comes back from a copy may lack the entry, and may have given the
 * number of the lease to another writer, so a lease is used only in the history
 * that granted it.
 */
import type {Clock} from '@toucanrouter/common';
import type {Logger} from '@toucanrouter/logging';
import type {InstanceEntry, Lease, StateStore} from '../state/StateStore.js';
import type {StoreHistory} from '../state/StoreHistory.js';

/** Options of a registration. */
export interface RegistrationOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly store: Pick<StateStore, 'register' | 'renew'>;
  readonly history: StoreHistory;
  readonly entry: InstanceEntry;
}

/** Keeps this instance registered until it is closed. */
export interface Registration {
  start(): void;
  /** Handles an entry of this instance that is gone from the store. */
  entryRemoved(): void;
  close(): void;
}

/** Peers send reports to a stopped instance for up to this time. */
const leaseMs = 12_000;
const renewalMs = leaseMs / 3;
const firstRetryMs = 500;
const maxRetryMs = 4_000;
const callTimeoutMs = 800;

/** Creates a registration that has not started. */
export function createRegistration(options: RegistrationOptions): Registration {
  const {clock, entry, history, logger, store} = options;
  let lease: Lease | undefined;
  let consecutiveFailures = 0;
  let closed = false;
  let wakeUp: () => void = () => undefined;

  /** Resolves after `waitMs`, or as soon as the entry must be written again. */
  function wait(waitMs: number): Promise<void> {
    return new Promise(resolve => {
      const cancelTimer = clock.after(waitMs, resolve);
      wakeUp = () => {
        cancelTimer();
        resolve();
      };
    });
  }

  async function register(): Promise<boolean> {
    const registered = await store.register(entry, leaseMs, callTimeoutMs);
    if (registered.isErr()) {
      logger.warn('registering the instance failed; retrying', {
        reason: registered.error.message,
      });
      return false;
    }
    const granted = registered.value;
    history.observe(granted.era);
    if (isOutdated(granted)) {
      logger.warn('the lease is of an earlier era; registering again', {
        era: granted.era,
        latestEra: history.era(),
      });
      return false;
    }
    lease = granted;
    logger.info('instance registered', {
      instanceId: entry.instanceId,
      era: granted.era,
    });
    return true;
  }

  function isOutdated({era}: Lease): boolean {
    return era !== undefined && era !== history.era();
  }

  async function renew(current: Lease): Promise<boolean> {
    const renewed = await store.renew(current.id, callTimeoutMs);
    if (renewed.isErr()) {
      logger.warn('renewing the registration failed; retrying', {
        reason: renewed.error.message,
      });
      return false;
    }
    history.observe(renewed.value.era);
    if (renewed.value.exists && !isOutdated(current)) return true;
    // The entry may have been written again during the call.
    if (lease === current) lease = undefined;
    return false;
  }

  /** Forgets the lease and registers at once. */
  function registerAgain(): void {
    lease = undefined;
    consecutiveFailures = 0;
    wakeUp();
  }

  function delayMs(succeeded: boolean): number {
    if (succeeded) return renewalMs;
    const retryMs = firstRetryMs * 2 ** (consecutiveFailures - 1);
    return Math.min(retryMs, maxRetryMs);
  }

  async function run(): Promise<void> {
    while (!closed) {
      const current = lease;
      const succeeded = await (current === undefined
        ? register()
        : renew(current));
      const isLost = current !== undefined && lease === undefined;
      if (isLost) continue;
      consecutiveFailures = succeeded ? 0 : consecutiveFailures + 1;
      await wait(delayMs(succeeded));
    }
  }

  const stopListening = history.onBegin(registerAgain);

  return {
    start: () => void run(),
    entryRemoved: () => {
      if (closed || lease === undefined) return;
      logger.warn('the entry of this instance is gone; writing it again', {
        instanceId: entry.instanceId,
      });
      registerAgain();
    },
    close: () => {
      closed = true;
      stopListening();
      wakeUp();
    },
  };
}
