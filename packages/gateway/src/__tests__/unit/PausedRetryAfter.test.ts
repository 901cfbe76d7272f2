import {createSeededRandom} from '@toucanrouter/common';
import {expect} from 'chai';
import {pausedRetryDelayMs} from '../../request/RetryAfter.js';

describe('paused Retry-After', () => {
  // Guards against callers that return before the pause, or all at its end.
  it('spreads the Retry-After of refused callers, and never before the end of the pause', () => {
    const random = createSeededRandom(7);
    const delaysMs = Array.from({length: 200}, () =>
      pausedRetryDelayMs(3_000.4, {tier: 0, targetLatencyMs: 400, random}),
    );
    expect(Math.min(...delaysMs)).to.be.at.least(3_001);
    expect(new Set(delaysMs).size).to.be.above(50);
  });
});
