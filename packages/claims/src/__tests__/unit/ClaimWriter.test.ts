import type {ClaimEnd, ClaimReply, StoredResponse} from '@toucanrouter/common';
import {
  createManualClock,
  toClaimId,
  toInstanceId,
  toWorkspaceId,
} from '@toucanrouter/common';
import {createControlledKeyValue} from '@toucanrouter/standins';
import {expect} from 'chai';
import type {ClaimWriter} from '../../index.js';
import {
  claimShardCount,
  claimShardOf,
  createClaimWriter,
  createLocalClaimStore,
  maxOutcomeBodyBytes,
} from '../../index.js';

const hourMs = 3_600_000;

const flushPromises = () => new Promise(resolve => setImmediate(resolve));

function reference(claim: string, key = 'key') {
  return {
    claimId: toClaimId(claim),
    workspaceId: toWorkspaceId('w'),
    idempotencyKey: key,
  };
}

function request(claim: string, key = 'key', requestHash = 'hash') {
  return {...reference(claim, key), requestHash, owner: toInstanceId('i')};
}

function completed(bodyBytes = 5): ClaimEnd & {outcome: StoredResponse} {
  const bodyBase64 = Buffer.alloc(bodyBytes, 'x').toString('base64');
  const outcome = {status: 200, contentType: 'text/plain', bodyBase64};
  return {kind: 'completed', outcome};
}

function createHarness() {
  const clock = createManualClock(1000);
  const platform = createControlledKeyValue();

  function createWriter(name: string): ClaimWriter {
    const store = platform.storeFor(name);
    return createClaimWriter({store, shard: 0, clock});
  }

  /**
   * Responds to all platform calls, with time for calls that follow from them.
   */
  async function respondToAll(): Promise<void> {
    for (let i = 0; i < 12; i++) {
      for (const call of platform.pending()) call.respond();
      await flushPromises();
      clock.advance(25);
      await flushPromises();
    }
  }

  /** Runs until all operations have completed and returns their results. */
  async function runToCompletion<T>(results: PromiseLike<T>[]): Promise<T[]> {
    await respondToAll();
    return Promise.all(results);
  }

  async function claim(writer: ClaimWriter, claimId: string, key?: string) {
    const [result] = await runToCompletion([
      writer.claim(request(claimId, key)),
    ]);
    return result?._unsafeUnwrap() as ClaimReply;
  }

  async function end(writer: ClaimWriter, claimId: string, how: ClaimEnd) {
    const [result] = await runToCompletion([
      writer.end(reference(claimId), how),
    ]);
    return result;
  }

  return {
    clock,
    platform,
    createWriter,
    respondToAll,
    runToCompletion,
    claim,
    end,
  };
}

