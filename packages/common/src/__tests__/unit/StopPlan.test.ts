import {expect} from 'chai';
import {createSeededRandom} from '../../Random.js';
import {loopDelaySampleMs} from '../../LoopDelay.js';
import type {StopPhase} from '../../StopPlan.js';
import {createStopPlan, refusalMs} from '../../StopPlan.js';

const graceMs = 8_000;
const noticeMs = 2_600;
const phases: readonly StopPhase[] = [
  'notice',
  'refusal',
  'drain',
  'last_answers',
  'closing',
];

/** Creates a plan whose delay of the event loop the test sets. */
function createPlan(
  options: {
    graceMs?: number;
    delayMs?: number;
    signalDelayMs?: number;
  } = {},
) {
  let delayMs = options.delayMs ?? 0;
  const plan = createStopPlan({
    receivedAtMs: 0,
    signalDelayMs: options.signalDelayMs ?? 0,
    graceMs: options.graceMs ?? graceMs,
    noticeMs,
    loopDelayMs: () => delayMs,
  });
  return {plan, setDelayMs: (nextMs: number) => (delayMs = nextMs)};
}

describe('StopPlan', () => {
  // Guards against a stop that refuses requests or connections out of order.
  it('passes through all phases', () => {
    const {plan} = createPlan();
    expect(plan.phase(0)).to.equal('notice');
    expect(plan.phase(noticeMs)).to.equal('refusal');
    expect(plan.phase(noticeMs + refusalMs)).to.equal('drain');
    expect(plan.phase(graceMs - plan.reserveMs())).to.equal('last_answers');
    expect(plan.phase(graceMs)).to.equal('closing');
  });

  // Guards against an end that is planned as if the process were never late.
  it('ends sooner when the event loop runs late during the stop', () => {
    const {plan, setDelayMs} = createPlan();
    const calmMs = plan.untilLastAnswersMs(0);
    setDelayMs(100);
    const busyMs = plan.untilLastAnswersMs(0);
    expect(calmMs - busyMs).to.be.at.least(300);
    setDelayMs(0);
    expect(plan.untilLastAnswersMs(0)).to.equal(busyMs);
  });

  // Guards against a grace period that is counted from a signal read late.
  it('counts the grace period from before the delay in which the signal waited', () => {
    const {plan} = createPlan({signalDelayMs: 200});
    const endMs = plan.untilLastAnswersMs(0) + plan.reserveMs();
    expect(endMs).to.equal(graceMs - 200);
  });

  // Guards against streams that are cut while callers may expect them to go on.
  it('gives no last answers in the first five sixths of the grace period', () => {
    for (const waitedMs of [0, 300, 1_000]) {
      const assumedWaitMs = waitedMs + loopDelaySampleMs;
      const {plan} = createPlan({signalDelayMs: assumedWaitMs, delayMs: 2_000});
      const sinceSignalMs = plan.untilLastAnswersMs(0) + waitedMs;
      expect(sinceSignalMs).to.be.at.least((graceMs * 5) / 6);
    }
  });

  // Guards against a stop without answers because its signal seems to have waited
  // for the whole grace period.
  it('leaves time for last answers however long the signal may have waited', () => {
    const {plan} = createPlan({signalDelayMs: 2 * graceMs, delayMs: 4_000});
    expect(plan.phase(0)).to.equal('last_answers');
    const closingMs = plan.untilClosingMs(0);
    expect(closingMs).to.be.within(1, plan.reserveMs());
    expect(plan.phase(closingMs)).to.equal('closing');
  });

  // Guards against a notice that outlasts a short grace period.
  it('gives last answers within a grace period shorter than the notice', () => {
    const {plan} = createPlan({graceMs: 1_000});
    expect(plan.phase(920)).to.equal('last_answers');
  });

  // Guards against requests that get no refusal because the delay takes the time.
  it('refuses requests before the last answers even if little time is left', () => {
    const {plan} = createPlan({signalDelayMs: 4_700, delayMs: 4_700});
    const lastAnswersMs = plan.untilLastAnswersMs(0);
    expect(lastAnswersMs).to.be.below(noticeMs);
    expect(plan.phase(lastAnswersMs - 1)).to.equal('refusal');
    expect(plan.phase(lastAnswersMs)).to.equal('last_answers');
  });

  // Guards against a stop that overruns the grace period or goes back a phase.
  it('never goes back nor plans beyond the grace period, whatever the delays', () => {
    for (let seed = 1; seed <= 200; seed++) {
      const random = createSeededRandom(seed);
      const ownGraceMs = 500 + random.next() * 20_000;
      const maxDelayMs = random.next() * 2_000;
      const {plan, setDelayMs} = createPlan({
        graceMs: ownGraceMs,
        delayMs: random.next() * maxDelayMs,
        signalDelayMs: random.next() * maxDelayMs,
      });
      let latest = 0;
      for (let nowMs = 0; nowMs <= ownGraceMs; nowMs += random.next() * 300) {
        setDelayMs(random.next() * maxDelayMs);
        const endMs = nowMs + plan.untilLastAnswersMs(nowMs) + plan.reserveMs();
        expect(endMs, `seed ${seed}`).to.be.at.most(ownGraceMs + 0.001);
        expect(plan.untilClosingMs(nowMs)).to.be.at.least(
          plan.untilLastAnswersMs(nowMs),
        );
        const index = phases.indexOf(plan.phase(nowMs));
        expect(index, `seed ${seed}`).to.be.at.least(latest);
        latest = index;
      }
      expect(plan.phase(ownGraceMs)).to.equal('closing');
    }
  });
});
