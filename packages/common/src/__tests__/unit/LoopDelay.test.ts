import {expect} from 'chai';
import type {Clock} from '../../Clock.js';
import {createManualClock} from '../../Clock.js';
import {
  createLoopDelay,
  loopDelaySampleMs,
  recentLoopDelayMs,
} from '../../LoopDelay.js';

/** A clock whose timers fire late, as in a process without processor time. */
function createBusyClock() {
  const clock = createManualClock();
  let lateMs = 0;
  const busy: Clock = {
    ...clock,
    after: (delayMs, run) => clock.after(delayMs + lateMs, run),
  };
  return {
    clock: busy,
    advance: clock.advance,
    delayTimersBy: (delayMs: number) => (lateMs = delayMs),
  };
}

describe('LoopDelay', () => {
  // Guards against load that is seen where there is none.
  it('is 0 while timers fire in time', () => {
    const {advance, clock} = createBusyClock();
    const delay = createLoopDelay({clock});
    delay.start();
    advance(recentLoopDelayMs);
    expect(delay.recentMaxMs()).to.equal(0);
    expect(delay.currentMs()).to.equal(0);
  });

  // Guards against a busy process that does not know that it is late.
  it('shows a delay of timers, and the recent maximum after it', () => {
    const {advance, clock, delayTimersBy} = createBusyClock();
    const samples: number[] = [];
    const delay = createLoopDelay({
      clock,
      onSample: delayMs => samples.push(delayMs),
    });
    delay.start();
    delayTimersBy(300);
    advance(loopDelaySampleMs);
    delayTimersBy(0);
    advance(loopDelaySampleMs + 300);
    expect(samples).to.deep.equal([0, 300]);
    expect(delay.currentMs()).to.equal(300);
    advance(loopDelaySampleMs);
    expect(delay.currentMs()).to.equal(0);
    expect(delay.recentMaxMs()).to.equal(300);
    advance(recentLoopDelayMs + loopDelaySampleMs);
    expect(delay.recentMaxMs()).to.equal(0);
    expect(delay.maxMs()).to.equal(300);
  });

  // Guards against a stop that is planned as if its signal had waited for the
  // whole of an earlier delay, and cuts streams too soon.
  it('bounds the wait of what is read now by the time since the last reading', () => {
    const {advance, clock, delayTimersBy} = createBusyClock();
    let read = (): void => undefined;
    const delay = createLoopDelay({clock, afterRead: run => (read = run)});
    delay.start();
    delayTimersBy(1_000);
    advance(loopDelaySampleMs);
    read();
    advance(loopDelaySampleMs + 1_000);
    expect(delay.unreadMs()).to.equal(loopDelaySampleMs + 1_000);
    read();
    advance(300);
    expect(delay.currentMs()).to.equal(1_000);
    expect(delay.unreadMs()).to.equal(300);
  });

  // Guards against a pause that counts as recent for longer the later a process
  // runs, because it takes fewer samples.
  it('forgets a long delay after the recent past also while it runs late', () => {
    const {advance, clock, delayTimersBy} = createBusyClock();
    const delay = createLoopDelay({clock});
    delay.start();
    delayTimersBy(3_000);
    advance(loopDelaySampleMs);
    delayTimersBy(100);
    advance(loopDelaySampleMs + 3_000);
    expect(delay.recentMaxMs()).to.equal(3_000);
    advance(recentLoopDelayMs + 200);
    expect(delay.recentMaxMs()).to.be.at.most(200);
  });

  // Guards against a decision in a long turn of the loop that sees no delay.
  it('shows an overdue sample before it is taken', () => {
    const {advance, clock, delayTimersBy} = createBusyClock();
    const delay = createLoopDelay({clock});
    delay.start();
    delayTimersBy(1_000);
    advance(loopDelaySampleMs);
    advance(loopDelaySampleMs + 400);
    expect(delay.currentMs()).to.equal(400);
    expect(delay.recentMaxMs()).to.equal(400);
  });

  // Guards against a timer that keeps a stopped process alive.
  it('takes no sample once it is closed', () => {
    const {advance, clock} = createBusyClock();
    let count = 0;
    const delay = createLoopDelay({clock, onSample: () => (count += 1)});
    delay.start();
    delay.close();
    advance(recentLoopDelayMs);
    expect(count).to.equal(0);
  });
});
