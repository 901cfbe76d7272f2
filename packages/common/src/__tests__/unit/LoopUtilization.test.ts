import {expect} from 'chai';
import {createSystemClock, delay} from '../../index.js';
import {createLoopUtilization} from '../../LoopUtilization.js';

const clock = createSystemClock();
const measuredMs = 300;

describe('LoopUtilization', () => {
  // Guards against a share since the start, which hides the present.
  it('returns the share since the last call', () => {
    let times = {idle: 1_000, active: 10};
    const utilization = createLoopUtilization(() => times);
    times = {idle: 1_050, active: 60};
    expect(utilization()).to.equal(0.5);
    times = {idle: 1_050, active: 260};
    expect(utilization()).to.equal(1);
    times = {idle: 1_250, active: 260};
    expect(utilization()).to.equal(0);
  });

  // Guards against a measurement that cannot tell waiting from work.
  it('tells a loop that waits from one that works in every turn', async () => {
    const utilization = createLoopUtilization();
    await delay(clock, measuredMs);
    expect(utilization()).to.be.lessThan(0.5);
    const endMs = clock.nowMs() + measuredMs;
    while (clock.nowMs() < endMs) {
      await new Promise(resolve => setImmediate(resolve));
    }
    expect(utilization()).to.be.greaterThan(0.95);
  });
});
