/**
 * Runs one scenario of a deployment under one variant, in virtual time.
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

/** What a run is made of. */
export interface RunOptions {
  readonly workload: Workload;
  readonly capacity: Capacity;
  readonly scenario: Scenario;
  readonly variant: Variant;
  readonly seed: number;
}

/** What a run produced. */
export interface RunResult {
  readonly exchanges: readonly Exchange[];
}

/** One-way delay between instances. */
const messageDelayMs = 1;
const progressIntervalMs = 100;
const tickIntervalMs = 50;
const forgetIntervalMs = 1000;

/** Time after the last arrival for requests to end. */
const drainMs = 400_000;

/** The instance list shows a restarted engine this late. */
const listLagMs = 3000;

function upstreamInfo(index: number, incarnation: number): UpstreamInfo {
  return {
    id: engineId(index),
    kind: 'engine',
    serves: 'model',
    address: `engine${index}`,
    region: 'region',
    failureDomain: `domain${index % 4}`,
    incarnation,
    leaving: false,
  };
}

/** Calls `run` at an interval until arrivals and drain are over. */
function every(loop: EventLoop, intervalMs: number, run: () => void): void {
  loop.after(intervalMs, () => {
    run();
    every(loop, intervalMs, run);
  });
}

function applyFault(
  loop: EventLoop,
  engines: ReadonlyMap<UpstreamId, FakeEngine>,
  fault: EngineFault,
  onRestart: () => void,
): void {
  const engine = engines.get(engineId(fault.engine))!;
  const isCrash = fault.kind === 'crash';
  loop.after(fault.fromMs, () => {
    if (isCrash) engine.crash();
    else engine.slowDown(fault.factor);
  });
  loop.after(fault.toMs, () => {
    if (isCrash) engine.restart();
    else engine.slowDown(1);
    if (isCrash) loop.after(listLagMs, onRestart);
  });
}

/** Marks refusals that happen while work of a lower tier could be displaced. */
function markRefusal(
  refused: Exchange,
  exchanges: Iterable<Exchange>,
  pendingPreemptions: ReadonlySet<string>,
): void {
  for (const other of exchanges) {
    if (other.end !== undefined) continue;
    if (other.arrival.spec.tier <= refused.arrival.spec.tier) continue;
    const runs = [...other.attempts.keys()].some(
      id => !pendingPreemptions.has(id),
    );
    if (!runs) continue;
    refused.refusedByTier = true;
    return;
  }
}

/** The processes of a run and what is known about their requests. */
interface Run {
  readonly options: RunOptions;
  readonly loop: EventLoop;
  readonly groups: readonly ScheduledGroup[];
  readonly engines: ReadonlyMap<UpstreamId, FakeEngine>;
  readonly incarnations: number[];
  readonly entries: Map<InstanceId, Entry>;
  /** Requests that may still be in progress. */
  readonly live: Set<Exchange>;
  readonly byRequest: Map<string, Exchange>;
  /** Permits whose holders were told to give them up. */
  readonly preempting: Set<string>;
}

function createRun(options: RunOptions): Run {
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
    live: new Set(),
    byRequest: new Map(),
    preempting: new Set(),
  };
}

function observe(run: Run, effect: SchedulerEffect): void {
  if (effect.kind === 'preempt') run.preempting.add(effect.permitId);
  if (effect.kind !== 'refuse') return;
  const exchange = run.byRequest.get(effect.requestId);
  if (exchange === undefined || exchange.end !== undefined) return;
  if (effect.attempt === exchange.hedgeAskedAttempt) return;
  markRefusal(exchange, run.live, run.preempting);
}

function deliver(run: Run, effects: readonly SchedulerEffect[]): void {
  for (const effect of effects) {
    observe(run, effect);
    run.loop.after(messageDelayMs, () =>
      run.entries.get(effect.holder)?.onEffect(effect),
    );
  }
}

function publishUpstreams(run: Run): void {
  for (const {scheduler, engines} of run.groups) {
    const infos = engines.map(i => upstreamInfo(i, run.incarnations[i]!));
    deliver(run, scheduler.setUpstreams(infos, run.loop.nowMs()));
  }
}

function entryId(index: number): InstanceId {
  return toInstanceId(`entry${index}`);
}

function addEntry(run: Run, group: ScheduledGroup, index: number): void {
  const {loop, engines, options} = run;
  const {warmupMs, durationMs} = options.scenario;
  const id = entryId(index);
  const entry = createEntry({
    id,
    loop,
    engines,
    send: call =>
      loop.after(messageDelayMs, () =>
        deliver(run, call(group.scheduler, loop.nowMs())),
      ),
    isMeasured: nowMs => nowMs >= warmupMs && nowMs < durationMs,
  });
  run.entries.set(id, entry);
  every(loop, progressIntervalMs, entry.reportProgress);
}

function addGroup(run: Run, group: ScheduledGroup): void {
  for (const index of group.entries) addEntry(run, group, index);
  every(run.loop, tickIntervalMs, () =>
    deliver(run, group.scheduler.tick(run.loop.nowMs())),
  );
}

function addFaults(run: Run): void {
  for (const fault of run.options.scenario.faults) {
    applyFault(run.loop, run.engines, fault, () => {
      run.incarnations[fault.engine]! += 1;
      publishUpstreams(run);
    });
  }
}

function addArrivals(run: Run): void {
  const {workload, capacity, scenario, seed} = run.options;
  for (const arrival of drawArrivals(workload, capacity, scenario, seed)) {
    run.loop.after(arrival.atMs, () => {
      const entry = run.entries.get(entryId(arrival.entry))!;
      const exchange = entry.arrive(arrival);
      run.live.add(exchange);
      run.byRequest.set(`r${arrival.index}`, exchange);
    });
  }
}

function forgetEnded(live: Set<Exchange>): void {
  for (const exchange of live) {
    if (exchange.end !== undefined) live.delete(exchange);
  }
}

/** Runs a scenario to its end. */
export function runScenario(options: RunOptions): RunResult {
  const run = createRun(options);
  const {durationMs} = options.scenario;
  for (const group of run.groups) addGroup(run, group);
  publishUpstreams(run);
  addFaults(run);
  addArrivals(run);
  every(run.loop, forgetIntervalMs, () => forgetEnded(run.live));
  run.loop.run(durationMs);
  drain(run.loop, durationMs, run.live);
  return {exchanges: [...run.byRequest.values()]};
}

function drain(
  loop: EventLoop,
  fromMs: number,
  live: ReadonlySet<Exchange>,
): void {
  const stepMs = 1000;
  for (
    let untilMs = fromMs + stepMs;
    untilMs <= fromMs + drainMs && live.size > 0;
    untilMs += stepMs
  ) {
    loop.run(untilMs);
  }
}
