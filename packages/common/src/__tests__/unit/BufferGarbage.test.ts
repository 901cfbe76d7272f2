import {expect} from 'chai';
import type {Collector} from '../../index.js';
import {createBufferGarbage} from '../../index.js';

const pieceBytes = 64 * 1024;
const mebibyte = 1024 * 1024;
const maxGarbageBytes = 16 * mebibyte;

/** Buffers of which the young ones are freed by any collection. */
function createBuffers() {
  let youngBytes = 0;
  let oldBytes = 0;
  let collectionsOfAll = 0;
  const collector: Collector = {
    bufferBytes: () => youngBytes + oldBytes,
    collectYoung: () => (youngBytes = 0),
    collectAll: () => {
      collectionsOfAll += 1;
      youngBytes = 0;
      oldBytes = 0;
    },
  };
  return {
    collector,
    collectionsOfAll: () => collectionsOfAll,
    addYoung: (bytes: number) => (youngBytes += bytes),
    addOld: (bytes: number) => (oldBytes += bytes),
  };
}

describe('createBufferGarbage', () => {
  // Guards against buffers that take the memory of the process before the
  // runtime collects them.
  it('bounds unused buffers, whatever the size of the pieces', () => {
    for (const bytes of [1, pieceBytes]) {
      const buffers = createBuffers();
      const garbage = createBufferGarbage(buffers.collector);
      let mostBytes = 0;
      for (let count = 0; count < 20_000; count += 1) {
        buffers.addYoung(bytes);
        garbage.received(bytes);
        mostBytes = Math.max(mostBytes, buffers.collector.bufferBytes());
      }
      expect(mostBytes).to.be.below(maxGarbageBytes);
      expect(buffers.collectionsOfAll()).to.equal(0);
    }
  });

  // Guards against buffers that were in use during a collection of the young
  // ones, which later such collections do not free.
  it('bounds unused buffers that got old', () => {
    const buffers = createBuffers();
    const garbage = createBufferGarbage(buffers.collector);
    let mostBytes = 0;
    for (let count = 0; count < 2_000; count += 1) {
      buffers.addOld(pieceBytes);
      garbage.received(pieceBytes);
      mostBytes = Math.max(mostBytes, buffers.collector.bufferBytes());
    }
    expect(mostBytes).to.be.below(maxGarbageBytes);
    expect(buffers.collectionsOfAll()).to.be.above(0);
  });
});
