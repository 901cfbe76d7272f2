import type {ClaimReply} from '@toucanrouter/common';
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

const flushPromises = () => new Promise(resolve => setImmediate(resolve));

function reference(claim: string, key: string) {
  return {
    claimId: toClaimId(claim),
    workspaceId: toWorkspaceId('w'),
    idempotencyKey: key,
  };
}

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

  return {
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
    claim,
  };
}

describe('claims in a store that comes back from a copy', () => {
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
    for (const key of ['key b', 'key c', 'other']) {
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
});
