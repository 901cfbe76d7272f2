import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {ManualClock} from '@toucanrouter/common';
import {
  createManualClock,
  createSystemClock,
  hash64,
} from '@toucanrouter/common';
import {expect} from 'chai';
import {ResultAsync} from 'neverthrow';
import {createConfigAge} from '../../config/ConfigAge.js';
import type {RelayClient} from '../../state/RelayClient.js';
import {createRelayClient} from '../../state/RelayClient.js';
import type {RelayResponse} from '../../state/RelayServer.js';
import {createRelayServer} from '../../state/RelayServer.js';
import {createStateLog} from '../../state/StateLog.js';
import {toStoreEra} from '../../state/StateStore.js';
import {
  advance,
  createFollower,
  createModelStore,
  fail,
  succeed,
} from './RestoredStoreFixtures.js';

const ready = 'ready born 1 seq 1';
/** Ids in the order in which instances read through one another. */
const ids = ['i', 'j', 'k', 'l', 'm']
  .sort((a, b) => (hash64(a) < hash64(b) ? -1 : 1))
  .slice(0, 4);
const firstId = ids[0] ?? '';
const lastId = ids[3] ?? '';

type Follower = ReturnType<typeof createFollower>;

/** Serves the state of `relay` without a network or a wait. */
function relayOf(relay: Follower): RelayClient['read'] {
  return (_, revision, _waitMs, _timeoutMs, era) => {
    const logged = relay.log.since(revision, era);
    if (logged === undefined || !relay.sync.connected()) {
      return fail<RelayResponse>();
    }
    const arrival = relay.configAge.mark();
    const absence = relay.sync.lastAbsence();
    return succeed<RelayResponse>({
      ...logged,
      confirmedAfterMs: relay.configAge.confirmedAfterMs(arrival),
      regainedAgoMs: absence?.endedAgoMs ?? null,
      absence: absence?.reason,
      era: relay.log.era(),
      readAfterMs: relay.sync.readAge.confirmedAfterMs(arrival),
      configVersion: relay.sync.shownConfigVersion(),
    });
  };
}

function createDomain() {
  const model = createModelStore();
  model.write('config', '5');
  model.write('upstream/one', ready);
  for (const id of ids) {
    model.write(`peer/${id}`, id);
    model.write(`domain/${id}`, 'a');
  }
  return model;
}

/** Starts a relay and an instance that reads the store through it. */
async function startPair(change: (read: RelayClient['read']) => typeof read) {
  const clock: ManualClock = createManualClock(1_000);
  const model = createDomain();
  // The reader's own calls to the store are counted apart.
  const ownCalls: string[] = [];
  const {store} = model;
  const relay = createFollower(model, {clock, selfId: firstId});
  const reader = createFollower(
    {
      store: {
        ...store,
        readAll: timeoutMs => {
          ownCalls.push('all');
          return store.readAll(timeoutMs);
        },
        readChanges: (...rest) => {
          ownCalls.push('changes');
          return store.readChanges(...rest);
        },
      },
    },
    {clock, selfId: lastId, readRelay: change(relayOf(relay))},
  );
  relay.sync.start();
  reader.sync.start();
  await advance(clock, 2_000);
  return {
    clock,
    model,
    ownCalls,
    relay,
    reader,
    close: () => {
      relay.sync.close();
      reader.sync.close();
    },
  };
}

const unchanged = (read: RelayClient['read']) => read;

