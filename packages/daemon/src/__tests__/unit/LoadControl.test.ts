import {
  createManualClock,
  createSeededRandom,
  toInstanceId,
} from '@toucanrouter/common';
import {createLogger} from '@toucanrouter/logging';
import {expect} from 'chai';
import {createLoadControl} from '../../request/LoadControl.js';
import {createTierClass} from './CallerServerFixture.js';

/** Returns the admitted share after the loop was late for long. */
function shareAfterDelay(loopUtilization: number): number {
  const clock = createManualClock();
  const lateMs = 500;
  const control = createLoadControl({
    clock: {
      ...clock,
      after: (delayMs, run) => clock.after(delayMs + lateMs, run),
    },
    logger: createLogger({
      format: 'json',
      level: 'info',
      instanceId: toInstanceId('i'),
      write: () => undefined,
    }),
    random: createSeededRandom(1),
    loopUtilization: () => loopUtilization,
    classes: () => [createTierClass(1)],
  });
  control.loopDelay.start();
  clock.advance(10_000);
  return control.admittedShare();
}

describe('LoadControl', () => {
  // Guards against refusals for a delay that other processes cause.
  it('refuses for load only while the event loop does not wait', () => {
    expect(shareAfterDelay(1)).to.be.lessThan(0.5);
    expect(shareAfterDelay(0.3)).to.equal(1);
  });
});
