import {expect} from 'chai';
import {
  createPieceLimit,
  freePiecesCount,
  minAveragePieceBytes,
} from '../../PieceLimit.js';

function countAccepted(pieceBytes: number, maxCount: number): number {
  const limit = createPieceLimit();
  let count = 0;
  while (count < maxCount && limit.tryAdd(pieceBytes)) count += 1;
  return count;
}

describe('PieceLimit', () => {
  it('accepts a bounded number of small pieces', () => {
    expect(countAccepted(1, 10 * freePiecesCount)).to.equal(freePiecesCount);
  });

  it('accepts any number of pieces of a usual size', () => {
    const count = 10 * freePiecesCount;
    expect(countAccepted(minAveragePieceBytes, count)).to.equal(count);
  });

  it('counts from zero after a reset', () => {
    const limit = createPieceLimit();
    for (let count = 0; count < freePiecesCount; count += 1) limit.tryAdd(1);
    limit.reset();
    expect(limit.tryAdd(1)).to.equal(true);
  });
});
