import {expect} from 'chai';
import {ResultAsync} from 'neverthrow';
import type {StateUpdate} from '../../state/StateStore.js';
import {toStoreEra} from '../../state/StateStore.js';
import {service} from './GatewayFixtures.js';
import {
  advance,
  createFollower,
  createModelStore,
  fail,
  succeed,
} from './RestoredStoreFixtures.js';

const ready = 'ready born 1 seq 1';

/** Starts an instance at version 5 with two upstreams and a peer. */
async function startFollower(tellsEra = true) {
  const model = createModelStore(tellsEra);
  model.write('config', '5');
  model.write('upstream/one', ready);
  model.write('upstream/two', ready);
  model.write('peer/p', 'p');
  const follower = createFollower(model);
  follower.sync.start();
  await advance(follower.clock, 500);
  return {model, ...follower};
}

/** Lets the store be away for a moment and come back from a copy. */
async function drill(
  {clock, model}: Awaited<ReturnType<typeof startFollower>>,
  copy: ReturnType<typeof model.copy>,
  awayMs = 1_000,
): Promise<void> {
  model.setReachable(false);
  await advance(clock, awayMs);
  model.restore(copy);
  model.setReachable(true);
}

describe('A store that comes back from a copy', () => {
  // Guards against changes that are missed because they have the revisions of
  // changes that were lost.
  it('is read in full although the revision exists again', async () => {
    const state = await startFollower();
    const {clock, model, sync, usable, version} = state;
    const copy = model.copy();
    model.writeOthers(3);
    await advance(clock, 2_500);
    model.restore(copy);
    model.write('config', '7');
    model.write('upstream/three', ready);
    model.writeOthers(5);
    await advance(clock, 1_100);
    expect(version()).to.equal(7);
    expect(usable()).to.include('three');
    sync.close();
  });

  // Guards against an instance that waits for its call interval or backs off
  // before it reads the new history.
  it('is read at once when any response shows a new era', async () => {
    const state = await startFollower();
    const {clock, history, model, sync, version} = state;
    await advance(clock, 1_100);
    const copy = model.copy();
    model.restore(copy);
    model.write('config', '7');
    history.observe(model.era());
    await advance(clock, 50);
    expect(version()).to.equal(7);
    sync.close();
  });

  // Guards against the loss of upstreams and peers that have only not written
  // their entries again.
  it('keeps what the copy lacks until its owners had time to write it', async () => {
    const state = await startFollower();
    const {clock, model, peers, sync, usable} = state;
    const copy = model.copy();
    model.write('upstream/three', ready);
    model.write('upstream/four', ready);
    model.write('peer/q', 'q');
    await advance(clock, 2_000);
    await drill(state, copy);
    await advance(clock, 1_500);
    expect(usable()).to.include.members(['three', 'four']);
    expect(peers.ids()).to.have.length(2);
    model.write('upstream/three', 'ready born 1 seq 9');
    await advance(clock, 4_000);
    expect(usable()).to.deep.equal(['one', 'two', 'three']);
    expect(peers.ids()).to.have.length(1);
    sync.close();
  });

  // Guards against requests to upstreams that left after the copy was made.
  it('does not bring back upstreams that were removed or are leaving', async () => {
    const state = await startFollower();
    const {clock, model, sync, usable} = state;
    const copy = model.copy();
    model.remove('upstream/one');
    model.write('upstream/two', 'leaving born 1 seq 2');
    model.write('upstream/three', ready);
    await advance(clock, 2_000);
    expect(usable()).to.deep.equal(['three']);
    await drill(state, copy);
    await advance(clock, 1_500);
    expect(usable()).to.deep.equal(['three']);
    // The owners are back.
    model.write('upstream/one', 'ready born 1 seq 3');
    model.write('upstream/two', 'ready born 1 seq 3');
    await advance(clock, 1_100);
    expect(usable()).to.include.members(['one', 'two']);
    sync.close();
  });

  // Guards against the former process of an upstream in place of the present one.
  it('does not believe the entry of an earlier process', async () => {
    const state = await startFollower();
    const {clock, model, registry, sync} = state;
    const copy = model.copy();
    model.write('upstream/one', 'ready born 2 seq 1');
    await advance(clock, 2_000);
    await drill(state, copy);
    await advance(clock, 1_500);
    const started = registry
      .usable(service)
      .map(({startedAtMs}) => startedAtMs);
    expect(started).to.include(2);
    sync.close();
  });

  // Guards against verdicts that were lifted or are lost with the copy.
  it('keeps verdicts and lifts none again', async () => {
    const state = await startFollower();
    const {clock, model, sync, verdictEvents} = state;
    model.write('verdict/lifted', 'v');
    await advance(clock, 1_100);
    const copy = model.copy();
    model.remove('verdict/lifted');
    model.write('verdict/new', 'v');
    await advance(clock, 1_100);
    expect(verdictEvents).to.deep.equal(['verdict', 'removed', 'verdict']);
    await drill(state, copy);
    await advance(clock, 1_500);
    expect(verdictEvents).to.have.length(3);
    sync.close();
  });

  // Guards against keys that were taken away before the drill: the copy holds an
  // older configuration, and reading it confirms nothing.
  it('does not confirm the configuration with an older one', async () => {
    const state = await startFollower();
    const {clock, configAge, log, model, sync, version} = state;
    const copy = model.copy();
    model.write('config', '6');
    await advance(clock, 2_000);
    await drill(state, copy);
    await advance(clock, 3_000);
    expect(version()).to.equal(6);
    expect(configAge.ageMs()).to.be.at.least(3_000);
    await sync.confirmConfig();
    expect(configAge.ageMs()).to.be.at.least(3_000);
    const passedOn = log.since(0)?.items.filter(({key}) => key === 'config');
    expect(passedOn).to.deep.equal([{key: 'config', value: '6'}]);
    // The instance is connected and reads, so peers may read through it.
    expect(sync.connected()).to.equal(true);
    model.write('config', '6');
    await advance(clock, 1_100);
    expect(configAge.ageMs()).to.be.below(1_200);
    sync.close();
  });

  // Guards against an instance that follows the first of two new histories.
  it('may come back twice, also before the first one was noticed', async () => {
    const state = await startFollower();
    const {clock, model, sync, usable, version} = state;
    const copy = model.copy();
    model.write('upstream/three', ready);
    await advance(clock, 2_000);
    model.restore(copy);
    model.write('config', '7');
    const second = model.copy();
    model.write('config', '8');
    await advance(clock, 1_100);
    expect(version()).to.equal(8);
    model.restore(second);
    model.restore(second);
    model.write('config', '9');
    model.write('upstream/three', ready);
    model.writeOthers(10);
    await advance(clock, 1_100);
    expect(version()).to.equal(9);
    expect(usable()).to.include('three');
    sync.close();
  });

  // Guards against entries that expire while the store is away, before a drill.
  it('may come back after an outage of several seconds', async () => {
    const state = await startFollower();
    const {clock, model, sync, usable} = state;
    const copy = model.copy();
    await drill(state, copy, 8_000);
    model.remove('upstream/one');
    await advance(clock, 1_500);
    expect(usable()).to.include('one');
    model.write('upstream/one', 'ready born 1 seq 7');
    await advance(clock, 5_000);
    expect(usable()).to.have.length(2);
    sync.close();
  });

  // Guards against an instance that goes on without a confirmed configuration and
  // does not say why.
  it('leaves one line while its responses are of an earlier era', async () => {
    const {clock, history, lines, model, sync} = await startFollower();
    history.observe(toStoreEra(9));
    await advance(clock, 5_000);
    const unused = lines.filter(({message}) => message.includes('not used'));
    expect(unused).to.have.length(1);
    expect(unused[0]).to.include({era: model.era(), latestEra: 9});
    sync.close();
  });

  // Guards against a read of the lost history that arrives after the new one.
  it('ignores responses of an earlier era', async () => {
    const state = await startFollower();
    const {clock, configAge, history, model, sync, usable, version} = state;
    history.observe(toStoreEra(3));
    await advance(clock, 3_000);
    // The model still answers in era 1.
    expect(configAge.ageMs()).to.be.at.least(3_000);
    model.restore(model.copy());
    model.restore(model.copy());
    model.write('config', '8');
    await advance(clock, 2_000);
    expect(version()).to.equal(8);
    expect(usable()).to.have.length(2);
    sync.close();
  });

  // Guards against changes that are missed where the store tells no era.
  it('is recognized by a revision that goes back', async () => {
    const state = await startFollower(false);
    const {clock, model, sync, usable, version} = state;
    const copy = model.copy();
    model.write('config', '6');
    model.remove('upstream/one');
    model.writeOthers(10);
    await advance(clock, 2_000);
    model.restore(copy);
    model.write('config', '7');
    await advance(clock, 2_000);
    expect(version()).to.equal(7);
    expect(usable()).to.deep.equal(['two']);
    sync.close();
  });

  // Guards against a snapshot of two histories: its read fails, and the next one
  // must be the first of the new history.
  it('is read again after pages of two eras', async () => {
    const state = await startFollower();
    const {clock, model, sync, version} = state;
    const copy = model.copy();
    model.writeOthers(4);
    await advance(clock, 2_000);
    model.restore(copy);
    model.write('config', '7');
    model.writeOthers(9);
    const {readAll} = model.store;
    let failures = 0;
    model.store.readAll = timeoutMs => {
      if (failures > 0) return readAll(timeoutMs);
      failures += 1;
      return fail<StateUpdate>();
    };
    await advance(clock, 2_000);
    expect(failures).to.equal(1);
    expect(version()).to.equal(7);
    sync.close();
  });

  // Guards against a confirmation that mixes the revisions of two histories.
  it('is noticed by a confirmation of the configuration', async () => {
    const state = await startFollower();
    const {clock, log, model, sync, version} = state;
    const copy = model.copy();
    model.writeOthers(50);
    await advance(clock, 2_000);
    model.restore(copy);
    model.write('config', '7');
    await sync.confirmConfig();
    expect(version()).to.equal(7);
    await advance(clock, 50);
    expect(log.revision()).to.equal(model.revision());
    expect(log.era()).to.equal(model.era());
    sync.close();
  });

  // Guards against a configuration that ages although the store shows it: a late
  // response of a confirmation must not hide what a later read has shown.
  it('confirms by the newest version that it showed in its history', async () => {
    const state = await startFollower();
    const {clock, configAge, model, sync, version} = state;
    const late = await model.store.readConfig(400);
    model.store.readConfig = () => new ResultAsync(Promise.resolve(late));
    model.write('config', '6');
    await advance(clock, 1_100);
    await sync.confirmConfig();
    await advance(clock, 3_000);
    expect(version()).to.equal(6);
    expect(configAge.ageMs()).to.be.below(1_200);
    sync.close();
  });

  // Guards against an instance that stops serving because a build that cannot
  // read the newest configuration takes it for a missing one.
  it('confirms after a compaction with a configuration that cannot be read', async () => {
    const state = await startFollower();
    const {clock, configAge, model, sync} = state;
    const {decode, readChanges} = model.store;
    model.store.decode = item =>
      item.value === '6'
        ? {kind: 'unreadable', key: item.key, reason: 'odd', id: undefined}
        : decode(item);
    model.write('config', '6');
    await advance(clock, 1_500);
    let compacted = false;
    model.store.readChanges = (...request) => {
      if (compacted) return readChanges(...request);
      compacted = true;
      return succeed('compacted' as const);
    };
    await advance(clock, 4_000);
    expect(compacted).to.equal(true);
    expect(configAge.ageMs()).to.be.below(1_200);
    sync.close();
  });

  // Guards against the loss of an upstream that the first of two copies lacked:
  // its entry was written again between them, so it does not change any more.
  it('holds nothing back that only an earlier copy lacked', async () => {
    const state = await startFollower();
    const {clock, model, sync, usable} = state;
    const copy = model.copy();
    model.write('upstream/three', ready);
    await advance(clock, 2_000);
    model.restore(copy);
    await advance(clock, 1_100);
    model.setReachable(false);
    model.write('upstream/three', ready);
    const second = model.copy();
    await advance(clock, 500);
    model.restore(second);
    model.setReachable(true);
    await advance(clock, 5_000);
    expect(usable()).to.include('three');
    sync.close();
  });

  // Guards against an entry that is never used again although the store holds it.
  it('uses an entry that is still there long after it was held back', async () => {
    const state = await startFollower();
    const {clock, model, sync, usable} = state;
    const copy = model.copy();
    model.remove('upstream/one');
    await advance(clock, 2_000);
    await drill(state, copy);
    await advance(clock, 10_000);
    expect(usable()).to.deep.equal(['two']);
    await advance(clock, 12_000);
    expect(usable()).to.include('one');
    sync.close();
  });

  // Guards against sound requests that are refused because of a verdict that was
  // lifted before the drill: nobody renews it, and the copy holds it to its end.
  it('never uses a verdict that is known to be lifted', async () => {
    const state = await startFollower();
    const {clock, model, sync, verdictEvents} = state;
    model.write('verdict/lifted', 'v');
    await advance(clock, 1_100);
    const copy = model.copy();
    model.remove('verdict/lifted');
    await advance(clock, 1_100);
    await drill(state, copy);
    await advance(clock, 30_000);
    expect(verdictEvents).to.deep.equal(['verdict', 'removed']);
    model.write('verdict/lifted', 'v');
    await advance(clock, 1_100);
    expect(verdictEvents).to.deep.equal(['verdict', 'removed', 'verdict']);
    sync.close();
  });

  // Guards against requests to an upstream whose leaving was confirmed, also long
  // after the drill.
  it('never uses the entry of a process that is known to be leaving', async () => {
    const state = await startFollower();
    const {clock, model, sync, usable} = state;
    const copy = model.copy();
    model.write('upstream/one', 'leaving born 1 seq 2');
    await advance(clock, 2_000);
    await drill(state, copy);
    await advance(clock, 30_000);
    expect(usable()).to.deep.equal(['two']);
    model.write('upstream/one', 'ready born 2 seq 1');
    await advance(clock, 1_100);
    expect(usable()).to.include('one');
    sync.close();
  });

  it('tells when the entry of this instance is gone', async () => {
    const state = await startFollower();
    const {clock, model, ownRemovals, sync} = state;
    const copy = model.copy();
    model.write('peer/i', 'i');
    await advance(clock, 1_100);
    await drill(state, copy);
    await advance(clock, 1_500);
    expect(ownRemovals()).to.equal(1);
    sync.close();
  });

  // Guards against needless writes of entries that are back already.
  it('does not tell so if the entry was written again meanwhile', async () => {
    const state = await startFollower();
    const {clock, model, ownRemovals, sync} = state;
    model.write('peer/i', 'i');
    await advance(clock, 1_100);
    model.remove('peer/i');
    model.write('peer/i', 'i');
    await advance(clock, 1_100);
    expect(ownRemovals()).to.equal(0);
    model.remove('peer/i');
    await advance(clock, 1_100);
    expect(ownRemovals()).to.equal(1);
    sync.close();
  });

  it('leaves one line with both revisions', async () => {
    const state = await startFollower();
    const {clock, lines, model, sync} = state;
    const copy = model.copy();
    model.remove('upstream/one');
    model.write('upstream/three', ready);
    model.write('config', '6');
    await advance(clock, 2_000);
    await drill(state, copy);
    await advance(clock, 1_500);
    const told = lines.filter(
      ({message}) => message === 'the store came back from a copy',
    );
    expect(told).to.have.length(1);
    expect(told[0]).to.include({
      era: 2,
      previousEra: 1,
      revision: 104,
      previousRevision: 107,
      configVersion: 6,
      storeConfigVersion: 5,
      lackingItems: 1,
      itemsHeldBack: 1,
    });
    sync.close();
  });
});
