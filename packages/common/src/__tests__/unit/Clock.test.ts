import {expect} from 'chai';
import {createManualClock} from '../../index.js';

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
