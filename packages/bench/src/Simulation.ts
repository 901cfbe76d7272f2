/**
 * Simulates one scenario of a deployment under one scheduling variant, in
 * virtual time.
 */
import type {
  InstanceId,
  SchedulerEffect,
  UpstreamId,
  UpstreamInfo,
} from '@toucanrouter/common';
import {createSeededRandom, toInstanceId} from '@toucanrouter/common';
import {drawArrivals} from './Arrivals.js';
import type {Capacity} from './Capacity.js';
import type {Entry} from './Entry.js';
import {createEntry, engineId} from './Entry.js';
import type {EventLoop} from './EventLoop.js';
import {createEventLoop} from './EventLoop.js';
import type {Exchange} from './Exchange.js';
import type {FakeEngine} from './FakeEngine.js';
import {createFakeEngine} from './FakeEngine.js';
import type {EngineFault, Scenario} from './Scenarios.js';
import type {ScheduledGroup, Variant} from './Variants.js';
import type {Workload} from './Workload.js';

/** Options of a simulation run. */
export interface RunOptions {
  readonly workload: Workload;
  readonly capacity: Capacity;
  readonly scenario: Scenario;
  readonly variant: Variant;
  readonly seed: number;
}

/** Result of a simulation run. */
export interface RunResult {
  readonly exchanges: readonly Exchange[];
}

/** One-way delay between instances. */
const messageDelayMs = 1;
const progressIntervalMs = 100;
const tickIntervalMs = 50;
const cleanupIntervalMs = 1000;

/** Maximum time after the last arrival for requests to complete. */
const maxDrainMs = 400_000;

/** Delay until the instance list shows a restarted engine. */
const instanceListLagMs = 3000;

function upstreamInfo(index: number, incarnation: number): UpstreamInfo {
  return {
    id: engineId(index),
    kind: 'engine',
    serves: 'model',
    address: `engine${index}`,
    region: 'region',
    failureDomain: `domain${index % 4}`,
    incarnation,
    softwareVersion: undefined,
    leaving: false,
  };
}

/** Calls `run` at a fixed interval as long as the loop runs. */
function repeatEvery(
  loop: EventLoop,
  intervalMs: number,
  run: () => void,
): void {
  loop.after(intervalMs, () => {
    run();
    repeatEvery(loop, intervalMs, run);
  });
}

function scheduleFault(
  loop: EventLoop,
  engines: ReadonlyMap<UpstreamId, FakeEngine>,
  fault: EngineFault,
  onRestart: () => void,
): void {
  const engine = engines.get(engineId(fault.engine))!;
  const isCrash = fault.kind === 'crash';
  loop.after(fault.fromMs, () => {
    if (isCrash) engine.crash();
    else engine.slowDown(fault.slowdownFactor);
  });
  loop.after(fault.toMs, () => {
    if (isCrash) engine.restart();
    else engine.slowDown(1);
    if (isCrash) loop.after(instanceListLagMs, onRestart);
  });
}

/** Marks a refusal if lower-tier work could have been preempted instead. */
function markAvoidableRefusal(
  refused: Exchange,
  exchanges: Iterable<Exchange>,
  preemptedPermits: ReadonlySet<string>,
): void {
  for (const other of exchanges) {
    if (other.outcome !== undefined) continue;
    if (other.arrival.spec.tier <= refused.arrival.spec.tier) continue;
    const holdsPermit = [...other.attempts.keys()].some(
      id => !preemptedPermits.has(id),
    );
    if (!holdsPermit) continue;
    refused.refusedAboveLowerTier = true;
    return;
  }
}

/** State of a simulation run. */
interface SimulationRun {
  readonly options: RunOptions;
  readonly loop: EventLoop;
  readonly groups: readonly ScheduledGroup[];
  readonly engines: ReadonlyMap<UpstreamId, FakeEngine>;
  readonly incarnations: number[];
  readonly entries: Map<InstanceId, Entry>;
  /** Requests in progress; completed ones are removed periodically. */
  readonly activeExchanges: Set<Exchange>;
  readonly exchangesByRequest: Map<string, Exchange>;
  /** Permits that the scheduler has preempted. */
  readonly preemptedPermits: Set<string>;
}

