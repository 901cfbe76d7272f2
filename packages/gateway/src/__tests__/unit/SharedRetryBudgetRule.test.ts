import {expect} from 'chai';
import fc from 'fast-check';
import {createSharedRetryBudget} from '../../request/SharedRetryBudget.js';
import type {FleetPlay, Phase} from './RetryFleetSimulation.js';
import {playFleet, worstWindow} from './RetryFleetSimulation.js';

const seed = 11;
const runCount = 60;

const limits = {retryShare: 0.2, retryAllowance: 56, retryWindowMs: 10_000};

function createPhase(overrides: Partial<Phase> = {}): Phase {
  return {
    durationMs: 20_000,
    requestsPerStep: 6,
    spread: 'all',
    retriesPerRequest: 1,
    reservationsPerRequest: 0,
    restarts: 'none',
    restartEveryMs: 3_000,
    downMs: 300,
    ...overrides,
  };
}

function createPlay(overrides: Partial<FleetPlay> = {}): FleetPlay {
  return {
    seed,
    limits,
    instanceCount: 5,
    initialCount: overrides.instanceCount ?? 5,
    joinAtMs: 0,
    listDelayMs: 0,
    phases: [createPhase()],
    ...overrides,
  };
}

function expectWithinLimits(play: FleetPlay): void {
  const worst = worstWindow(
    playFleet(play, createSharedRetryBudget),
    play.limits,
  );
  expect(worst.retries, JSON.stringify(worst)).to.be.at.most(worst.allowed);
}

const anyPhase: fc.Arbitrary<Phase> = fc.record({
  durationMs: fc.integer({min: 1_000, max: 15_000}),
  requestsPerStep: fc.constantFrom(0, 1, 5, 20, 60),
  spread: fc.constantFrom('all', 'all', 'one', 'another'),
  retriesPerRequest: fc.constantFrom(0, 0.5, 1, 3),
  reservationsPerRequest: fc.constantFrom(0, 0, 1),
  restarts: fc.constantFrom('none', 'together', 'in turn', 'reload'),
  restartEveryMs: fc.integer({min: 300, max: 6_000}),
  downMs: fc.integer({min: 0, max: 2_000}),
});

const anyPlay: fc.Arbitrary<FleetPlay> = fc
  .record({
    seed: fc.nat(),
    limits: fc.record({
      retryShare: fc.constantFrom(0, 0.05, 0.2, 0.5),
      retryAllowance: fc.constantFrom(10, 56, 170, 500),
      retryWindowMs: fc.constantFrom(4_000, 10_000),
    }),
    instanceCount: fc.constantFrom(2, 5, 9, 10, 11, 31, 100),
    joinAtMs: fc.integer({min: 0, max: 20_000}),
    listDelayMs: fc.constantFrom(0, 300, 1_000),
    phases: fc.array(anyPhase, {minLength: 1, maxLength: 4}),
  })
  .chain(play =>
    fc
      .integer({min: 1, max: play.instanceCount})
      .map(initialCount => ({...play, initialCount})),
  );

describe('SharedRetryBudget of a fleet', () => {
  it('keeps the limits when all instances restart every few seconds', () => {
    // Guards against restarted instances that get their allowance once more.
    for (const instanceCount of [2, 5, 10, 31]) {
      for (const restartEveryMs of [500, 1_000, 3_000]) {
        const phase = createPhase({restarts: 'together', restartEveryMs});
        expectWithinLimits(createPlay({instanceCount, phases: [phase]}));
      }
    }
  });

  it('keeps the limits when retries come at both ends of a window', () => {
    // Guards against buckets that expire before the window has passed.
    const calm = createPhase({durationMs: 9_100, retriesPerRequest: 0});
    const burst = createPhase({durationMs: 100, requestsPerStep: 60});
    // The first retries are at a different place of their bucket in each play.
    for (let leadMs = 0; leadMs < 1_000; leadMs += 93) {
      const lead = createPhase({durationMs: leadMs, requestsPerStep: 0});
      expectWithinLimits(
        createPlay({
          instanceCount: 10,
          limits: {...limits, retryShare: 0},
          phases: [lead, calm, calm, burst, calm, burst, calm],
        }),
      );
    }
  });

  it('keeps the limits when the load moves to another instance', () => {
    // Guards against requests of two windows that count for retries of one.
    const calm = {retriesPerRequest: 0, requestsPerStep: 60};
    const failing = {retriesPerRequest: 3, requestsPerStep: 60};
    expectWithinLimits(
      createPlay({
        phases: [
          createPhase({...calm, durationMs: 2_000, spread: 'one'}),
          createPhase({durationMs: 7_500, requestsPerStep: 0}),
          createPhase({...failing, durationMs: 500, spread: 'one'}),
          createPhase({durationMs: 1_000, requestsPerStep: 0}),
          createPhase({...calm, durationMs: 2_000, spread: 'another'}),
          createPhase({...failing, durationMs: 500, spread: 'another'}),
          createPhase({durationMs: 10_000, requestsPerStep: 0}),
        ],
      }),
    );
  });

  it('keeps the limits in any play of any fleet', () => {
    // Guards against any other schedule that breaks the rule.
    fc.assert(
      fc.property(anyPlay, play => expectWithinLimits(play)),
      {seed, numRuns: runCount},
    );
  }).timeout(60_000);

  it('allows most of the share to a fleet whose requests keep failing', () => {
    // Guards against limits that hold because nothing is retried.
    const play = createPlay({phases: [createPhase({durationMs: 40_000})]});
    const {requestsAtMs, retriesAtMs} = playFleet(
      play,
      createSharedRetryBudget,
    );
    const share = retriesAtMs.length / requestsAtMs.length;
    expect(share).to.be.above(limits.retryShare / 2);
  });
});
