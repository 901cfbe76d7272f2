import {expect} from 'chai';
import fc from 'fast-check';
import type {RateDivision, RateMember} from '../../index.js';
import {createRateBucket, rateShareOf} from '../../index.js';

const runCount = 1_000;
const tolerance = 1e-9;

function members(
  count: number,
  demandOf: (index: number) => readonly number[] | undefined = () => [5],
): readonly RateMember<number>[] {
  return Array.from({length: count}, (_, index) => ({
    id: index + 1,
    demandPerS: demandOf(index),
  }));
}

function sharesOf(division: RateDivision<number>) {
  return division.members.map(({id}) => rateShareOf(id, division));
}

function total(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}

describe('rateShareOf', () => {
  const division = fc.record({
    resource: fc.string(),
    limitPerS: fc.double({min: 0.1, max: 200, noNaN: true}),
    members: fc
      .array(
        fc.option(
          fc.array(fc.double({min: 0, max: 50, noNaN: true}), {maxLength: 4}),
          {nil: undefined},
        ),
        {minLength: 1, maxLength: 60},
      )
      .map(demands => members(demands.length, index => demands[index])),
  });

  // Guards against a fleet that exceeds the rate or leaves a part to nobody.
  it('divides exactly the rate and a bounded burst', () => {
    fc.assert(
      fc.property(division, input => {
        const shares = sharesOf(input);
        expect(total(shares.map(({perS}) => perS))).to.be.closeTo(
          input.limitPerS,
          input.limitPerS * 1e-6,
        );
        expect(total(shares.map(({burst}) => burst))).to.be.at.most(
          3 + input.limitPerS + tolerance,
        );
        for (const {burst, perS} of shares) {
          if (perS > 0) expect(burst).to.be.at.least(1);
        }
      }),
      {numRuns: runCount, seed: 38},
    );
  });

  it('follows the demand', () => {
    const [heavy, light] = sharesOf({
      resource: 'r',
      limitPerS: 10,
      members: members(2, index => [index === 0 ? 30 : 10]),
    });
    expect(heavy?.perS).to.be.closeTo(7.25, 0.01);
    expect(light?.perS).to.be.closeTo(2.75, 0.01);
  });

  // Guards against urgent requests that wait while others use the upstream.
  it('gives the rate to the instances with urgent requests', () => {
    const [urgent, other] = sharesOf({
      resource: 'r',
      limitPerS: 10,
      members: members(2, index => (index === 0 ? [10, 0] : [0, 90])),
    });
    expect(urgent?.perS).to.be.above(9);
    expect(other?.perS).to.be.below(1);
    expect(other?.openTierCount).to.equal(1);
  });

  it('opens all tiers where the rate covers their demand', () => {
    const [share] = sharesOf({
      resource: 'r',
      limitPerS: 100,
      members: members(2, () => [10, 10]),
    });
    expect(share?.openTierCount).to.equal(Infinity);
  });

  it('counts silent members like the others', () => {
    const [, silent] = sharesOf({
      resource: 'r',
      limitPerS: 12,
      members: members(3, index => (index === 1 ? undefined : [5])),
    });
    expect(silent?.perS).to.be.closeTo(4, 0.01);
  });

  it('gives a small rate to few instances with demand', () => {
    const shares = sharesOf({
      resource: 'r',
      limitPerS: 1,
      members: members(79, index => [index < 8 ? 10 : 0]),
    });
    const holders = shares.flatMap(({perS}, index) =>
      perS > 0 ? [index] : [],
    );
    expect(holders.length).to.be.at.most(3);
    expect(holders.filter(index => index < 8)).to.have.length.above(0);
  });
});

describe('RateBucket', () => {
  const share = {perS: 2, burst: 4, openTierCount: 1};

  it('starts empty and fills at its rate', () => {
    const bucket = createRateBucket(0);
    bucket.refill(share, 0);
    expect(bucket.waitMs(0)).to.equal(500);
    bucket.refill(share, 500);
    expect(bucket.waitMs(0)).to.equal(0);
    bucket.take();
    expect(bucket.waitMs(0)).to.equal(500);
  });

  it('leaves requests to more urgent tiers', () => {
    const bucket = createRateBucket(0);
    bucket.refill(share, 0);
    bucket.refill(share, 1_000);
    expect(bucket.waitMs(0)).to.equal(0);
    expect(bucket.waitMs(1)).to.equal(500);
    bucket.refill(share, 1_500);
    expect(bucket.waitMs(1)).to.equal(0);
  });

  it('keeps nothing of a share that was withdrawn', () => {
    const bucket = createRateBucket(0);
    bucket.refill(share, 0);
    bucket.refill({perS: 0, burst: 0, openTierCount: 1}, 2_000);
    expect(bucket.waitMs(0)).to.equal(Infinity);
    bucket.refill(share, 2_000);
    expect(bucket.waitMs(0)).to.equal(500);
  });

  it('takes back a request that was not sent, up to its burst', () => {
    const bucket = createRateBucket(0);
    bucket.refill(share, 0);
    bucket.refill(share, 500);
    bucket.take();
    bucket.giveBack();
    expect(bucket.waitMs(0)).to.equal(0);
    bucket.refill(share, 10_000);
    for (let count = 0; count < 8; count += 1) bucket.giveBack();
    for (let count = 0; count < 4; count += 1) bucket.take();
    expect(bucket.waitMs(0)).to.equal(500);
  });
});