describe('Instances that read a restored store through another one', () => {
  // Guards against instances that do not learn which versions may begin streams
  // because they read the store through another one.
  it('pass on the software versions of services', async () => {
    const {clock, close, model, ownCalls, reader, relay} =
      await startPair(unchanged);
    const ownCallCount = ownCalls.length;
    model.write('versions/chat', 'v1');
    await advance(clock, 3_000);
    model.write('versions/chat', 'v1 v2');
    await advance(clock, 3_000);
    const copy = model.copy();
    model.remove('versions/chat');
    await advance(clock, 3_000);
    const expected = ['chat: v1', 'chat: v1 v2', 'chat: none'];
    expect(relay.versionEvents).to.deep.equal(expected);
    expect(reader.versionEvents).to.deep.equal(expected);
    expect(ownCalls).to.have.length(ownCallCount);
    model.restore(copy);
    await advance(clock, 6_000);
    expect(relay.versionEvents.at(-1)).to.equal('chat: v1 v2');
    expect(reader.versionEvents.at(-1)).to.equal('chat: v1 v2');
    close();
  });

  // Guards against an instance that stays with the lost history of its relay's
  // cursor because the revisions of the new one are lower.
  it('receive the whole state of a new history from the relay', async () => {
    const {clock, close, model, ownCalls, reader} = await startPair(unchanged);
    const copy = model.copy();
    model.writeOthers(40);
    await advance(clock, 1_500);
    const before = ownCalls.length;
    model.restore(copy);
    model.write('config', '7');
    model.write('upstream/two', ready);
    await advance(clock, 1_500);
    expect(reader.version()).to.equal(7);
    expect(reader.usable()).to.deep.equal(['one', 'two']);
    expect(reader.history.era()).to.equal(model.era());
    expect(reader.log.revision()).to.equal(model.revision());
    expect(ownCalls.length).to.equal(before);
    close();
  });

  // Guards against the state of a relay that has not noticed the drill yet.
  it('drop a relay that follows an earlier history', async () => {
    const {clock, close, model, reader, relay} = await startPair(unchanged);
    const copy = model.copy();
    model.writeOthers(40);
    await advance(clock, 1_500);
    relay.sync.close();
    await advance(clock, 100);
    model.restore(copy);
    model.write('config', '7');
    reader.history.observe(model.era());
    await advance(clock, 100);
    expect(reader.version()).to.equal(7);
    expect(reader.history.era()).to.equal(model.era());
    close();
  });

  // Guards against all instances calling the store because their relay waits
  // for the operator to write the newest configuration again.
  it('stay with a relay whose configuration is newer than the copy', async () => {
    const {clock, close, model, ownCalls, reader} = await startPair(unchanged);
    const copy = model.copy();
    model.write('config', '6');
    await advance(clock, 2_500);
    model.restore(copy);
    await advance(clock, 1_500);
    const before = ownCalls.length;
    await advance(clock, 4_000);
    expect(ownCalls.length).to.equal(before);
    expect(reader.version()).to.equal(6);
    expect(reader.configAge.ageMs()).to.be.at.least(4_000);
    model.write('config', '6');
    await advance(clock, 1_500);
    expect(reader.configAge.ageMs()).to.be.below(1_500);
    close();
  });

  // Guards against a relay that started within the drill: it confirms the older
  // configuration of the copy, but not the one in force here.
  it('are not confirmed by a relay that knows an older configuration', async () => {
    let configVersion: number | undefined;
    const state = await startPair(
      read =>
        (...request) =>
          read(...request).map(response => ({
            ...response,
            ...(configVersion === undefined
              ? {}
              : {configVersion, confirmedAfterMs: 0}),
          })),
    );
    const {clock, close, reader} = state;
    configVersion = 4;
    await advance(clock, 3_000);
    expect(reader.configAge.ageMs()).to.be.at.least(2_500);
    configVersion = 5;
    await advance(clock, 500);
    expect(reader.configAge.ageMs()).to.be.below(500);
    close();
  });

  it('read through relays of earlier builds', async () => {
    const state = await startPair(
      read => (address, revision, waitMs, timeoutMs) =>
        read(address, revision, waitMs, timeoutMs).map(
          ({
            complete,
            confirmedAfterMs,
            items,
            regainedAgoMs,
            revision: next,
          }) => ({
            complete,
            confirmedAfterMs,
            items,
            regainedAgoMs,
            revision: next,
          }),
        ),
    );
    const {clock, close, model, ownCalls, reader} = state;
    const before = ownCalls.length;
    model.write('config', '6');
    await advance(clock, 1_500);
    expect(reader.version()).to.equal(6);
    expect(reader.configAge.ageMs()).to.be.below(1_500);
    expect(ownCalls.length).to.equal(before);
    close();
  });
});

