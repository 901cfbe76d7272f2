import {expect} from 'chai';
import {createManualClock, delayOrAbort} from '../../index.js';

describe('createManualClock', () => {
  it('runs due timers in the order of their due times, as a real clock does', () => {
    const clock = createManualClock();
    const seen: string[] = [];
    clock.after(30, () => seen.push('once'));
    const stop = clock.every(20, () => seen.push(`tick ${clock.nowMs()}`));
    clock.advance(45);
    stop();
    clock.advance(100);
    expect(seen).to.deep.equal(['tick 20', 'once', 'tick 40']);
  });
});

describe('delayOrAbort', () => {
  it('resolves at once if its signal was aborted before, so that a canceled call does not wait', async () => {
    const clock = createManualClock();
    await delayOrAbort(clock, 60_000, AbortSignal.abort());
    expect(clock.nowMs()).to.equal(0);
  });

  it('leaves no listener on the signal, which lives as long as its call', async () => {
    const clock = createManualClock();
    const {signal} = new AbortController();
    let listeners = 0;
    const {addEventListener, removeEventListener} = signal;
    signal.addEventListener = (...args: unknown[]) => {
      listeners += 1;
      Reflect.apply(addEventListener, signal, args);
    };
    signal.removeEventListener = (...args: unknown[]) => {
      listeners -= 1;
      Reflect.apply(removeEventListener, signal, args);
    };
    const delayed = delayOrAbort(clock, 10, signal);
    clock.advance(10);
    await delayed;
    expect(listeners).to.equal(0);
  });
});
