import {expect} from 'chai';
import fc from 'fast-check';
import type {ProcessHash, RateStatement} from '../../index.js';
import {createRateStatements} from '../../index.js';

const engine = 1 as ProcessHash;
const runCount = 1_000;
const reportDelayMs = 40;

function reported(overrides: Partial<RateStatement> = {}): RateStatement {
  return {
    process: engine,
    perS: 2,
    statedAgeMs: 100,
    endedAgeMs: undefined,
    ...overrides,
  };
}

describe('RateStatements', () => {
  it('holds from the first response that states a limit', () => {
    const statements = createRateStatements();
    expect(statements.rateOf(engine, 0)).to.equal(undefined);
    expect(statements.state(engine, 2, 0)).to.equal('began');
    expect(statements.state(engine, 2, 10)).to.equal('unchanged');
    expect(statements.state(engine, 3, 20)).to.equal('changed');
    expect(statements.rateOf(engine, 30)).to.equal(3);
  });

  // Guards against a limit that is dropped because a response from before it
  // arrives late.
  it('does not end by a response to an earlier request', () => {
    const statements = createRateStatements();
    statements.state(engine, 2, 100);
    expect(statements.stateNone(engine, 90, 200)).to.equal('unchanged');
    expect(statements.rateOf(engine, 200)).to.equal(2);
    expect(statements.stateNone(engine, 150, 250)).to.equal('ended');
    expect(statements.isInForce(engine)).to.equal(false);
  });

  // Guards against a rush to an upstream whose limit has ended.
  it('rises step by step after its end', () => {
    const statements = createRateStatements();
    statements.state(engine, 2, 0);
    statements.stateNone(engine, 10, 20);
    expect(statements.rateOf(engine, 20)).to.equal(2);
    expect(statements.rateOf(engine, 1_020)).to.equal(8);
    expect(statements.rateOf(engine, 4_020)).to.equal(undefined);
  });

  it('lets requests through that show the end of a limit of none', () => {
    const statements = createRateStatements();
    statements.state(engine, 0, 0);
    expect(statements.rateOf(engine, 0)).to.be.above(0);
  });

  it('learns of a limit and of its end from peers', () => {
    const statements = createRateStatements();
    expect(statements.adopt(reported(), 1_000)).to.equal('began');
    expect(statements.rateOf(engine, 1_000)).to.equal(2);
    const end = reported({statedAgeMs: 300, endedAgeMs: 20});
    expect(statements.adopt(end, 1_200)).to.equal('ended');
    expect(statements.isInForce(engine)).to.equal(false);
  });

  it('ignores what had ended before it was heard of', () => {
    const statements = createRateStatements();
    const end = reported({statedAgeMs: 300, endedAgeMs: 20});
    expect(statements.adopt(end, 1_000)).to.equal('unchanged');
    expect(statements.isInForce(engine)).to.equal(false);
  });

  // Passed on from instance to instance, a statement would never grow old.
  it('reports only what this instance was told itself', () => {
    const statements = createRateStatements();
    statements.adopt(reported(), 1_000);
    expect(statements.received(1_000)).to.deep.equal([]);
    statements.state(engine, 2, 2_000);
    expect(statements.received(2_500)).to.deep.equal([
      reported({statedAgeMs: 500}),
    ]);
  });

  it('tells peers of an end although only they stated the limit', () => {
    const statements = createRateStatements();
    statements.adopt(reported(), 1_000);
    statements.stateNone(engine, 1_100, 1_200);
    expect(statements.received(1_200)).to.deep.equal([
      reported({statedAgeMs: 300, endedAgeMs: 100}),
    ]);
  });

  it('forgets a process that is gone', () => {
    const statements = createRateStatements();
    statements.state(engine, 2, 0);
    statements.forget(engine);
    expect(statements.rateOf(engine, 1)).to.equal(undefined);
  });

  /** A change within the delay of a report may be seen in another order. */
  const minStepMs = 2 * reportDelayMs;
  const step = fc.record({
    instance: fc.nat(2),
    isLimited: fc.boolean(),
    passedMs: fc.integer({min: minStepMs, max: 3_000}),
  });

  // Guards against instances that disagree for good, whichever of them gets the
  // responses.
  it('leads all instances to the state that the upstream last named', () => {
    fc.assert(
      fc.property(fc.array(step, {minLength: 1, maxLength: 30}), steps => {
        const fleet = [0, 1, 2].map(createRateStatements);
        let nowMs = 0;
        let wasLimited = false;
        for (const {instance, isLimited, passedMs} of steps) {
          nowMs += passedMs;
          const sentAtMs = nowMs;
          nowMs += 1;
          const receiver = fleet[instance];
          if (isLimited) receiver?.state(engine, 2, nowMs);
          else receiver?.stateNone(engine, sentAtMs, nowMs);
          wasLimited = isLimited;
          nowMs += reportDelayMs;
          const reports = fleet.map(each =>
            each.received(nowMs - reportDelayMs),
          );
          for (const [from, report] of reports.entries()) {
            for (const [to, each] of fleet.entries()) {
              if (to === from) continue;
              for (const statement of report) each.adopt(statement, nowMs);
            }
          }
          // A later request shows the end where reports made the limit newer.
          nowMs += reportDelayMs;
          if (!wasLimited) {
            for (const each of fleet) each.stateNone(engine, nowMs, nowMs + 1);
          }
          for (const each of fleet) {
            expect(each.isInForce(engine)).to.equal(wasLimited);
          }
        }
      }),
      {numRuns: runCount, seed: 38},
    );
  });
});
