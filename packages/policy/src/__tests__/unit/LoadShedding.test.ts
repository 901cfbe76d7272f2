import {expect} from 'chai';
import fc from 'fast-check';
import {createSeededRandom} from '@toucanrouter/common';
import {
  createLoadShedding,
  saturatedUtilization,
  sheddingWindowMs,
} from '../../LoadShedding.js';
import type {SimulatedLoad, TierOutcomes} from './LoadSheddingSimulation.js';
import {simulateLoad} from './LoadSheddingSimulation.js';

const targetDelayMs = 60;
const limitMs = 1_500;
const tiers = [0, 1, 2, 3];

/** A load of 1.8 times the capacity. */
function createLoad(changes: Partial<SimulatedLoad> = {}): SimulatedLoad {
  const random = createSeededRandom(7);
  return {
    tiers,
    durationMs: 20_000,
    arrivalsPerSecond: () => 300,
    servedCostMs: 6,
    refusedCostMs: 0.5,
    limitMs,
    random: () => random.next(),
    ...changes,
  };
}

function createShedding(
  onChange?: (isShedding: boolean) => void,
  loopUtilization = () => 1,
) {
  return createLoadShedding({
    targetDelayMs: () => targetDelayMs,
    loopUtilization,
    onChange,
  });
}

/** Measures the utilization of a simulated loop. */
function createUtilization() {
  let idleMs = 0;
  let allMs = 0;
  return {
    onTurnEnd: (turnMs: number, isIdle: boolean) => {
      allMs += turnMs;
      if (isIdle) idleMs += turnMs;
    },
    read: () => {
      const share = allMs > 0 ? 1 - idleMs / allMs : 1;
      idleMs = allMs = 0;
      return share;
    },
  };
}

function quantileMs({latenciesMs}: TierOutcomes, share: number): number {
  const sorted = latenciesMs.toSorted((a, b) => a - b);
  return sorted[Math.floor(sorted.length * share)] ?? Infinity;
}

const servedShare = ({latenciesMs, refused, late}: TierOutcomes) =>
  latenciesMs.length / (latenciesMs.length + refused + late);

/** Feeds a constant delay, one sample a window. */
function feed(
  shedding: ReturnType<typeof createShedding>,
  delaysMs: readonly number[],
  startMs = 0,
): void {
  shedding.observeDelay(0, startMs);
  delaysMs.forEach((delayMs, index) =>
    shedding.observeDelay(delayMs, startMs + (index + 1) * sheddingWindowMs),
  );
}

