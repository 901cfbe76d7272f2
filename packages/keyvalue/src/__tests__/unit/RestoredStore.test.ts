import type {KeyValueStore} from '@toucanrouter/common';
import {createSystemClock, delay} from '@toucanrouter/common';
import type {PlatformStandIn} from '@toucanrouter/standins';
import {createPlatformStandIn} from '@toucanrouter/standins';
import {expect} from 'chai';
import {createKeyValueClient} from '../../index.js';
import {createEventLog} from './EventLogFixture.js';

/** A watch that reports nothing for this long is taken to be silent. */
const patienceMs = 3000;

describe('watches of a store that comes back from a copy', () => {
  let standIn: PlatformStandIn;
  let store: KeyValueStore;
  /** Writes, so that only its own calls tell `store` of a restore. */
  let writer: KeyValueStore;
  let log: ReturnType<typeof createEventLog>;

  beforeEach(async () => {
    standIn = await createPlatformStandIn();
    [store, writer] = [createClient(), createClient()];
    log = createEventLog();
    store.watch('/w/', log.add);
    while (standIn.counters().watch === 0) await put('/other', 'x');
  });

  afterEach(async () => {
    store.close();
    writer.close();
    await standIn.close();
  });

  function createClient(): KeyValueStore {
    return createKeyValueClient({
      address: standIn.keyValueAddress,
      timeoutMs: 250,
      clock: createSystemClock(),
    });
  }

  async function write(key: string, value: string | undefined) {
    const entry = (await writer.get(key))._unsafeUnwrap();
    const response = await writer.transact({
      compares: [{key, modRevision: entry?.modRevision ?? 0}],
      puts:
        value === undefined ? [] : [{key, value: Buffer.from(value, 'utf8')}],
      deletes: value === undefined ? [key] : [],
    });
    expect(response._unsafeUnwrap().succeeded).to.equal(true);
  }

  const put = (key: string, value: string) => write(key, value);

  /** Waits for events; fails with those seen if there are fewer. */
  async function expectEvents(expected: readonly string[]): Promise<void> {
    const clock = createSystemClock();
    await Promise.race([
      log.waitFor(expected.length),
      new Promise<void>(resolve => clock.after(patienceMs, resolve)),
    ]);
    expect(log.seen).to.deep.equal(expected);
  }

  async function expectLastEvent(expected: string): Promise<void> {
    const clock = createSystemClock();
    const endMs = clock.nowMs() + patienceMs;
    while (log.seen.at(-1) !== expected && clock.nowMs() < endMs) {
      await delay(clock, 10);
    }
    expect(log.seen.at(-1)).to.equal(expected);
  }

  // Guards against a watch that waits for a revision of the lost history.
  it('reports what is written at revisions that it had passed before', async () => {
    await put('/w/a', '1');
    const copy = standIn.copyStore();
    for (const value of ['2', '3', '4']) await put('/w/a', value);
    await expectEvents(['/w/a=1', '/w/a=2', '/w/a=3', '/w/a=4']);
    standIn.restoreStore(copy);
    await put('/w/a', '5');
    await expectLastEvent('/w/a=5');
  });

  // Guards against missing what was written at revisions given out twice,
  // once the counter has passed the watch's.
  it('reports what was written before it noticed the other history', async () => {
    await put('/w/a', '1');
    const copy = standIn.copyStore();
    for (const value of ['2', '3', '4']) await put('/w/a', value);
    await log.waitFor(4);
    standIn.restoreStore(copy);
    await put('/w/b', 'new');
    for (let i = 0; i < 5; i++) await put('/other', 'x');
    await expectEvents([
      '/w/a=1',
      '/w/a=2',
      '/w/a=3',
      '/w/a=4',
      '/w/a=1',
      '/w/b=new',
    ]);
  });

  // Guards against entries that stay believed although the copy lacks them.
  it('reports entries that the copy lacks as deleted', async () => {
    const copy = standIn.copyStore();
    await put('/w/lost', '1');
    await expectEvents(['/w/lost=1']);
    standIn.restoreStore(copy);
    await expectEvents(['/w/lost=1', '/w/lost gone']);
  });

  // Guards against deletions that a compaction hides from the watch.
  it('reports deletions among the changes that were compacted', async () => {
    await put('/w/a', '1');
    await put('/w/b', '1');
    await expectEvents(['/w/a=1', '/w/b=1']);
    standIn.setSwitches({cutWatches: true});
    await write('/w/a', undefined);
    standIn.setSwitches({compact: true});
    await expectEvents(['/w/a=1', '/w/b=1', '/w/a gone', '/w/b=1']);
  });
});
