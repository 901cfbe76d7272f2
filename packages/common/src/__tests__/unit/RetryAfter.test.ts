import {expect} from 'chai';
import {maxRetryAfterMs, readRetryAfter} from '../../index.js';

describe('readRetryAfter', () => {
  it('reads whole and fractional seconds', () => {
    expect(readRetryAfter('3').delayMs).to.equal(3_000);
    expect(readRetryAfter(' 0.25 ').delayMs).to.equal(250);
    expect(readRetryAfter('0').delayMs).to.equal(0);
  });

  it('reports nothing without a header', () => {
    expect(readRetryAfter(undefined)).to.deep.equal({
      delayMs: undefined,
      problem: undefined,
    });
  });

  // A value that cannot be read must not end or start a pause.
  for (const value of [
    '',
    '-1',
    'NaN',
    'Infinity',
    '1e3',
    'soon',
    '3, soon',
    'Sun, 06 Dec 2026 00:00:00 GMT',
  ]) {
    it(`does not use ${JSON.stringify(value)} and says why`, () => {
      const {delayMs, problem} = readRetryAfter(value);
      expect(delayMs).to.equal(undefined);
      expect(problem).to.match(/is not a number of seconds$/);
    });
  }

  it('uses the longest of several values', () => {
    expect(readRetryAfter('1, 4, 2').delayMs).to.equal(4_000);
    expect(readRetryAfter(['1', '2.5']).delayMs).to.equal(2_500);
  });

  it('bounds a huge value and says so', () => {
    const {delayMs, problem} = readRetryAfter('9'.repeat(400));
    expect(delayMs).to.equal(maxRetryAfterMs);
    expect(problem).to.match(/exceeds/);
  });
});
