import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {createSystemClock} from '../../Clock.js';

const waitMs = 50;
const absurdMs = 99_999_999_999_999;

describe('createSystemClock', () => {
  // Guards against timers of absurd length that end at once.
  it('does not run a timer of any length early', async () => {
    const clock = createSystemClock();
    let runs = 0;
    const cancels = [
      clock.after(absurdMs, () => (runs += 1)),
      clock.after(Infinity, () => (runs += 1)),
      clock.every(absurdMs, () => (runs += 1)),
    ];
    await sleep(waitMs);
    for (const cancel of cancels) cancel();
    expect(runs).to.equal(0);
  });
});
