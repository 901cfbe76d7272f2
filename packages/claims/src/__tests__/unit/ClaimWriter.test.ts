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

const settle = () => new Promise(resolve => setImmediate(resolve));

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

function createWorld() {
  const clock = createManualClock(1000);
  const platform = createControlledKeyValue();

  function createWriter(name: string): ClaimWriter {
    const store = platform.storeFor(name);
    return createClaimWriter({store, shard: 0, clock});
  }

  /** Answers all calls until nothing is under way. */
  async function run(): Promise<void> {
    for (let i = 0; i < 12; i++) {
      for (const call of platform.pending()) call.answer();
      await settle();
      clock.advance(25);
      await settle();
    }
  }

  /** Runs operations to their end and returns the results. */
  async function finish<T>(results: PromiseLike<T>[]): Promise<T[]> {
    await run();
    return Promise.all(results);
  }

  async function claim(writer: ClaimWriter, claimId: string, key?: string) {
    const [result] = await finish([writer.claim(request(claimId, key))]);
    return result?._unsafeUnwrap() as ClaimReply;
  }

  async function end(writer: ClaimWriter, claimId: string, how: ClaimEnd) {
    const [result] = await finish([writer.end(reference(claimId), how)]);
    return result;
  }

  return {clock, platform, createWriter, run, finish, claim, end};
}