describe('An instance that starts while the store shows a copy', () => {
  async function startWithin(
    readRelay: RelayClient['read'] | undefined,
    change: (read: RelayClient['read']) => typeof read = unchanged,
  ) {
    const clock = createManualClock(1_000);
    const model = createDomain();
    const copy = model.copy();
    const running = createFollower(model, {clock, selfId: firstId});
    running.sync.start();
    model.write('config', '6');
    await advance(clock, 2_000);
    model.restore(copy);
    await advance(clock, 1_500);
    const starting = createFollower(model, {
      clock,
      selfId: lastId,
      readRelay: change(readRelay ?? relayOf(running)),
    });
    starting.sync.start();
    await advance(clock, 2_000);
    return {clock, model, running, starting};
  }

  // Guards against keys that were taken away before the drill: the copy shows
  // the older configuration, and the instance knows no other.
  it('learns the newest configuration from others', async () => {
    const {clock, model, running, starting} = await startWithin(undefined);
    expect(starting.version()).to.equal(6);
    // It is as old as it is there: the store has not shown it again.
    expect(starting.configAge.ageMs()).to.be.within(
      1_900,
      running.configAge.ageMs() + 100,
    );
    model.write('config', '6');
    await advance(clock, 1_500);
    expect(starting.configAge.ageMs()).to.be.below(1_500);
    running.sync.close();
    starting.sync.close();
  });

  // Guards against a configuration that seems confirmed because another instance
  // without it has read the store a moment ago.
  it('takes over the age of the instance that it learned from', async () => {
    const {running, starting} = await startWithin(undefined, read => {
      let request = 0;
      return (...rest) => {
        request += 1;
        return request > 1
          ? read(...rest)
          : succeed<RelayResponse>({
              revision: 100,
              complete: true,
              items: [{key: 'config', value: '5'}],
              confirmedAfterMs: 0,
              regainedAgoMs: null,
            });
      };
    });
    expect(starting.version()).to.equal(6);
    expect(starting.configAge.ageMs()).to.be.at.least(
      running.configAge.ageMs() - 100,
    );
    running.sync.close();
    starting.sync.close();
  });

  // Guards against a configuration that seems confirmed although the instances
  // that were asked last may still tell of a newer one.
  it('confirms nothing while any instance is being asked', async () => {
    const clock = createManualClock(1_000);
    const model = createDomain();
    const copy = model.copy();
    const silentUntilMs = clock.nowMs() + 400;
    const starting = createFollower(model, {
      clock,
      selfId: lastId,
      readRelay: () =>
        clock.nowMs() < silentUntilMs
          ? new ResultAsync(new Promise(() => undefined))
          : fail<RelayResponse>(),
    });
    starting.sync.start();
    await advance(clock, 100);
    model.restore(copy);
    starting.history.observe(model.era());
    // The first questions end after 300 ms, the second ones 100 ms later.
    await advance(clock, 250);
    await starting.sync.confirmConfig();
    expect(starting.configAge.ageMs()).to.equal(Infinity);
    await advance(clock, 1_500);
    expect(starting.configAge.ageMs()).to.be.below(1_500);
    starting.sync.close();
  });

  // Guards against an instance that never serves because nobody answers it.
  it('uses what the store shows if no other instance responds', async () => {
    const {running, starting} = await startWithin(() => fail<RelayResponse>());
    expect(starting.version()).to.equal(5);
    expect(starting.configAge.ageMs()).to.be.below(1_500);
    running.sync.close();
    starting.sync.close();
  });

  // Guards against an instance that stays at the copy's configuration: the one
  // through which it reads knew the version that was written again.
  it('receives the newest configuration when it is written again', async () => {
    const {clock, model, running, starting} = await startWithin(
      undefined,
      read => {
        let request = 0;
        return (...rest) => {
          request += 1;
          // None of the instances that it asks answers.
          return request > 4 ? read(...rest) : fail<RelayResponse>();
        };
      },
    );
    expect(starting.version()).to.equal(5);
    await advance(clock, 4_000);
    model.write('config', '6');
    await advance(clock, 2_000);
    expect(starting.version()).to.equal(6);
    running.sync.close();
    starting.sync.close();
  });

  // Guards against requests to an upstream that an instance knows from the copy
  // only: the one through which it reads knew that it leaves, or is gone.
  it('learns from others which upstreams of the copy leave or are gone', async () => {
    const clock = createManualClock(1_000);
    const model = createDomain();
    model.write('upstream/two', ready);
    model.write('upstream/three', ready);
    const copy = model.copy();
    const running = createFollower(model, {clock, selfId: firstId});
    running.sync.start();
    await advance(clock, 500);
    model.write('upstream/one', 'leaving born 1 seq 2');
    model.remove('upstream/two');
    await advance(clock, 2_000);
    model.restore(copy);
    await advance(clock, 1_500);
    const starting = createFollower(model, {
      clock,
      selfId: lastId,
      readRelay: relayOf(running),
    });
    starting.sync.start();
    await advance(clock, 2_000);
    expect(running.usable()).to.deep.equal(['three']);
    model.write('upstream/one', 'leaving born 1 seq 3');
    model.remove('upstream/two');
    await advance(clock, 6_000);
    expect(starting.usable()).to.deep.equal(['three']);
    running.sync.close();
    starting.sync.close();
  });
});

