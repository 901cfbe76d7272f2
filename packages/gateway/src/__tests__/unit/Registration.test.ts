import type {ManualClock} from '@toucanrouter/common';
import {
  createManualClock,
  PlatformError,
  toInstanceId,
} from '@toucanrouter/common';
import {createLogger} from '@toucanrouter/logging';
import {expect} from 'chai';
import {errAsync, okAsync} from 'neverthrow';
import {createRegistration} from '../../peers/Registration.js';
import {toStoreEra} from '../../state/StateStore.js';
import {createStoreHistory} from '../../state/StoreHistory.js';

const settledMs = 200;
const renewedAfterMs = 4_100;

/** A store that grants lease 1, 2, ... and answers in the era that is set. */
function createLeasingStore() {
  const calls: string[] = [];
  let era = toStoreEra(1);
  let isDown = false;
  let nextLease = 1;
  const down = () => errAsync(new PlatformError('down', false));
  return {
    calls,
    setEra: (next: number) => {
      era = toStoreEra(next);
    },
    setDown: (next: boolean) => {
      isDown = next;
    },
    store: {
      register: () => {
        calls.push('register');
        if (isDown) return down();
        const id = nextLease;
        nextLease += 1;
        return okAsync({id, era});
      },
      // The numbers of leases are given out again, so the lease exists.
      renew: (lease: number) => {
        calls.push(`renew ${lease}`);
        return isDown ? down() : okAsync({exists: true, era});
      },
    },
  };
}

function createRegisteredInstance() {
  const clock = createManualClock();
  const leasing = createLeasingStore();
  const history = createStoreHistory();
  const instanceId = toInstanceId('i');
  const registration = createRegistration({
    clock,
    logger: createLogger({
      format: 'json',
      level: 'error',
      instanceId,
      write: () => undefined,
    }),
    store: leasing.store,
    history,
    entry: {
      instanceId,
      address: {host: '127.0.0.1', port: 1},
      failureDomain: 'a',
    },
  });
  registration.start();
  return {...leasing, clock, history, registration};
}

async function advance(clock: ManualClock, ms: number): Promise<void> {
  for (let passed = 0; passed < ms; passed += 100) {
    for (let turn = 0; turn < 20; turn += 1) await Promise.resolve();
    clock.advance(100);
  }
}

describe('Registration', () => {
  it('renews its lease', async () => {
    const {calls, clock} = createRegisteredInstance();
    await advance(clock, 2 * renewedAfterMs);
    expect(calls).to.deep.equal(['register', 'renew 1', 'renew 1']);
  });

  // Guards against an instance that renews the lease of another one and stays
  // missing in the list.
  it('registers again if its lease is of an earlier history', async () => {
    const {calls, clock, setEra} = createRegisteredInstance();
    await advance(clock, settledMs);
    setEra(2);
    await advance(clock, renewedAfterMs);
    expect(calls).to.deep.equal(['register', 'renew 1', 'register']);
    await advance(clock, renewedAfterMs);
    expect(calls.slice(3)).to.deep.equal(['renew 2']);
  });

  // Guards against an instance that is missing until its next renewal.
  it('registers at once when a read shows a new history', async () => {
    const {calls, clock, history, setEra} = createRegisteredInstance();
    await advance(clock, settledMs);
    setEra(2);
    history.observe(toStoreEra(2));
    await advance(clock, settledMs);
    expect(calls).to.deep.equal(['register', 'register']);
  });

  // Guards against a lease that was granted just before the store came back.
  it('does not keep a lease that was granted before the copy', async () => {
    const {calls, clock, history} = createRegisteredInstance();
    history.observe(toStoreEra(2));
    await advance(clock, settledMs);
    expect(calls).to.deep.equal(['register']);
    await advance(clock, 500);
    expect(calls).to.deep.equal(['register', 'register']);
  });

  // Guards against an entry that a late write put under another's lease.
  it('registers again when its entry is gone', async () => {
    const {calls, clock, registration} = createRegisteredInstance();
    await advance(clock, settledMs);
    registration.entryRemoved();
    await advance(clock, settledMs);
    expect(calls).to.deep.equal(['register', 'register']);
  });

  it('is back soon after an outage in which a new history began', async () => {
    const {calls, clock, history, setDown, setEra} = createRegisteredInstance();
    await advance(clock, settledMs);
    setEra(2);
    setDown(true);
    history.observe(toStoreEra(2));
    await advance(clock, 400);
    setDown(false);
    await advance(clock, 500);
    expect(calls).to.deep.equal(['register', 'register', 'register']);
    await advance(clock, renewedAfterMs);
    expect(calls.slice(3)).to.deep.equal(['renew 2']);
  });

  it('makes no calls once it is closed', async () => {
    const {calls, clock, history, registration} = createRegisteredInstance();
    await advance(clock, settledMs);
    registration.close();
    history.observe(toStoreEra(2));
    await advance(clock, renewedAfterMs);
    expect(calls).to.deep.equal(['register']);
  });
});
