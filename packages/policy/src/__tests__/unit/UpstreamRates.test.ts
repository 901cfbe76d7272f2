import {expect} from 'chai';
import type {SentRequest} from './RateFleetSimulation.js';
import {mostWithin, simulateRateFleet} from './RateFleetSimulation.js';

/** The bound that the users state for what an upstream may get. */
const windowMs = 4_000;
const toleratedShare = 1.5;
const toleratedRequests = 5;
/** Time that instances have to follow a limit. */
const contactMs = 3_000;
const durationMs = 40_000;

interface Fleet {
  readonly instances: number;
  readonly reportIntervalMs: number;
}
const fleets: readonly Fleet[] = [
  {instances: 2, reportIntervalMs: 200},
  {instances: 5, reportIntervalMs: 200},
  {instances: 12, reportIntervalMs: 200},
  {instances: 79, reportIntervalMs: 780},
];
const limits: readonly number[] = [0.5, 1, 3, 20];

/** Time after which an instance that got a limit must keep it. */
const toldMs = 500;

/** The requests of instances that had been told of the limit before. */
function fromTold(sent: readonly SentRequest[]): readonly SentRequest[] {
  return sent.filter(
    ({atMs, toldAtMs}) => toldAtMs !== undefined && toldAtMs + toldMs <= atMs,
  );
}

function allowed(limitPerS: number): number {
  return (limitPerS * toleratedShare * windowMs) / 1_000 + toleratedRequests;
}

/** Uneven demand of two tiers, far above small limits. */
function unevenDemand({instances}: Fleet) {
  return (instance: number): readonly number[] => {
    const part = ([2.2, 1.4, 0.8, 0.5, 0.1][instance % 5] ?? 0) / instances;
    return [part * 90, part * 210];
  };
}

describe('UpstreamRates of a fleet', () => {
  for (const fleet of fleets) {
    for (const limitPerS of limits) {
      const where = `${fleet.instances} instances, ${limitPerS} a second`;
      // Guards against instances that together exceed a limit, or leave the
      // upstream idle.
      it(`keeps and uses a limit (${where})`, () => {
        const sent = simulateRateFleet({
          seed: 38,
          ...fleet,
          limitPerS,
          demandPerS: unevenDemand(fleet),
          lostShare: 0.3,
          durationMs,
        });
        expect(mostWithin(sent, windowMs, contactMs)).to.be.at.most(
          allowed(limitPerS),
        );
        const steady = sent.filter(({atMs}) => atMs >= contactMs);
        const usedPerS = steady.length / ((durationMs - contactMs) / 1_000);
        expect(usedPerS).to.be.above(limitPerS * 0.5);
        const urgent = steady.filter(({tier}) => tier === 0).length;
        // There are 7 less urgent requests for 3 urgent ones.
        const others = steady.length - urgent;
        expect(urgent / 3).to.be.above((2 * others) / 7);
      });

      // Guards against shares that add up to more while views differ.
      it(`keeps a limit beside restarts and cuts (${where})`, () => {
        const sent = simulateRateFleet({
          seed: 39,
          ...fleet,
          limitPerS,
          demandPerS: unevenDemand(fleet),
          lostShare: 0.3,
          isAway: (instance, nowMs) =>
            Math.floor(nowMs / 2_500) % 5 === instance % 5 &&
            nowMs % 2_500 < 1_000,
          isCut: (a, b, nowMs) =>
            Math.floor(nowMs / 6_000) % 2 === 1 && a % 2 !== b % 2,
          durationMs,
        });
        expect(mostWithin(fromTold(sent), windowMs, contactMs)).to.be.at.most(
          allowed(limitPerS),
        );
      });
    }
  }

  // Guards against an upstream that stays limited, or gets a rush at once.
  it('returns to full traffic in steps after a limit', () => {
    const fleet: Fleet = {instances: 5, reportIntervalMs: 200};
    const sent = simulateRateFleet({
      seed: 40,
      ...fleet,
      limitPerS: 2,
      demandPerS: unevenDemand(fleet),
      limitedUntilMs: 10_000,
      durationMs: 20_000,
    });
    const countIn = (fromMs: number, toMs: number) =>
      sent.filter(({atMs}) => atMs >= fromMs && atMs < toMs).length;
    expect(countIn(10_000, 11_000)).to.be.below(40);
    expect(countIn(18_000, 20_000)).to.be.above(400);
  });
});
