/**
 * Instances of the gateway and simulated engines in virtual time. The instances
 * decide with the gateway's own placement code and exchange encoded load reports,
 * which take a moment to arrive; no network is involved.
 */
import type {
  Clock,
  RandomSource,
  ServiceName,
  UpstreamId,
} from '@toucanrouter/common';
import {
  createSeededRandom,
  toServiceName,
  toUpstreamId,
} from '@toucanrouter/common';
import type {
  PlacementContext,
  ReportSchedule,
  UpstreamEntry,
  UpstreamKnowledge,
} from '@toucanrouter/gateway';
import {
  createReportSchedule,
  createUpstreamKnowledge,
  decodeReport,
  encodeReport,
  shortIdOf,
  unlimitedPlacement,
} from '@toucanrouter/gateway';
import type {EventLoop} from '../EventLoop.js';
import {createEventLoop} from '../EventLoop.js';
import type {EngineShape, EngineSimulator} from './EngineSimulator.js';
import {createEngineSimulator} from './EngineSimulator.js';
import type {PromptWorkload} from './PromptWorkload.js';
import {drawPromptArrivals} from './PromptWorkload.js';
import type {RequestRecord} from './SimulatedRequest.js';
import {createRecord, serveArrival} from './SimulatedRequest.js';

/** A moment at which a share of the engines crashes. */
export interface Crash {
  readonly atMs: number;
  readonly durationMs: number;
  readonly engineShare: number;
}

/** Changes what an instance knows, to compare designs. */
export type KnowledgeVariant = (
  instance: SimulatedInstance,
) => SimulatedInstance;

/** A fleet and what happens to it. */
export interface FleetScenario {
  readonly name: string;
  /** The load pattern, in a few words. */
  readonly pattern: string;
  readonly workload: PromptWorkload;
  readonly engineCount: number;
  readonly failureDomains: number;
  readonly shape: EngineShape;
  readonly crashes: readonly Crash[];
}

/** An instance of the simulation. */
export interface SimulatedInstance {
  readonly context: PlacementContext;
  readonly knowledge: UpstreamKnowledge;
}

/** The state that all parts of one run share. */
export interface SimulatedFleet {
  readonly loop: EventLoop;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly service: ServiceName;
  readonly shape: EngineShape;
  readonly leastUrgentTier: number;
  readonly instances: readonly SimulatedInstance[];
  readonly engines: ReadonlyMap<UpstreamId, EngineSimulator>;
}

/** The outcome of a run. */
export interface FleetResult {
  readonly records: readonly RequestRecord[];
  readonly instances: readonly SimulatedInstance[];
  readonly engines: readonly EngineSimulator[];
}

/** One-way delay between instances, and between instances and engines. */
export const networkDelayMs = 1;
const service = toServiceName('models');
/** Requests that arrived last end within this time. */
const drainMs = 15_000;
/** Keeps the random choices of a run apart from its arrivals. */
const choiceSeedOffset = 77;

/** Creates a clock of the virtual time; nothing in a run repeats by `every`. */
function createLoopClock(loop: EventLoop): Clock {
  return {
    nowMs: loop.nowMs,
    wallMs: loop.nowMs,
    after: (delayMs, run) => {
      let canceled = false;
      loop.after(delayMs, () => {
        if (!canceled) run();
      });
      return () => {
        canceled = true;
      };
    },
    every: () => {
      throw new Error('the simulation has no recurring timers');
    },
  };
}

function createEntries(scenario: FleetScenario): readonly UpstreamEntry[] {
  return Array.from({length: scenario.engineCount}, (_, index) => ({
    id: toUpstreamId(`engine-${index}`),
    service,
    host: '127.0.0.1',
    port: index,
    failureDomain: `domain-${index % scenario.failureDomains}`,
    slots: scenario.shape.slots,
    leaving: false,
    startedAtMs: undefined,
    softwareVersion: undefined,
  }));
}

function createInstances(
  scenario: FleetScenario,
  variant: KnowledgeVariant,
  loop: EventLoop,
  clock: Clock,
  random: RandomSource,
): readonly SimulatedInstance[] {
  const entries = createEntries(scenario);
  const {instances: count} = scenario.workload;
  const all: SimulatedInstance[] = [];

  function createInstance(index: number): SimulatedInstance {
    const selfId = shortIdOf(`instance-${index}`);
    const knowledge = createUpstreamKnowledge({clock, selfId});
    let sequence = 0;
    const schedule: ReportSchedule = createReportSchedule({
      clock,
      peerCount: () => count - 1,
      send: () => {
        sequence += 1;
        const datagram = encodeReport({
          instanceId: selfId,
          startedAtMs: 0,
          sequence,
          ...knowledge.takeReport(),
        });
        loop.after(networkDelayMs, () => {
          const report = decodeReport(datagram);
          if (report === undefined) throw new Error('a report is not valid');
          for (const peer of all) {
            if (peer.context !== context) {
              peer.knowledge.receiveReport(report);
            }
          }
        });
      },
    });
    schedule.start();
    const context: PlacementContext = {
      clock,
      random,
      knowledge,
      failureDomain: `domain-${index % scenario.failureDomains}`,
      registry: {usable: () => entries},
      upstreamNotices: {pauseRemainingMs: () => 0},
      upstreamRates: unlimitedPlacement,
      reportSoon: schedule.reportSoon,
    };
    return variant({context, knowledge});
  }

  for (let index = 0; index < count; index++) all.push(createInstance(index));
  return all;
}

/** Plays a scenario; the same seed gives the same result. */
export function runFleet(
  scenario: FleetScenario,
  seed: number,
  variant: KnowledgeVariant = instance => instance,
): FleetResult {
  const loop = createEventLoop();
  const clock = createLoopClock(loop);
  const random = createSeededRandom(seed + choiceSeedOffset);
  const engines = new Map(
    createEntries(scenario).map(({id}) => [
      id,
      createEngineSimulator(loop, scenario.shape, random),
    ]),
  );
  const fleet: SimulatedFleet = {
    loop,
    clock,
    random,
    service,
    shape: scenario.shape,
    leastUrgentTier: Math.max(
      ...scenario.workload.classes.map(({tier}) => tier),
    ),
    instances: createInstances(scenario, variant, loop, clock, random),
    engines,
  };
  for (const {atMs, durationMs, engineShare} of scenario.crashes) {
    loop.after(atMs, () => {
      for (const engine of engines.values()) {
        if (random.next() < engineShare) engine.crash(durationMs);
      }
    });
  }
  const records = drawPromptArrivals(scenario.workload, seed).map(arrival => {
    const record = createRecord(arrival);
    loop.after(arrival.atMs, () => serveArrival(fleet, record));
    return record;
  });
  loop.run(scenario.workload.durationMs + drainMs);
  return {
    records,
    instances: fleet.instances,
    engines: [...engines.values()],
  };
}