describe('LoadShedding', () => {
  // Guards against a simulation whose load the process can serve anyway.
  it('without shedding, a load above the capacity starves all tiers', () => {
    const outcomes = simulateLoad(createLoad(), undefined);
    for (const tier of tiers) {
      expect(servedShare(outcomes.get(tier)!)).to.be.lessThan(0.2);
    }
  });

  // Guards against urgent requests that wait unread behind all others.
  it('keeps the most urgent tier fast while the load exceeds the capacity', () => {
    const outcomes = simulateLoad(createLoad(), createShedding());
    const urgent = outcomes.get(0)!;
    expect(servedShare(urgent)).to.be.greaterThan(0.95);
    expect(quantileMs(urgent, 0.9)).to.be.lessThan(limitMs / 3);
    const shares = tiers.map(tier => servedShare(outcomes.get(tier)!));
    expect(shares).to.deep.equal(shares.toSorted((a, b) => b - a));
    for (const tier of tiers) {
      expect(outcomes.get(tier)!.late).to.be.lessThan(15);
    }
  });

  // Guards against idle moments of a loop that is overloaded all the same, after
  // which requests are admitted that it cannot serve.
  it('keeps the most urgent tier fast with the measured utilization', () => {
    const {onTurnEnd, read} = createUtilization();
    const shedding = createShedding(undefined, read);
    const urgent = simulateLoad(createLoad({onTurnEnd}), shedding).get(0)!;
    expect(servedShare(urgent)).to.be.greaterThan(0.95);
    expect(quantileMs(urgent, 0.9)).to.be.lessThan(limitMs / 3);
  });

  // Guards against refusals, of all tiers in the end, for a delay that other
  // processes cause and that lasts whatever is refused.
  it('refuses none for load while a loop that waits is late', () => {
    const changes: boolean[] = [];
    const shedding = createShedding(
      isShedding => changes.push(isShedding),
      () => saturatedUtilization - 0.1,
    );
    const random = createSeededRandom(3);
    const delayMs = 1.5 * targetDelayMs;
    for (let index = 0; index < 100; index += 1) {
      shedding.observeDelay(delayMs, index * sheddingWindowMs);
      for (const tier of tiers) {
        const request = {tier, limitMs, delayMs, draw: random.next()};
        expect(shedding.decide(request)).to.equal(undefined);
      }
    }
    expect(changes).to.deep.equal([]);
    const late = {tier: 0, limitMs: delayMs, delayMs, draw: 0};
    expect(shedding.decide(late)).to.equal('late');
  });

  // Guards against a share that stays low because the delay that others cause
  // lasts when the load has ended.
  it('admits all requests again once the loop waits, late or not', () => {
    let utilization = 1;
    const shedding = createShedding(undefined, () => utilization);
    const lateWindows = Array.from({length: 40}, () => 2 * targetDelayMs);
    feed(shedding, lateWindows);
    expect(shedding.admittedShare()).to.be.lessThan(0.1);
    utilization = 0.3;
    feed(shedding, lateWindows, 41 * sheddingWindowMs);
    expect(shedding.admittedShare()).to.equal(1);
  });

  // Guards against an instance that goes on refusing after a peak.
  it('admits all requests again within seconds after the load', () => {
    const shedding = createShedding();
    const sharesByTime: [number, number][] = [];
    simulateLoad(
      createLoad({arrivalsPerSecond: atMs => (atMs < 10_000 ? 300 : 80)}),
      shedding,
      nowMs => sharesByTime.push([nowMs, shedding.admittedShare()]),
    );
    const peak = sharesByTime.filter(([atMs]) => atMs < 10_000);
    expect(Math.min(...peak.map(([, share]) => share))).to.be.lessThan(0.6);
    const later = sharesByTime.filter(([atMs]) => atMs > 16_000);
    expect(Math.min(...later.map(([, share]) => share))).to.equal(1);
  });

  // Guards against requests that are refused for a pause that is over.
  for (const forMs of [300, 1_000, 3_000]) {
    it(`refuses none for load after a freeze of ${forMs} ms`, () => {
      const changes: boolean[] = [];
      const shedding = createShedding(isShedding => changes.push(isShedding));
      simulateLoad(
        createLoad({
          arrivalsPerSecond: () => 60,
          freezes: [{atMs: 5_000, forMs}],
        }),
        shedding,
      );
      expect(changes).to.deep.equal([]);
      expect(shedding.admittedShare()).to.equal(1);
    });
  }

  // Guards against a process with enough time that refuses requests.
  it('refuses none while the delay is below the target', () => {
    const outcomes = simulateLoad(
      createLoad({arrivalsPerSecond: () => 120}),
      createShedding(),
    );
    for (const tier of tiers) expect(outcomes.get(tier)!.refused).to.equal(0);
  });

  // Guards against work for a caller that will have given up by its end.
  it('refuses a request whose time cannot cover a delay that lasts', () => {
    const shedding = createShedding();
    const request = {tier: 0, limitMs: 900, delayMs: 500, draw: 0};
    feed(shedding, [500, 500]);
    expect(shedding.decide(request)).to.equal('late');
    expect(shedding.decide({...request, limitMs: 1_100})).to.equal(undefined);
    expect(shedding.decide({...request, delayMs: 0})).to.equal(undefined);
  });

  // Guards against a refusal of requests that wait after one long pause.
  it('refuses a waiting request only if its time is over after one pause', () => {
    const shedding = createShedding();
    feed(shedding, [0, 1_000]);
    const request = {tier: 0, limitMs: 1_500, delayMs: 1_000, draw: 0.9};
    expect(shedding.decide(request)).to.equal(undefined);
    expect(shedding.decide({...request, limitMs: 900})).to.equal('late');
  });

  // Guards against shedding that starts or ends without a report.
  it('reports its begin and its end once', () => {
    const changes: boolean[] = [];
    const shedding = createShedding(isShedding => changes.push(isShedding));
    const calm = Array.from({length: 40}, () => 0);
    feed(shedding, [100, 100, 100, 100, 100, 100, ...calm]);
    expect(changes).to.deep.equal([true, false]);
  });

  // Guards against a less urgent tier that is served before a more urgent one.
  it('never refuses a request for load before a less urgent one', () => {
    const arrivals = fc.array(fc.constantFrom(...tiers), {minLength: 1});
    const delays = fc.array(fc.integer({min: 0, max: 2_000}));
    fc.assert(
      fc.property(
        arrivals,
        delays,
        fc.double({min: 0, max: 1, noNaN: true}),
        (seen, delaysMs, draw) => {
          const shedding = createShedding();
          const limitless = {limitMs: Infinity, delayMs: 0};
          for (const tier of seen) {
            shedding.decide({...limitless, tier, draw});
          }
          feed(shedding, delaysMs);
          const share = shedding.admittedShare();
          expect(share).to.be.greaterThan(0).and.at.most(1);
          let refusedBefore = false;
          for (const tier of tiers) {
            const refused =
              shedding.decide({...limitless, tier, draw: 0.5}) !== undefined;
            if (share === 1) expect(refused).to.equal(false);
            if (refusedBefore) expect(refused).to.equal(true);
            refusedBefore = refused;
          }
        },
      ),
    );
  });
});
