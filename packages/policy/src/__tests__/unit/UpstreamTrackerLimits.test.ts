import {expect} from 'chai';
import {defaultUpstreamTrackerParameters as defaults} from '../../UpstreamTrackerConstants.js';
import type {ConcurrencyLimit} from '../../UpstreamTrackerLimits.js';
import {createConcurrencyLimit} from '../../UpstreamTrackerLimits.js';

/** Adjusts a limit once per interval with as many jobs as it allows. */
function adjustFull(
  limit: ConcurrencyLimit,
  pressure: number,
  times: number,
  startMs: number,
): number {
  let nowMs = startMs;
  for (let i = 0; i < times; i++) {
    nowMs += defaults.controlIntervalMs;
    limit.adjust(pressure, limit.forTier(4), nowMs);
  }
  return nowMs;
}

describe('createConcurrencyLimit', () => {
  it('grows back to its previous value after a restart without overshooting it', () => {
    const limit = createConcurrencyLimit({...defaults, initialLimit: 33});
    limit.adjust(undefined, 0, 0);
    limit.restart();
    expect(limit.forTier(4)).to.equal(2);
    const rampedAtMs = adjustFull(limit, 0.6, 5, 0);
    expect(limit.forTier(4)).to.equal(33);
    adjustFull(limit, 0.6, 1, rampedAtMs);
    expect(limit.forTier(4)).to.equal(34);
  });

  it('shrinks while jobs of the highest tier use its headroom', () => {
    const limit = createConcurrencyLimit({...defaults, initialLimit: 20});
    limit.adjust(undefined, 0, 0);
    limit.adjust(1.2, limit.forTier(1), defaults.controlIntervalMs);
    expect(limit.forTier(4)).to.be.lessThan(20);
  });
});
