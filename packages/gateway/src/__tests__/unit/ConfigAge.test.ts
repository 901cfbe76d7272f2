import {createManualClock} from '@toucanrouter/common';
import {expect} from 'chai';
import {createActiveConfig} from '../../config/ActiveConfig.js';
import {createConfigAge} from '../../config/ConfigAge.js';
import {createConfig} from './GatewayFixtures.js';

describe('ConfigAge', () => {
  it('is infinite until the store confirmed the configuration', () => {
    expect(createConfigAge(createManualClock()).ageMs()).to.equal(Infinity);
  });

  it('counts from before the call, since the response may arrive late', () => {
    const clock = createManualClock();
    const age = createConfigAge(clock);
    const mark = age.mark();
    clock.advance(300);
    age.confirmed(mark);
    expect(age.ageMs()).to.equal(300);
  });

  it('counts a suspension that the monotonic clock misses', () => {
    const clock = createManualClock();
    let suspendedMs = 0;
    const age = createConfigAge({
      ...clock,
      wallMs: () => clock.wallMs() + suspendedMs,
    });
    age.confirmed(age.mark());
    suspendedMs = 6_000;
    expect(age.ageMs()).to.equal(6_000);
  });

  it('does not decrease when the wall clock jumps back', () => {
    const clock = createManualClock(10_000);
    let jumpMs = 0;
    const age = createConfigAge({
      ...clock,
      wallMs: () => clock.wallMs() + jumpMs,
    });
    age.confirmed(age.mark());
    jumpMs = -5_000;
    clock.advance(2_000);
    expect(age.ageMs()).to.equal(2_000);
  });
});

describe('ActiveConfig', () => {
  it('never replaces a configuration by an older version', () => {
    const active = createActiveConfig(() => undefined);
    expect(active.applyIfNewer(createConfig({version: 7}))).to.equal(true);
    expect(active.applyIfNewer(createConfig({version: 5}))).to.equal(false);
    expect(active.applyIfNewer(createConfig({version: 7}))).to.equal(false);
    expect(active.current()?.version).to.equal(7);
  });
});
