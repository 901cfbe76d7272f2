import type {ClaimEnd, ClaimReply} from '@toucanrouter/common';
import {
  createManualClock,
  toClaimId,
  toInstanceId,
  toWorkspaceId,
} from '@toucanrouter/common';
import {createControlledKeyValue} from '@toucanrouter/standins';
import {expect} from 'chai';
import type {ClaimWriter} from '../../index.js';
import {createClaimWriter} from '../../index.js';

const hourMs = 3_600_000;

const flushPromises = () => new Promise(resolve => setImmediate(resolve));

function reference(claim: string, key: string) {
  return {
    claimId: toClaimId(claim),
    workspaceId: toWorkspaceId('w'),
    idempotencyKey: key,
  };
}

const completed: ClaimEnd = {
  kind: 'completed',
  outcome: {status: 200, contentType: 'text/plain', bodyBase64: ''},
};

/** Creates a service whose calls are answered at once, and its writers. */
function createHarness() {
  const clock = createManualClock(1000);
  const platform = createControlledKeyValue();

  async function settle(): Promise<void> {
    for (let i = 0; i < 40; i++) {
      for (const call of platform.pending()) call.respond();
      await flushPromises();
      clock.advance(25);
      await flushPromises();
    }
  }

  async function claim(
    writer: ClaimWriter,
    claimId: string,
    key: string,
  ): Promise<ClaimReply> {
    const result = writer.claim({
      ...reference(claimId, key),
      requestHash: 'hash',
      owner: toInstanceId('i'),
    });
    await settle();
    return (await result)._unsafeUnwrap();
  }

  async function end(
    writer: ClaimWriter,
    claimId: string,
    key: string,
    how: ClaimEnd,
  ): Promise<void> {
    const result = writer.end(reference(claimId, key), how);
    await settle();
    (await result)._unsafeUnwrap();
  }

  return {
    clock,
    state: platform.state,
    createWriter: (name: string) =>
      createClaimWriter({store: platform.storeFor(name), shard: 0, clock}),
    /** Creates a writer that learns of a restore by its own calls only. */
    createUnawareWriter: (name: string) => {
      const store = {
        ...platform.storeFor(name),
        registerHistoryHandler: () => () => {},
      };
      return createClaimWriter({store, shard: 0, clock});
    },
    settle,
    claim,
    end,
  };
}

describe('claims in a store that comes back from a copy', () => {
  // Guards against a call that runs twice because the copy lacks its claim.
  it('refuses a key whose claim the copy lacks', async () => {
    const {claim, createUnawareWriter, state} = createHarness();
    const writer = createUnawareWriter('a');
    await claim(writer, 'c0', 'other');
    const copy = state.copy();
    await claim(writer, 'c1', 'key');
    state.restore(copy);
    expect((await claim(writer, 'c2', 'key')).kind).to.equal('in_progress');
  });

  // Guards against a second run by the next writer, which has only the copy.
  it('writes lost claims again for writers that did not know them', async () => {
    const {claim, createWriter, end, settle, state} = createHarness();
    const writer = createWriter('a');
    const copy = state.copy();
    await claim(writer, 'c1', 'running');
    await claim(writer, 'c2', 'done');
    await end(writer, 'c2', 'done', completed);
    state.restore(copy);
    await settle();
    const next = createWriter('b');
    expect((await claim(next, 'd1', 'running')).kind).to.equal('in_progress');
    expect((await claim(next, 'd2', 'done')).kind).to.equal('completed');
  });

  // Guards against outcomes that callers had been told and that are gone.
  it('writes lost ends and releases of claims in the copy again', async () => {
    const {claim, createWriter, end, settle, state} = createHarness();
    const writer = createWriter('a');
    await claim(writer, 'c1', 'ended');
    await claim(writer, 'c2', 'released');
    await claim(writer, 'c3', 'taken over');
    const copy = state.copy();
    await end(writer, 'c1', 'ended', completed);
    await end(writer, 'c2', 'released', {kind: 'not_sent'});
    await end(writer, 'c3', 'taken over', {kind: 'not_sent'});
    await claim(writer, 'c4', 'taken over');
    state.restore(copy);
    await settle();
    const next = createWriter('b');
    expect((await claim(next, 'd1', 'ended')).kind).to.equal('completed');
    expect((await claim(next, 'd2', 'released')).kind).to.equal('claimed');
    const takenOver = await claim(next, 'd3', 'taken over');
    expect(takenOver.kind).to.equal('in_progress');
    await end(next, 'c4', 'taken over', completed);
  });

  // Guards against a head revision that is given out twice: the compare of a
  // writer with an outdated copy held, and it erased the claims of the other.
  it('erases no claim at a head revision that was given out again', async () => {
    const {claim, createUnawareWriter, createWriter, state} = createHarness();
    const [a, b] = [createUnawareWriter('a'), createUnawareWriter('b')];
    await claim(b, 'c0', 'other');
    const copy = state.copy();
    await claim(a, 'c1', 'key a');
    const lostRevision = state.revision();
    state.restore(copy);
    expect((await claim(b, 'c2', 'key b')).kind).to.equal('claimed');
    expect(state.revision()).to.equal(lostRevision);
    expect((await claim(a, 'c3', 'key c')).kind).to.equal('claimed');
    const next = createWriter('c');
    for (const key of ['key b', 'key a', 'key c', 'other']) {
      const reply = await claim(next, `d ${key}`, key);
      expect(reply.kind, key).to.equal('in_progress');
    }
  });

  // Guards against a claim that is found although the head was given out again
  // to another write.
  it('confirms no claim by a head revision that was given out again', async () => {
    const {claim, createUnawareWriter, state} = createHarness();
    const [a, b] = [createUnawareWriter('a'), createUnawareWriter('b')];
    await claim(b, 'c0', 'other');
    const copy = state.copy();
    await claim(a, 'c1', 'key');
    state.restore(copy);
    expect((await claim(b, 'd1', 'key')).kind).to.equal('claimed');
    expect((await claim(a, 'c1', 'key')).kind).to.equal('in_progress');
  });

  // Guards against a lost claim that is written over its successor.
  it('leaves a key to the claim that got it after the restore', async () => {
    const {claim, createUnawareWriter, end, state} = createHarness();
    const [a, b] = [createUnawareWriter('a'), createUnawareWriter('b')];
    const copy = state.copy();
    await claim(a, 'c1', 'key');
    state.restore(copy);
    expect((await claim(b, 'd1', 'key')).kind).to.equal('claimed');
    await claim(a, 'c2', 'other');
    await end(b, 'd1', 'key', completed);
    expect((await claim(a, 'e1', 'key')).kind).to.equal('completed');
  });

  // Guards against expired claims that come back from a writer's memory.
  it('does not write claims again that expired', async () => {
    const {claim, clock, createWriter, state} = createHarness();
    const [a, b] = [createWriter('a'), createWriter('b')];
    await claim(a, 'c1', 'key');
    for (let hour = 0; hour < 26; hour++) {
      clock.advance(hourMs);
      await claim(b, `c${hour}`, `other ${hour}`);
    }
    state.restore(state.copy());
    expect((await claim(a, 'd1', 'unrelated')).kind).to.equal('claimed');
    expect((await claim(a, 'd2', 'key')).kind).to.equal('claimed');
  });
});