function createRun(options: RunOptions): SimulationRun {
  const {workload} = options;
  const loop = createEventLoop();
  const random = createSeededRandom(options.seed);
  const incarnations = Array.from({length: workload.engines}, () => 1);
  const engines = incarnations.map(
    (_, index) =>
      [engineId(index), createFakeEngine(loop, workload.engine)] as const,
  );
  return {
    options,
    loop,
    groups: options.variant.createGroups(workload, random),
    engines: new Map(engines),
    incarnations,
    entries: new Map(),
    activeExchanges: new Set(),
    exchangesByRequest: new Map(),
    preemptedPermits: new Set(),
  };
}

function recordEffect(run: SimulationRun, effect: SchedulerEffect): void {
  if (effect.kind === 'preempt') run.preemptedPermits.add(effect.permitId);
  if (effect.kind !== 'refuse') return;
  const exchange = run.exchangesByRequest.get(effect.requestId);
  if (exchange === undefined || exchange.outcome !== undefined) return;
  if (effect.attempt === exchange.hedgeAttempt) return;
  markAvoidableRefusal(exchange, run.activeExchanges, run.preemptedPermits);
}

function deliverEffects(
  run: SimulationRun,
  effects: readonly SchedulerEffect[],
): void {
  for (const effect of effects) {
    recordEffect(run, effect);
    run.loop.after(messageDelayMs, () =>
      run.entries.get(effect.holder)?.onEffect(effect),
    );
  }
}

function publishUpstreams(run: SimulationRun): void {
  for (const {scheduler, engines} of run.groups) {
    const infos = engines.map(i => upstreamInfo(i, run.incarnations[i]!));
    deliverEffects(run, scheduler.setUpstreams(infos, run.loop.nowMs()));
  }
}

function entryId(index: number): InstanceId {
  return toInstanceId(`entry${index}`);
}

function addEntry(
  run: SimulationRun,
  group: ScheduledGroup,
  index: number,
): void {
  const {loop, engines, options} = run;
  const {warmupMs, durationMs} = options.scenario;
  const id = entryId(index);
  const entry = createEntry({
    id,
    loop,
    engines,
    send: call =>
      loop.after(messageDelayMs, () =>
        deliverEffects(run, call(group.scheduler, loop.nowMs())),
      ),
    isMeasured: nowMs => nowMs >= warmupMs && nowMs < durationMs,
  });
  run.entries.set(id, entry);
  repeatEvery(loop, progressIntervalMs, entry.reportProgress);
}

function addGroup(run: SimulationRun, group: ScheduledGroup): void {
  for (const index of group.entries) addEntry(run, group, index);
  repeatEvery(run.loop, tickIntervalMs, () =>
    deliverEffects(run, group.scheduler.tick(run.loop.nowMs())),
  );
}

function scheduleFaults(run: SimulationRun): void {
  for (const fault of run.options.scenario.faults) {
    scheduleFault(run.loop, run.engines, fault, () => {
      run.incarnations[fault.engine]! += 1;
      publishUpstreams(run);
    });
  }
}

function scheduleArrivals(run: SimulationRun): void {
  const {workload, capacity, scenario, seed} = run.options;
  for (const arrival of drawArrivals(workload, capacity, scenario, seed)) {
    run.loop.after(arrival.atMs, () => {
      const entry = run.entries.get(entryId(arrival.entry))!;
      const exchange = entry.handleArrival(arrival);
      run.activeExchanges.add(exchange);
      run.exchangesByRequest.set(`r${arrival.index}`, exchange);
    });
  }
}

function removeCompleted(activeExchanges: Set<Exchange>): void {
  for (const exchange of activeExchanges) {
    if (exchange.outcome !== undefined) activeExchanges.delete(exchange);
  }
}

/** Runs a scenario until all requests have completed or the drain times out. */
export function runScenario(options: RunOptions): RunResult {
  const run = createRun(options);
  const {durationMs} = options.scenario;
  for (const group of run.groups) addGroup(run, group);
  publishUpstreams(run);
  scheduleFaults(run);
  scheduleArrivals(run);
  repeatEvery(run.loop, cleanupIntervalMs, () =>
    removeCompleted(run.activeExchanges),
  );
  run.loop.run(durationMs);
  drainExchanges(run.loop, durationMs, run.activeExchanges);
  return {exchanges: [...run.exchangesByRequest.values()]};
}

function drainExchanges(
  loop: EventLoop,
  fromMs: number,
  activeExchanges: ReadonlySet<Exchange>,
): void {
  const drainStepMs = 1000;
  for (
    let untilMs = fromMs + drainStepMs;
    untilMs <= fromMs + maxDrainMs && activeExchanges.size > 0;
    untilMs += drainStepMs
  ) {
    loop.run(untilMs);
  }
}
