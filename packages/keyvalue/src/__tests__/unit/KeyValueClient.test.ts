import type {KeyValueStore} from '@toucanrouter/common';
import {createSystemClock} from '@toucanrouter/common';
import type {PlatformStandIn} from '@toucanrouter/standins';
import {createPlatformStandIn} from '@toucanrouter/standins';
import {expect} from 'chai';
import {createKeyValueClient} from '../../index.js';
import {createEventLog} from './EventLogFixture.js';

const toBytes = (text: string) => Buffer.from(text);

function conditionalPut(key: string, modRevision: number, value: string) {
  return {
    compares: [{key, modRevision}],
    puts: [{key, value: toBytes(value)}],
    deletes: [],
  };
}

describe('createKeyValueClient', () => {
  let standIn: PlatformStandIn;
  let store: KeyValueStore;

  beforeEach(async () => {
    standIn = await createPlatformStandIn();
    store = createKeyValueClient({
      address: standIn.keyValueAddress,
      timeoutMs: 250,
      clock: createSystemClock(),
    });
  });

  afterEach(async () => {
    store.close();
    await standIn.close();
  });

  async function put(key: string, value: string) {
    const entry = (await store.get(key))._unsafeUnwrap();
    const response = await store.transact(
      conditionalPut(key, entry?.modRevision ?? 0, value),
    );
    return response._unsafeUnwrap();
  }

  it('rejects a write whose compare fails, so that a stale writer is fenced', async () => {
    const first = (
      await store.transact(conditionalPut('/k', 0, 'a'))
    )._unsafeUnwrap();
    const stale = (
      await store.transact(conditionalPut('/k', 0, 'b'))
    )._unsafeUnwrap();
    expect([first.succeeded, stale.succeeded]).to.deep.equal([true, false]);
    const entry = (await store.get('/k'))._unsafeUnwrap();
    expect(Buffer.from(entry?.value ?? []).toString()).to.equal('a');
    expect(entry?.modRevision).to.equal(first.revision);
  });

  // Guards against a revision that was given out again, to another value.
  it('rejects a write whose compared value differs at the same revision', async () => {
    const {revision} = await put('/k', 'a');
    async function replaceIf(value: string) {
      const compares = [
        {key: '/k', modRevision: revision, value: toBytes(value)},
      ];
      const puts = [{key: '/k', value: toBytes('b')}];
      const response = await store.transact({compares, puts, deletes: []});
      return response._unsafeUnwrap().succeeded;
    }
    expect(await replaceIf('other')).to.equal(false);
    expect(await replaceIf('a')).to.equal(true);
  });

  it('lists all pages of a prefix in order and no other keys', async () => {
    const keys = Array.from({length: 150}, (_, i) => `/p/${1000 + i}`);
    for (const key of [...keys, '/q', '/o']) await put(key, 'v');
    const listed = (await store.list('/p/'))._unsafeUnwrap();
    expect(listed.map(entry => entry.key)).to.deep.equal(keys);
  });

  it('reports that a write may have taken effect when its response is lost', async () => {
    await put('/k', 'a');
    standIn.setSwitches({loseWriteAnswers: 1});
    const lost = (
      await store.transact(conditionalPut('/new', 0, 'b'))
    )._unsafeUnwrapErr();
    expect(lost.mayHaveTakenEffect).to.equal(true);
    expect((await store.get('/new'))._unsafeUnwrap()).to.not.equal(undefined);
  });

  it('reports that a write did not take effect when there is no connection', async () => {
    const unreachable = createKeyValueClient({
      address: '127.0.0.1:1',
      timeoutMs: 100,
      clock: createSystemClock(),
    });
    const error = (
      await unreachable.transact(conditionalPut('/k', 0, 'a'))
    )._unsafeUnwrapErr();
    unreachable.close();
    expect(error.mayHaveTakenEffect).to.equal(false);
  });

  it('does not lose changes made while the watch was disconnected', async () => {
    const log = createEventLog();
    store.watch('/w/', log.add);
    while (standIn.counters().watch === 0) await put('/other', 'x');
    await put('/w/a', '1');
    await log.waitFor(1);
    standIn.setSwitches({cutWatches: true});
    await put('/w/a', '2');
    await put('/w/b', '3');
    await log.waitFor(3);
    expect(log.seen).to.deep.equal(['/w/a=1', '/w/a=2', '/w/b=3']);
  });

  it('lists the prefix again when the missed changes were compacted', async () => {
    const log = createEventLog();
    store.watch('/w/', log.add);
    while (standIn.counters().watch === 0) await put('/other', 'x');
    await put('/w/a', '1');
    await log.waitFor(1);
    standIn.setSwitches({cutWatches: true});
    await put('/w/a', '2');
    await put('/w/a', '3');
    standIn.setSwitches({compact: true});
    await log.waitFor(2);
    await put('/w/a', '4');
    await log.waitFor(3);
    expect(log.seen).to.deep.equal(['/w/a=1', '/w/a=3', '/w/a=4']);
  });

  it('reopens a watch that the service accepted but never confirmed', async () => {
    standIn.setSwitches({outage: 'hang', recoverAfterMs: 300});
    const log = createEventLog();
    store.watch('/w/', log.add);
    while (standIn.counters().watch === 0) await store.get('/w/a');
    await put('/w/a', '1');
    await log.waitFor(1);
    expect(log.seen).to.deep.equal(['/w/a=1']);
  });
});