describe('createClaimWriter', () => {
  it('batches concurrent claims into few writes, so that the write rate stays bounded', async () => {
    const harness = createHarness();
    const writer = harness.createWriter('a');
    const results = Array.from({length: 200}, (_, i) =>
      writer.claim(request(`c${i}`, `key ${i}`)),
    );
    const replies = await harness.runToCompletion(results);
    const kinds = new Set(replies.map(reply => reply._unsafeUnwrap().kind));
    expect([...kinds]).to.deep.equal(['claimed']);
    expect(writer.counters().writes).to.be.at.most(2);
  });

  it('keeps writes 25 ms apart, so that a shard makes at most 40 per second', async () => {
    const harness = createHarness();
    const writer = harness.createWriter('a');
    await harness.claim(writer, 'c0', 'key 0');
    const before = writer.counters().writes;
    for (let i = 0; i < 1000; i++) {
      void writer.claim(request(`d${i}`, `other ${i}`));
      for (const call of harness.platform.pending()) call.respond();
      await flushPromises();
      harness.clock.advance(1);
    }
    expect(writer.counters().writes - before).to.be.at.most(40);
  });

  it('returns the fencing token of the first write to a repeated claim, also through another writer', async () => {
    const harness = createHarness();
    const [first, second] = ['a', 'b'].map(harness.createWriter);
    if (!first || !second) throw new Error('expected two writers');
    const reply = await harness.claim(first, 'c1');
    await harness.claim(first, 'c2', 'other');
    await harness.claim(second, 'c3', 'third');
    expect(reply).to.include({kind: 'claimed'});
    expect(await harness.claim(first, 'c1')).to.deep.equal(reply);
    expect(await harness.claim(second, 'c1')).to.deep.equal(reply);
  });

  it('rejects another body and another claim under a claimed key', async () => {
    const harness = createHarness();
    const writer = harness.createWriter('a');
    await harness.claim(writer, 'c1');
    const [reused] = await harness.runToCompletion([
      writer.claim(request('c2', 'key', 'other body')),
    ]);
    expect(reused?._unsafeUnwrap().kind).to.equal('key_reused');
    expect(await harness.claim(writer, 'c3')).to.deep.equal({
      kind: 'in_progress',
    });
  });

  it('returns the first stored outcome to every later call', async () => {
    const harness = createHarness();
    const writer = harness.createWriter('a');
    await harness.claim(writer, 'c1');
    await harness.end(writer, 'c1', completed());
    await harness.end(writer, 'c1', {kind: 'outcome_unknown'});
    const {outcome} = completed();
    const expected = {kind: 'completed', outcome};
    expect(await harness.claim(writer, 'c2')).to.deep.equal(expected);
    const successor = harness.createWriter('b');
    expect(await harness.claim(successor, 'c3')).to.deep.equal(expected);
  });

  it('reports an unknown outcome when the response is too large to store', async () => {
    const harness = createHarness();
    const writer = harness.createWriter('a');
    await harness.claim(writer, 'c1');
    await harness.end(writer, 'c1', completed(maxOutcomeBodyBytes + 1));
    expect(await harness.claim(writer, 'c2')).to.deep.equal({
      kind: 'outcome_unknown',
    });
  });

  it('frees a key when its claim is released, but not when another claim is', async () => {
    const harness = createHarness();
    const writer = harness.createWriter('a');
    await harness.claim(writer, 'c1');
    await harness.end(writer, 'c2', {kind: 'not_sent'});
    expect((await harness.claim(writer, 'c3')).kind).to.equal('in_progress');
    await harness.end(writer, 'c1', {kind: 'not_sent'});
    expect((await harness.claim(writer, 'c4')).kind).to.equal('claimed');
  });

  it('does not confirm a claim from an outdated copy after another writer released it', async () => {
    const harness = createHarness();
    const outdated = harness.createWriter('a');
    await harness.claim(outdated, 'c1');
    await harness.end(harness.createWriter('b'), 'c1', {kind: 'not_sent'});
    const [repeated] = await harness.runToCompletion([
      outdated.claim(request('c1')),
    ]);
    expect(repeated?._unsafeUnwrapErr().kind).to.equal('canceled');
  });

  it('rejects a claim that arrives after its owner released it', async () => {
    const harness = createHarness();
    const writer = harness.createWriter('a');
    await harness.end(writer, 'c1', {kind: 'not_sent'});
    const [late] = await harness.runToCompletion([writer.claim(request('c1'))]);
    expect(late?._unsafeUnwrapErr().kind).to.equal('canceled');
    expect((await harness.claim(writer, 'c2')).kind).to.equal('claimed');
  });

  it('finds a claim by its id when its write took effect but the response was lost', async () => {
    const harness = createHarness();
    const writer = harness.createWriter('a');
    await harness.claim(writer, 'c0', 'other');
    const result = writer.claim(request('c1'));
    await flushPromises();
    const [write] = harness.platform.pending();
    write?.execute();
    write?.timeOut();
    const revision = harness.platform.state.revision();
    const [reply] = await harness.runToCompletion([result]);
    expect(reply?._unsafeUnwrap()).to.deep.equal({
      kind: 'claimed',
      fencingToken: revision,
    });
    expect(writer.counters().writesWithoutResponse).to.equal(1);
  });

  it('does not complete a claim from an outdated copy while its own write is unresolved', async () => {
    const harness = createHarness();
    const writer = harness.createWriter('a');
    await harness.claim(writer, 'c1');
    const released = writer.end(reference('c1'), {kind: 'not_sent'});
    const result = writer.claim(request('c2'));
    await flushPromises();
    const [write] = harness.platform.pending();
    write?.execute();
    write?.timeOut();
    await harness.respondToAll();
    const reply = await result;
    expect((await released).isOk()).to.equal(true);
    expect(reply._unsafeUnwrap()).to.include({kind: 'claimed'});
  });

  it('fails a new claim but returns a stored outcome while the platform is down', async () => {
    const harness = createHarness();
    const writer = harness.createWriter('a');
    await harness.claim(writer, 'c1');
    await harness.end(writer, 'c1', completed());
    const results = [
      writer.claim(request('c2')),
      writer.claim(request('c3', 'new')),
    ];
    for (let i = 0; i < 250; i++) {
      for (const call of harness.platform.pending()) call.timeOut();
      await flushPromises();
      harness.clock.advance(25);
    }
    const [known, fresh] = await Promise.all(results);
    expect(known?._unsafeUnwrap().kind).to.equal('completed');
    expect(fresh?._unsafeUnwrapErr().kind).to.equal('platform_unavailable');
  });

  it('fails claims on a shard whose log is incomplete, where a key might be claimed twice', async () => {
    const harness = createHarness();
    await harness.claim(harness.createWriter('a'), 'c1');
    const key = '/toucanrouter/claims/0/head';
    harness.platform.state.commit(writer => writer.remove({key}));
    const result = harness.createWriter('b').claim(request('c2'));
    for (let i = 0; i < 25; i++) {
      await harness.respondToAll();
    }
    const error = (await result)._unsafeUnwrapErr();
    expect(error.message).to.include('missing or malformed');
  });

  it('deletes segments after the retention period and keeps keys until then', async () => {
    const harness = createHarness();
    const writer = harness.createWriter('a');
    await harness.claim(writer, 'c1');
    await harness.end(writer, 'c1', completed());
    harness.clock.advance(23 * hourMs);
    await harness.claim(writer, 'c2', 'other');
    expect((await harness.claim(writer, 'c3')).kind).to.equal('completed');
    harness.clock.advance(2 * hourMs);
    await harness.claim(writer, 'c4', 'third');
    expect((await harness.claim(writer, 'c5')).kind).to.equal('claimed');
    const successor = harness.createWriter('b');
    expect((await harness.claim(successor, 'c6')).kind).to.equal('in_progress');
  });

  it('completes accepted operations before it closes and rejects new ones', async () => {
    const harness = createHarness();
    const writer = harness.createWriter('a');
    const accepted = writer.claim(request('c1'));
    const closed = writer.close();
    const rejected = await writer.claim(request('c2'));
    await harness.respondToAll();
    await closed;
    expect((await accepted)._unsafeUnwrap().kind).to.equal('claimed');
    expect(rejected._unsafeUnwrapErr().kind).to.equal('shutting_down');
  });
});

describe('createLocalClaimStore', () => {
  it('routes a key to exactly one shard, so that no two writers claim it', async () => {
    const clock = createManualClock();
    const platform = createControlledKeyValue();
    const writers = Array.from({length: claimShardCount}, (_, shard) =>
      createClaimWriter({store: platform.storeFor('a'), shard, clock}),
    );
    const store = createLocalClaimStore(writers);
    const result = store.claim(request('c1', 'key 7'));
    for (let i = 0; i < 5; i++) {
      for (const call of platform.pending()) call.respond();
      await flushPromises();
      clock.advance(1);
    }
    expect((await result)._unsafeUnwrap().kind).to.equal('claimed');
    const shard = claimShardOf(toWorkspaceId('w'), 'key 7');
    const writes = writers.map(writer => writer.counters().writes);
    expect(writes[shard]).to.equal(1);
    expect(writes.reduce((sum, count) => sum + count)).to.equal(1);
  });
});
