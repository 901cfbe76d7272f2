/**
 * Registers this instance in the store under a lease and renews the lease while
 * the instance runs. The entry of a stopped instance expires with its lease.
 */
import type {Clock} from '@toucanrouter/common';
import {delay} from '@toucanrouter/common';
import type {Logger} from '@toucanrouter/logging';
import type {InstanceEntry, Lease, StateStore} from '../state/StateStore.js';

/** Options of a registration. */
export interface RegistrationOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly store: StateStore;
  readonly entry: InstanceEntry;
}

/** Keeps this instance registered until it is closed. */
export interface Registration {
  start(): void;
  close(): void;
}

/** Peers send reports to a stopped instance for up to this time. */
const leaseMs = 12_000;
const renewalMs = leaseMs / 3;
const retryMs = 4_000;
const callTimeoutMs = 800;

/** Creates a registration that has not started. */
export function createRegistration(options: RegistrationOptions): Registration {
  const {clock, entry, logger, store} = options;
  let lease: Lease | undefined;
  let closed = false;

  async function register(): Promise<boolean> {
    const registered = await store.register(entry, leaseMs, callTimeoutMs);
    if (registered.isErr()) {
      logger.warn('registering the instance failed; retrying', {
        reason: registered.error.message,
      });
      return false;
    }
    lease = registered.value;
    logger.info('instance registered', {instanceId: entry.instanceId});
    return true;
  }

  async function renew({id}: Lease): Promise<boolean> {
    const renewed = await store.renew(id, callTimeoutMs);
    if (renewed.isErr()) {
      logger.warn('renewing the registration failed; retrying', {
        reason: renewed.error.message,
      });
      return false;
    }
    if (!renewed.value.exists) lease = undefined;
    return renewed.value.exists;
  }

  async function run(): Promise<void> {
    while (!closed) {
      const succeeded = await (lease === undefined ? register() : renew(lease));
      await delay(clock, succeeded ? renewalMs : retryMs);
    }
  }

  return {
    start: () => void run(),
    close: () => {
      closed = true;
    },
  };
}