describe('RelayServer of a restored store', () => {
  let server: Server;
  let client: RelayClient;
  const host = '127.0.0.1';

  beforeEach(done => {
    const clock = createSystemClock();
    const configAge = createConfigAge(clock);
    configAge.confirmed(configAge.mark());
    const log = createStateLog(clock);
    const change = {
      kind: 'unreadable' as const,
      key: 'k',
      reason: '',
      id: undefined,
    };
    log.nameHistory(toStoreEra(1));
    log.record({key: 'k', value: 'v'}, change, 50);
    log.advance(50);
    log.beginHistory(toStoreEra(2), 40);
    log.advance(40);
    server = createRelayServer({
      clock,
      log,
      configAge,
      readAge: configAge,
      shownConfigVersion: () => 3,
      isConnected: () => true,
      lastAbsence: () => undefined,
    });
    client = createRelayClient();
    server.listen(0, host, done);
  });

  afterEach(async () => {
    await client.close();
    await new Promise(resolve => server.close(resolve));
  });

  const read = (revision: number, era?: number) => {
    const {port} = server.address() as AddressInfo;
    const known = era === undefined ? undefined : toStoreEra(era);
    return client.read({host, port}, revision, 0, 2_000, known);
  };

  // Guards against a cursor of one history that is taken for one of another.
  it('sends everything to a reader with a cursor of another era', async () => {
    for (const revision of [50, 40, 30]) {
      const response = (await read(revision, 1))._unsafeUnwrap();
      expect(response).to.include({
        era: 2,
        revision: 40,
        complete: true,
        configVersion: 3,
      });
      expect(response.items).to.have.length(1);
    }
  });

  it('sends changes to a reader with a cursor of its era', async () => {
    const response = (await read(40, 2))._unsafeUnwrap();
    expect(response.complete).to.equal(false);
    expect(response.items).to.deep.equal([]);
  });

  it('answers readers that name no era as before', async () => {
    expect((await read(50)).isErr()).to.equal(true);
    expect((await read(40))._unsafeUnwrap().complete).to.equal(false);
  });
});
