import {EventEmitter} from 'node:events';
import {createManualClock, PlatformError} from '@toucanrouter/common';
import {expect} from 'chai';
import {ResultAsync} from 'neverthrow';
import type {WatchOptions} from '../../KeyValueWatch.js';
import {startWatch} from '../../KeyValueWatch.js';
import {createStoreHistory} from '../../StoreHistory.js';

type WatchStream = ReturnType<WatchOptions['openStream']>;

/** A stream that reports that its watch was created and then nothing. */
function createIdleStream(clusterId: number): WatchStream {
  const stream = Object.assign(new EventEmitter(), {
    write: () => {
      const header = {clusterId, revision: 10};
      const created = {created: true, canceled: false, compactRevision: 0};
      void Promise.resolve().then(() =>
        stream.emit('data', {...created, header, events: []}),
      );
    },
    cancel: () => undefined,
  });
  return stream as unknown as WatchStream;
}

describe('watches of a service whose members answer from two histories', () => {
  // Guards against calls without a pause, of every instance, while a member that
  // was not restored still answers beside those that were.
  it('wait longer and longer between their listings', async () => {
    const clock = createManualClock();
    const history = createStoreHistory();
    let callCount = 0;
    const nextClusterId = () => 1 + (callCount++ % 2);
    const stop = startWatch({
      prefix: '/w/',
      clock,
      timeoutMs: 250,
      history,
      openStream: () => createIdleStream(nextClusterId()),
      listPrefix: () => {
        const mark = history.mark();
        const listed = Promise.resolve().then(() => {
          const header = {clusterId: nextClusterId(), revision: 10};
          const historyId = history.observe(header, mark);
          return {entries: [], revision: header.revision, historyId};
        });
        return ResultAsync.fromPromise(
          listed,
          () => new PlatformError('no response', false),
        );
      },
      onEvents: () => undefined,
    });
    for (let turn = 0; turn < 50; turn += 1) await Promise.resolve();
    history.observe({clusterId: 2, revision: 10}, history.mark());
    for (let passedMs = 0; passedMs < 10_000; passedMs += 10) {
      for (let turn = 0; turn < 50; turn += 1) await Promise.resolve();
      clock.advance(10);
    }
    stop();
    expect(callCount).to.be.within(2, 60);
  });
});
