import {expect} from 'chai';
import {createEventProgress} from '../../request/EventProgress.js';

const maxAddedCount = 100_000;
const megabyte = 1024 * 1024;

/** Adds pieces until the stream is given up; returns how many were accepted. */
function countAccepted(bytes: number, pendingBytes: number): number {
  const progress = createEventProgress();
  for (let count = 0; count < maxAddedCount; count += 1) {
    if (progress.add(bytes, 0, pendingBytes) !== undefined) return count;
  }
  return maxAddedCount;
}

describe('EventProgress', () => {
  // Guards against an upstream whose comments are read for as long as it sends.
  it('gives up a stream of comments without events', () => {
    expect(countAccepted(1, 0)).to.be.within(1_000, 20_000);
    expect(countAccepted(1_024, 0)).to.equal(1_024);
  });

  it('gives up an event that is too large', () => {
    const progress = createEventProgress();
    expect(progress.add(megabyte, 0, megabyte)).to.equal(undefined);
    expect(progress.add(1, 0, megabyte + 1)).to.match(/event exceeds/);
  });

  it('accepts comments between events however long the stream is', () => {
    const progress = createEventProgress();
    for (let index = 0; index < maxAddedCount; index += 1) {
      expect(progress.add(1, 0, 0)).to.equal(undefined);
      if (index % 1_000 === 0) progress.add(9, 1, 0);
    }
  });
});
