import type {RandomSource} from '@toucanrouter/common';
import {createSeededRandom} from '@toucanrouter/common';
import {expect} from 'chai';
import fc from 'fast-check';
import type {EngineModel} from '../../upstreams/EngineModel.js';
import {
  createEngineModel,
  initialEstimates,
} from '../../upstreams/EngineModel.js';

/** The true properties of simulated engines. */
interface TrueSpeed {
  readonly baseMs: number;
  readonly prefillMsPerToken: number;
}

/** Largest error of learned estimates, as a share of the true value. */
const maxLearnedError = 0.35;
/** Error of the base time that does not matter for any target latency. */
const negligibleBaseErrorMs = 15;

const slowMomentShare = 0.15;
const slowMomentFactor = 2.5;
/** Share of requests that queue behind one that the instance did not see. */
const unnoticedQueueShare = 0.2;

function drawPromptTokens(random: RandomSource): number {
  return Math.round(100 * 2 ** (random.next() * 6));
}

/** Observes engines that are slow for moments, and have unnoticed queues. */
function observeMany(
  model: EngineModel,
  speed: TrueSpeed,
  count: number,
  random: RandomSource,
): void {
  const prefillMs = (tokens: number) => tokens * speed.prefillMsPerToken;
  for (let index = 0; index < count; index++) {
    const prefilledTokens = drawPromptTokens(random);
    const queuedTokens =
      random.next() < unnoticedQueueShare ? drawPromptTokens(random) : 0;
    const factor = random.next() < slowMomentShare ? slowMomentFactor : 1;
    const undisturbedMs =
      speed.baseMs + prefillMs(prefilledTokens) + prefillMs(queuedTokens);
    const observedMs = undisturbedMs * factor;
    model.observeFirstEvent({prefilledTokens, observedMs});
  }
}

const speeds = fc.record({
  baseMs: fc.double({min: 5, max: 150, noNaN: true}),
  prefillMsPerToken: fc.double({min: 0.002, max: 0.2, noNaN: true}),
});

describe('EngineModel', () => {
  it('learns engines of any speed despite slow moments and unnoticed queues', () => {
    fc.assert(
      fc.property(speeds, fc.integer(), (speed, seed) => {
        const model = createEngineModel();
        observeMany(model, speed, 200, createSeededRandom(seed));
        const longMs = speed.prefillMsPerToken * 6_000;
        expect(model.prefillMs(6_000)).to.be.within(
          longMs * (1 - maxLearnedError),
          longMs * (1 + maxLearnedError),
        );
        const firstMs = speed.baseMs + speed.prefillMsPerToken * 500;
        const tolerance = firstMs * maxLearnedError + negligibleBaseErrorMs;
        expect(model.firstEventMs(500)).to.be.within(
          firstMs - tolerance,
          firstMs + tolerance,
        );
      }),
      {numRuns: 50, seed: 1},
    );
  });

  it('replaces the initial estimates within the first tens of responses', () => {
    // Load: a burst right after the start, on engines far from the initial speed.
    const model = createEngineModel();
    const speed = {baseMs: 20, prefillMsPerToken: 0.1};
    observeMany(model, speed, 40, createSeededRandom(3));
    expect(model.prefillMs(1_000)).to.be.within(65, 135);
  });

  it('follows engines that all become slower', () => {
    const model = createEngineModel();
    const random = createSeededRandom(4);
    observeMany(model, {baseMs: 20, prefillMsPerToken: 0.01}, 300, random);
    observeMany(model, {baseMs: 20, prefillMsPerToken: 0.05}, 300, random);
    expect(model.prefillMs(1_000)).to.be.within(32, 68);
  });

  it('keeps the initial estimates before any observation', () => {
    const model = createEngineModel();
    expect(model.prefillMs(1_000)).to.equal(
      1_000 * initialEstimates.prefillMsPerToken,
    );
    expect(model.estimates().observations).to.equal(0);
  });

  it('estimates calls without a prompt', () => {
    const model = createEngineModel();
    for (let index = 0; index < 40; index++) {
      model.observeFirstEvent({prefilledTokens: 0, observedMs: 30});
    }
    expect(model.firstEventMs(0)).to.be.within(25, 35);
  });

  it('takes the estimates of peers at the start and their median later', () => {
    const peer = {baseMs: 30, prefillMsPerToken: 0.05, observations: 50};
    let peers = [peer];
    const model = createEngineModel({peerEstimates: () => peers});
    expect(model.prefillMs(1_000)).to.equal(50);
    const misled = {...peer, prefillMsPerToken: 0.4};
    peers = [peer, peer, misled];
    expect(model.prefillMs(1_000)).to.equal(50);
    const unsure = {...misled, observations: 3};
    peers = [peer, unsure, unsure];
    expect(model.prefillMs(1_000)).to.equal(50);
  });

  it('learns the event gap of an engine with little load', () => {
    const model = createEngineModel();
    for (let index = 0; index < 2_000; index++) {
      model.observeEventGap(index % 4 === 0 ? 300 : 12);
    }
    expect(model.idleEventGapMs()).to.be.below(50);
  });

  // Guards against one caller whose wrong counts change the estimates for all.
  it('ignores sizes of prompts that cannot be true', () => {
    const speed = {baseMs: 80, prefillMsPerToken: 0.05};
    const model = createEngineModel();
    observeMany(model, speed, 200, createSeededRandom(1));
    const before = {
      small: model.firstEventMs(300),
      large: model.firstEventMs(6_000),
    };
    for (let index = 0; index < 100; index++) {
      model.observeFirstEvent({prefilledTokens: 10_000_000, observedMs: 90});
    }
    expect(model.firstEventMs(300)).to.be.closeTo(before.small, 1);
    expect(model.firstEventMs(6_000)).to.be.closeTo(before.large, 1);
  });
});
