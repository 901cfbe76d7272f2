import {createSeededRandom} from '@toucanrouter/common';
import {expect} from 'chai';
import {createEventLoop} from '../../EventLoop.js';
import type {EngineRequest} from '../../placement/EngineSimulator.js';
import {createEngineSimulator} from '../../placement/EngineSimulator.js';
import {meanWorth, worthOf} from '../../placement/FleetReport.js';
import {fleetScenarios} from '../../placement/FleetScenarios.js';
import type {FleetScenario} from '../../placement/FleetSimulation.js';
import {runFleet} from '../../placement/FleetSimulation.js';
import {knowledgeVariants} from '../../placement/KnowledgeVariants.js';

/** Target of the deployment with this load pattern, on days with trouble. */
const targetWorth = 0.75;

function scenarioOf(name: string): FleetScenario {
  const scenario = fleetScenarios.find(item => item.name === name);
  if (scenario === undefined) throw new Error(`no scenario ${name}`);
  return scenario;
}

const reviewBursts = scenarioOf('reviews-small');

function worthOfVariant(name: string, seeds: readonly number[]): number {
  const variant = knowledgeVariants.find(item => item.name === name)?.variant;
  if (variant === undefined) throw new Error(`no variant ${name}`);
  return meanWorth(
    seeds.map(seed => worthOf(runFleet(reviewBursts, seed, variant))),
  ).mean;
}

describe('FleetSimulation', () => {
  it('gives the same result for the same seed', () => {
    const scenario = {
      ...reviewBursts,
      workload: {...reviewBursts.workload, durationMs: 3_000},
    };
    const [first, second] = [runFleet(scenario, 5), runFleet(scenario, 5)];
    expect(first.records).to.deep.equal(second.records);
  });

  it('reaches the target in bursts of long reviews on cold caches beside chats', () => {
    expect(worthOfVariant('design', [1, 2])).to.be.above(targetWorth);
  });

  it('serves more when instances report long prompts soon', () => {
    const seeds = [1, 2];
    expect(worthOfVariant('design', seeds)).to.be.above(
      worthOfVariant('regular reports only', seeds),
    );
  });
});

describe('EngineSimulator', () => {
  const {shape} = reviewBursts;

  function createEngine() {
    const loop = createEventLoop();
    const random = createSeededRandom(1);
    return {loop, engine: createEngineSimulator(loop, shape, random)};
  }

  function createRequest(changes: Partial<EngineRequest> = {}): EngineRequest {
    return {
      segments: [
        ['shared', 4_000],
        ['own', 1_000],
      ],
      outputTokens: shape.tokensPerEvent * 2,
      priority: 0,
      onEvent: () => undefined,
      onEnd: () => undefined,
      onFailed: () => undefined,
      ...changes,
    };
  }

  it('prefills a shared prefix once', () => {
    const {engine, loop} = createEngine();
    engine.submit(createRequest());
    loop.run(1_000);
    engine.submit(createRequest());
    loop.run(2_000);
    expect(engine.prefilledTokens).to.equal(5_000);
    expect(engine.cachedTokens).to.equal(5_000);
  });

  it('rejects requests beyond its slots and queue', () => {
    const {engine} = createEngine();
    const limit = shape.slots + shape.queueLimit;
    const accepted = Array.from({length: limit + 5}, () =>
      engine.submit(createRequest()),
    ).filter(cancel => cancel !== undefined);
    expect(accepted.length).to.be.at.most(limit);
  });

  it('fails its requests when it crashes, and rejects others until it is back', () => {
    const {engine, loop} = createEngine();
    let failures = 0;
    engine.submit(createRequest({onFailed: () => (failures += 1)}));
    loop.run(10);
    engine.crash(1_000);
    expect(failures).to.equal(1);
    expect(engine.submit(createRequest())).to.equal(undefined);
    loop.run(1_100);
    expect(engine.submit(createRequest())).not.to.equal(undefined);
  });

  it('sends no further events of a canceled request', () => {
    const {engine, loop} = createEngine();
    let events = 0;
    const cancel = engine.submit(createRequest({onEvent: () => (events += 1)}));
    cancel?.();
    loop.run(5_000);
    expect(events).to.equal(0);
  });
});
