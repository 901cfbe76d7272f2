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
  const archive = createVerdictArchive({
    clock,
    logger: createLogger({
      format: 'json',
      level: 'error',
      instanceId: toInstanceId('i'),
      write: () => undefined,
    }),
    store: {
      saveVerdict: () => call('save'),
      removeVerdict: () => call('remove'),
    },
    onVerdict: adopted => calls.push(`adopt ${adopted.durationMs}`),
  });
  return {archive, calls, clock};
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
});
