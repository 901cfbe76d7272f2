import {expect} from 'chai';
import fc from 'fast-check';
import {createHedgeBudget, createRetryBudget} from '../../index.js';

describe('createRetryBudget', () => {
  it('allows a few retries when there are few requests', () => {
    const budget = createRetryBudget({minRatePerSecond: () => 0.2});
    expect(budget.tryRetry(0)).to.equal(true);
    expect(budget.tryRetry(0)).to.equal(true);
    expect(budget.tryRetry(0)).to.equal(false);
    expect(budget.tryRetry(10_000)).to.equal(true);
  });

  it('keeps a reserved retry for its owner until it is closed', () => {
    const budget = createRetryBudget({minRatePerSecond: () => 0.2});
    const reservation = budget.reserve(0);
    expect(budget.tryRetry(0)).to.equal(true);
    expect(budget.tryRetry(0)).to.equal(false);
    expect(budget.reserve(0)).to.equal(undefined);
    reservation?.spend(0);
    reservation?.close();
    expect(budget.tryRetry(0)).to.equal(false);
    const next = budget.reserve(10_000);
    next?.close();
    next?.spend(10_000);
    expect(budget.tryRetry(10_000)).to.equal(true);
    expect(budget.tryRetry(10_000)).to.equal(true);
  });

  it('reports what it spent and denied, so that a used-up budget can be seen', () => {
    // Guards against a budget that denies retries without a trace.
    const denied: number[] = [];
    const budget = createRetryBudget({
      minRatePerSecond: () => 0.2,
      onDenied: ({deniedCount}) => denied.push(deniedCount),
    });
    budget.recordRequest(0);
    budget.reserve(0);
    expect([budget.tryRetry(0), budget.tryRetry(0)]).to.have.members([
      true,
      false,
    ]);
    expect(budget.reserve(0)).to.equal(undefined);
    expect(denied).to.deep.equal([1, 2]);
    expect(budget.status(0)).to.deep.equal({
      spentCount: 1,
      deniedCount: 2,
      allowance: 2.1,
      usedCount: 2,
    });
    expect(budget.status(10_000)).to.include({spentCount: 1, usedCount: 1});
  });

  it('never exceeds its share of the requests in any window', () => {
    const event = fc.record({
      waitMs: fc.nat(3000),
      isRetry: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(event, {maxLength: 300}), events => {
        const budget = createRetryBudget();
        const requests: number[] = [];
        const retries: number[] = [];
        let nowMs = 0;
        for (const {waitMs, isRetry} of events) {
          nowMs += waitMs;
          if (!isRetry) {
            budget.recordRequest(nowMs);
            requests.push(nowMs);
          } else if (budget.tryRetry(nowMs)) {
            retries.push(nowMs);
          }
          const recent = (at: number) => at > nowMs - 9000;
          const allowed =
            10 + 0.1 * requests.filter(at => at > nowMs - 10_000).length;
          expect(retries.filter(recent).length).to.be.at.most(allowed);
        }
      }),
      {seed: 7, numRuns: 200},
    );
  });
});

describe('createHedgeBudget', () => {
  it('never lets hedges exceed 5% of the work', () => {
    const event = fc.record({tokens: fc.nat(1000), isHedge: fc.boolean()});
    fc.assert(
      fc.property(fc.array(event, {maxLength: 300}), events => {
        const budget = createHedgeBudget();
        let worked = 0;
        let hedged = 0;
        for (const {tokens, isHedge} of events) {
          if (!isHedge) {
            budget.recordWork(tokens);
            worked += tokens;
          } else if (budget.tryHedge(tokens)) {
            hedged += tokens;
          }
          expect(hedged).to.be.at.most(worked * 0.05 + 1e-6);
        }
      }),
      {seed: 7, numRuns: 200},
    );
  });

  it('makes up for a hedge that spent more than it reserved', () => {
    const budget = createHedgeBudget();
    budget.recordWork(2000);
    expect(budget.tryHedge(50)).to.equal(true);
    budget.adjustReservation(50, 150);
    expect(budget.tryHedge(1)).to.equal(false);
    budget.recordWork(1000);
    expect(budget.tryHedge(1)).to.equal(false);
    budget.recordWork(1000);
    expect(budget.tryHedge(50)).to.equal(true);
  });
});
