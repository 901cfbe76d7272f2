import type {ManualClock} from '@toucanrouter/common';
import {
  createManualClock,
  PlatformError,
  toInstanceId,
} from '@toucanrouter/common';
import {createLogger} from '@toucanrouter/logging';
import {segmentHashOf} from '@toucanrouter/policy';
import {expect} from 'chai';
import {errAsync, okAsync} from 'neverthrow';
import type {StoredVerdict} from '../../state/StateStore.js';
import {toStoreEra} from '../../state/StateStore.js';
import {createStoreHistory} from '../../state/StoreHistory.js';
import {createVerdictArchive} from '../../state/VerdictArchive.js';

const segment = segmentHashOf('crashing');
const verdict = {segment, durationMs: 5_000, evidenceAgeMs: 1_000};

/** Creates an archive whose store fails for the first `failureCount` calls. */
function createArchive(failureCount: number) {
  const clock = createManualClock();
  const calls: string[] = [];
  const call = (name: string) => {
    calls.push(name);
    return calls.length > failureCount
      ? okAsync<void, PlatformError>(undefined)
      : errAsync<void, PlatformError>(new PlatformError('down', false));
  };
  const history = createStoreHistory();
  history.observe(toStoreEra(1));
  const saved: StoredVerdict[] = [];
  const archive = createVerdictArchive({
    clock,
    history,
    logger: createLogger({
      format: 'json',
      level: 'error',
      instanceId: toInstanceId('i'),
      write: () => undefined,
    }),
    store: {
      saveVerdict: next => {
        saved.push(next);
        return call('save');
      },
      removeVerdict: () => call('remove'),
    },
    onVerdict: adopted => calls.push(`adopt ${adopted.durationMs}`),
  });
  const beginHistory = () => history.observe(toStoreEra(2));
  return {archive, beginHistory, calls, clock, saved};
}

async function advance(clock: ManualClock, ms: number): Promise<void> {
  for (let passed = 0; passed < ms; passed += 100) {
    for (let turn = 0; turn < 20; turn += 1) await Promise.resolve();
    clock.advance(100);
  }
}

describe('VerdictArchive', () => {
  // Guards against an entry that blocks a segment anew each time it is read.
  it('adopts a verdict of the store once, until it was removed there', () => {
    const {archive, calls} = createArchive(0);
    archive.receive(verdict);
    archive.receive(verdict);
    expect(calls).to.deep.equal(['adopt 5000']);
    archive.receiveRemoval(segment);
    archive.receive(verdict);
    expect(calls).to.deep.equal(['adopt 5000', 'adopt 5000']);
  });

  // Guards against a lifted verdict that later instances read from the store.
  it('removes a verdict that another instance had saved', async () => {
    const {archive, calls, clock} = createArchive(0);
    archive.receive(verdict);
    archive.remove(segment);
    await advance(clock, 100);
    expect(calls).to.deep.equal(['adopt 5000', 'remove']);
  });

  // Guards against a verdict that is lost because the store was away.
  it('saves a verdict once the store is back', async () => {
    const {archive, calls, clock} = createArchive(2);
    archive.save(verdict);
    await advance(clock, 4_000);
    expect(calls).to.deep.equal(['save', 'save', 'save']);
  });

  // Guards against calls for a verdict that is over.
  it('gives up when the time of the verdict is over', async () => {
    const {archive, calls, clock} = createArchive(Infinity);
    archive.save(verdict);
    await advance(clock, 20_000);
    expect(calls.length).to.be.within(2, 6);
  });

  // Guards against a lifted verdict that restarted instances adopt.
  it('removes a lifted verdict that it saved, and no other', async () => {
    const {archive, calls, clock} = createArchive(0);
    archive.remove(segment);
    archive.save(verdict);
    await advance(clock, 200);
    archive.remove(segment);
    archive.remove(segment);
    await advance(clock, 200);
    expect(calls).to.deep.equal(['save', 'remove']);
  });

  // Guards against a verdict that later instances do not know, because the
  // store came back from a copy that was made before it was saved.
  it('saves the rest of its verdicts again in a new history', async () => {
    const {archive, beginHistory, calls, clock, saved} = createArchive(0);
    archive.save(verdict);
    await advance(clock, 2_000);
    beginHistory();
    await advance(clock, 100);
    expect(calls).to.deep.equal(['save', 'save']);
    expect(saved[1]).to.deep.equal({
      segment,
      durationMs: 3_000,
      evidenceAgeMs: 3_000,
    });
  });

  // Guards against a verdict that is lost because the instance that saved it
  // has ended.
  it('saves verdicts of others that a new history lacks', async () => {
    const {archive, beginHistory, calls, clock} = createArchive(0);
    archive.receive(verdict);
    beginHistory();
    await advance(clock, 1_000);
    expect(calls).to.deep.equal(['adopt 5000']);
    await advance(clock, 2_000);
    expect(calls).to.deep.equal(['adopt 5000', 'save']);
  });

  it('leaves verdicts of others that a new history holds', async () => {
    const {archive, beginHistory, calls, clock} = createArchive(0);
    archive.receive(verdict);
    beginHistory();
    archive.receive(verdict);
    await advance(clock, 3_000);
    expect(calls).to.deep.equal(['adopt 5000']);
  });

  // Guards against a lifted verdict that comes back with the copy.
  it('removes a lifted verdict that a new history holds', async () => {
    const {archive, beginHistory, calls, clock} = createArchive(0);
    archive.save(verdict);
    archive.remove(segment);
    await advance(clock, 200);
    beginHistory();
    archive.receive(verdict);
    archive.receive(verdict);
    await advance(clock, 200);
    expect(calls.at(-1)).to.equal('remove');
    expect(calls.filter(call => call === 'remove')).to.have.length(2);
  });

  it('does not save a verdict again that is nearly over', async () => {
    const {archive, beginHistory, calls, clock} = createArchive(0);
    archive.save(verdict);
    await advance(clock, 4_500);
    beginHistory();
    await advance(clock, 400);
    expect(calls).to.deep.equal(['save']);
  });
});
