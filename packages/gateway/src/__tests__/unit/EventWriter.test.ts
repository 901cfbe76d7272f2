import {expect} from 'chai';
import {createEventWriter} from '../../request/EventWriter.js';

const maxUnsentBytes = 10;

/** Creates a writer whose writes and callbacks are run by the test. */
function createWriter() {
  const written: string[] = [];
  const done: (() => void)[] = [];
  const deferred: (() => void)[] = [];
  const writer = createEventWriter({
    write: (bytes, onDone) => {
      written.push(bytes.toString());
      done.push(onDone);
    },
    maxUnsentBytes: () => maxUnsentBytes,
    defer: run => deferred.push(run),
  });
  const runNext = (callbacks: (() => void)[]) => callbacks.shift()?.();
  return {
    written,
    add: (text: string) => writer.write(Buffer.from(text)),
    onDrain: writer.onDrain,
    close: () => writer.close().toString(),
    endCallback: () => runNext(deferred),
    endWrite: () => runNext(done),
  };
}

describe('EventWriter', () => {
  // Guards against a heap that is filled by the queued writes of small events.
  it('writes events that arrive together at once', () => {
    const writer = createWriter();
    for (const text of ['a', 'b', 'c']) writer.add(text);
    expect(writer.written).to.deep.equal([]);
    writer.endCallback();
    expect(writer.written).to.deep.equal(['abc']);
  });

  // Guards against a queue that grows while the caller reads slowly.
  it('has one write in progress', () => {
    const writer = createWriter();
    writer.add('a');
    writer.endCallback();
    for (const text of ['b', 'c']) {
      writer.add(text);
      writer.endCallback();
    }
    expect(writer.written).to.deep.equal(['a']);
    writer.endWrite();
    expect(writer.written).to.deep.equal(['a', 'bc']);
  });

  it('asks to wait until the bytes are written', () => {
    const writer = createWriter();
    let drained = 0;
    expect(writer.add('12345')).to.equal(true);
    expect(writer.add('67890')).to.equal(false);
    writer.onDrain(() => (drained += 1));
    writer.endCallback();
    expect(drained).to.equal(0);
    writer.endWrite();
    expect(drained).to.equal(1);
    expect(writer.add('1')).to.equal(true);
  });

  it('returns what is not written when it is closed', () => {
    const writer = createWriter();
    writer.add('a');
    expect(writer.close()).to.equal('a');
    writer.endCallback();
    expect(writer.written).to.deep.equal([]);
  });
});
