import {expect} from 'chai';
import fc from 'fast-check';
import type {ObservedRenewals} from '../../state/StoreAbsence.js';
import {createStoreAbsenceJudge} from '../../state/StoreAbsence.js';

const calmMs = 60_000;
const readIntervalMs = 1_000;

interface RenewalPlan {
  readonly upstreamCount: number;
  readonly intervalMs: number;
  /** The store serves nobody in this time. */
  readonly outage: {readonly fromMs: number; readonly toMs: number};
}

/** Returns the renewals in a time; those that an outage prevents come after it. */
function renewalsBetween(
  {intervalMs, outage, upstreamCount}: RenewalPlan,
  fromMs: number,
  toMs: number,
): ObservedRenewals {
  let renewalCount = 0;
  for (let index = 0; index < upstreamCount; index += 1) {
    const phaseMs = (index / upstreamCount) * intervalMs;
    let lastMs = -Infinity;
    for (let dueMs = phaseMs; dueMs <= toMs; dueMs += intervalMs) {
      const isPrevented = dueMs >= outage.fromMs && dueMs < outage.toMs;
      const atMs = isPrevented ? outage.toMs : dueMs;
      if (atMs > fromMs && atMs <= toMs && atMs !== lastMs) renewalCount += 1;
      lastMs = atMs;
    }
  }
  return {upstreamCount, renewalCount, elapsedMs: toMs - fromMs};
}

function judgeAbsence(plan: RenewalPlan, absenceMs: number) {
  const judge = createStoreAbsenceJudge();
  for (let atMs = 0; atMs < calmMs; atMs += readIntervalMs) {
    judge.observe(renewalsBetween(plan, atMs, atMs + readIntervalMs));
  }
  return judge.judge(renewalsBetween(plan, calmMs, calmMs + absenceMs));
}

const noOutage = {fromMs: Infinity, toMs: Infinity};

describe('createStoreAbsenceJudge', () => {
  const upstreamCounts = fc.integer({min: 4, max: 100});
  const intervals = fc.integer({min: 200, max: 5_000});

  it('recognizes a cut of one instance, however long and with any number of upstreams', () => {
    fc.assert(
      fc.property(
        upstreamCounts,
        intervals,
        fc.integer({min: 500, max: 120_000}),
        (upstreamCount, intervalMs, absenceMs) => {
          const plan = {upstreamCount, intervalMs, outage: noOutage};
          expect(judgeAbsence(plan, absenceMs)).to.equal('cut_off');
        },
      ),
    );
  });

  it('recognizes an outage in which entries expire', () => {
    fc.assert(
      fc.property(
        upstreamCounts,
        intervals,
        fc.double({min: 3, max: 30, noNaN: true}),
        fc.double({min: 0, max: 1, noNaN: true}),
        (upstreamCount, intervalMs, missedIntervals, noticeDelay) => {
          const durationMs = missedIntervals * intervalMs;
          const fromMs = calmMs + 0.1 * intervalMs;
          const outage = {fromMs, toMs: fromMs + durationMs};
          const noticedMs = outage.toMs + noticeDelay * intervalMs;
          const plan = {upstreamCount, intervalMs, outage};
          expect(judgeAbsence(plan, noticedMs - calmMs)).to.equal('outage');
        },
      ),
    );
  });

  it('does not judge before it knows how often entries are renewed', () => {
    const judge = createStoreAbsenceJudge();
    judge.observe({upstreamCount: 4, renewalCount: 2, elapsedMs: 1_000});
    const renewals = {upstreamCount: 4, renewalCount: 0, elapsedMs: 5_000};
    expect(judge.judge(renewals)).to.equal('unknown');
  });

  it('does not judge without entries that exist before and after', () => {
    const judge = createStoreAbsenceJudge();
    judge.observe({upstreamCount: 4, renewalCount: 40, elapsedMs: 10_000});
    const renewals = {upstreamCount: 0, renewalCount: 0, elapsedMs: 5_000};
    expect(judge.judge(renewals)).to.equal('unknown');
  });
});