describe('createClaimWriter', () => {
  it('gathers claims into few writes, so that the write rate stays bounded', async () => {
    const world = createWorld();
    const writer = world.createWriter('a');
    const results = Array.from({length: 200}, (_, i) =>
      writer.claim(request(`c${i}`, `key ${i}`)),
    );
    const replies = await world.finish(results);
    const kinds = new Set(replies.map(reply => reply._unsafeUnwrap().kind));
    expect([...kinds]).to.deep.equal(['claimed']);
    expect(writer.counters().writes).to.be.at.most(2);
  });

  it('keeps writes 25 ms apart, so that a shard makes at most 40 per second', async () => {
    const world = createWorld();
    const writer = world.createWriter('a');
    await world.claim(writer, 'c0', 'key 0');
    const before = writer.counters().writes;
    for (let i = 0; i < 1000; i++) {
      void writer.claim(request(`d${i}`, `other ${i}`));
      for (const call of world.platform.pending()) call.answer();
      await settle();
      world.clock.advance(1);
    }
    expect(writer.counters().writes - before).to.be.at.most(40);
  });

  it('gives the token of the first write again, also through another writer', async () => {
    const world = createWorld();
    const [first, second] = ['a', 'b'].map(world.createWriter);
    if (!first || !second) throw new Error('two writers');
    const reply = await world.claim(first, 'c1');
    await world.claim(first, 'c2', 'other');
    await world.claim(second, 'c3', 'third');
    expect(reply).to.include({kind: 'claimed'});
    expect(await world.claim(first, 'c1')).to.deep.equal(reply);
    expect(await world.claim(second, 'c1')).to.deep.equal(reply);
  });

  it('refuses another body and another claim under a claimed key', async () => {
    const world = createWorld();
    const writer = world.createWriter('a');
    await world.claim(writer, 'c1');
    const [reused] = await world.finish([
      writer.claim(request('c2', 'key', 'other body')),
    ]);
    expect(reused?._unsafeUnwrap().kind).to.equal('key_reused');
    expect(await world.claim(writer, 'c3')).to.deep.equal({
      kind: 'in_progress',
    });
  });

  it('keeps the first outcome and gives it to every later call', async () => {
    const world = createWorld();
    const writer = world.createWriter('a');
    await world.claim(writer, 'c1');
    await world.end(writer, 'c1', completed());
    await world.end(writer, 'c1', {kind: 'outcome_unknown'});
    const {outcome} = completed();
    const expected = {kind: 'completed', outcome};
    expect(await world.claim(writer, 'c2')).to.deep.equal(expected);
    const successor = world.createWriter('b');
    expect(await world.claim(successor, 'c3')).to.deep.equal(expected);
  });

  it('answers "unknown" for an outcome that is too large to store', async () => {
    const world = createWorld();
    const writer = world.createWriter('a');
    await world.claim(writer, 'c1');
    await world.end(writer, 'c1', completed(maxOutcomeBodyBytes + 1));
    expect(await world.claim(writer, 'c2')).to.deep.equal({
      kind: 'outcome_unknown',
    });
  });

  it('frees a key that its owner released, but only by its owner', async () => {
    const world = createWorld();
    const writer = world.createWriter('a');
    await world.claim(writer, 'c1');
    await world.end(writer, 'c2', {kind: 'not_sent'});
    expect((await world.claim(writer, 'c3')).kind).to.equal('in_progress');
    await world.end(writer, 'c1', {kind: 'not_sent'});
    expect((await world.claim(writer, 'c4')).kind).to.equal('claimed');
  });

  it('does not repeat a claim that another writer released meanwhile', async () => {
    const world = createWorld();
    const outdated = world.createWriter('a');
    await world.claim(outdated, 'c1');
    await world.end(world.createWriter('b'), 'c1', {kind: 'not_sent'});
    const [repeated] = await world.finish([outdated.claim(request('c1'))]);
    expect(repeated?._unsafeUnwrapErr().kind).to.equal('canceled');
  });

  it('refuses a claim that arrives after its owner gave up', async () => {
    const world = createWorld();
    const writer = world.createWriter('a');
    await world.end(writer, 'c1', {kind: 'not_sent'});
    const [late] = await world.finish([writer.claim(request('c1'))]);
    expect(late?._unsafeUnwrapErr().kind).to.equal('canceled');
    expect((await world.claim(writer, 'c2')).kind).to.equal('claimed');
  });

  it('finds by its id a claim whose write took effect without an answer', async () => {
    const world = createWorld();
    const writer = world.createWriter('a');
    await world.claim(writer, 'c0', 'other');
    const result = writer.claim(request('c1'));
    await settle();
    const [write] = world.platform.pending();
    write?.execute();
    write?.timeOut();
    const revision = world.platform.state.revision();
    const [reply] = await world.finish([result]);
    expect(reply?._unsafeUnwrap()).to.deep.equal({
      kind: 'claimed',
      fencingToken: revision,
    });
    expect(writer.counters().unansweredWrites).to.equal(1);
  });

  it('does not answer a claim from old claims while its own write is open', async () => {
    const world = createWorld();
    const writer = world.createWriter('a');
    await world.claim(writer, 'c1');
    const released = writer.end(reference('c1'), {kind: 'not_sent'});
    const result = writer.claim(request('c2'));
    await settle();
    const [write] = world.platform.pending();
    write?.execute();
    write?.timeOut();
    await world.run();
    const reply = await result;
    expect((await released).isOk()).to.equal(true);
    expect(reply._unsafeUnwrap()).to.include({kind: 'claimed'});
  });

  it('fails a new claim but gives a stored outcome while the platform is down', async () => {
    const world = createWorld();
    const writer = world.createWriter('a');
    await world.claim(writer, 'c1');
    await world.end(writer, 'c1', completed());
    const results = [
      writer.claim(request('c2')),
      writer.claim(request('c3', 'new')),
    ];
    for (let i = 0; i < 250; i++) {
      for (const call of world.platform.pending()) call.timeOut();
      await settle();
      world.clock.advance(25);
    }
    const [known, fresh] = await Promise.all(results);
    expect(known?._unsafeUnwrap().kind).to.equal('completed');
    expect(fresh?._unsafeUnwrapErr().kind).to.equal('platform_unavailable');
  });

  it('never claims on a shard whose log is incomplete', async () => {
    const world = createWorld();
    await world.claim(world.createWriter('a'), 'c1');
    const key = '/toucanrouter/claims/0/head';
    world.platform.state.commit(writer => writer.remove({key}));
    const result = world.createWriter('b').claim(request('c2'));
    for (let i = 0; i < 25; i++) {
      await world.run();
    }
    const error = (await result)._unsafeUnwrapErr();
    expect(error.message).to.include('missing or malformed');
  });

  it('deletes segments after the retention and keeps keys until then', async () => {
    const world = createWorld();
    const writer = world.createWriter('a');
    await world.claim(writer, 'c1');
    await world.end(writer, 'c1', completed());
    world.clock.advance(23 * hourMs);
    await world.claim(writer, 'c2', 'other');
    expect((await world.claim(writer, 'c3')).kind).to.equal('completed');
    world.clock.advance(2 * hourMs);
    await world.claim(writer, 'c4', 'third');
    expect((await world.claim(writer, 'c5')).kind).to.equal('claimed');
    const successor = world.createWriter('b');
    expect((await world.claim(successor, 'c6')).kind).to.equal('in_progress');
  });

  it('settles what it accepted before it closes', async () => {
    const world = createWorld();
    const writer = world.createWriter('a');
    const accepted = writer.claim(request('c1'));
    const closed = writer.close();
    const refused = await writer.claim(request('c2'));
    await world.run();
    await closed;
    expect((await accepted)._unsafeUnwrap().kind).to.equal('claimed');
    expect(refused._unsafeUnwrapErr().kind).to.equal('shutting_down');
  });
});

describe('createLocalClaimStore', () => {
  it('sends a key to one shard only, whatever instance asks', async () => {
    const clock = createManualClock();
    const platform = createControlledKeyValue();
    const writers = Array.from({length: claimShardCount}, (_, shard) =>
      createClaimWriter({store: platform.storeFor('a'), shard, clock}),
    );
    const store = createLocalClaimStore(writers);
    const result = store.claim(request('c1', 'key 7'));
    for (let i = 0; i < 5; i++) {
      for (const call of platform.pending()) call.answer();
      await settle();
      clock.advance(1);
    }
    expect((await result)._unsafeUnwrap().kind).to.equal('claimed');
    const shard = claimShardOf(toWorkspaceId('w'), 'key 7');
    const writes = writers.map(writer => writer.counters().writes);
    expect(writes[shard]).to.equal(1);
    expect(writes.reduce((sum, count) => sum + count)).to.equal(1);
  });
});
