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
import type {SimulatedScheduler} from './FifoScheduler.js';
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

/** Runs a scenario to its end. */
export function runScenario(options: RunOptions): RunResult {
  const {workload, scenario, seed} = options;
  const loop = createEventLoop();
  const random = createSeededRandom(seed);
  const groups = options.variant.createGroups(workload, random);
  const incarnations = Array.from({length: workload.engines}, () => 1);
  const engines = new Map(
    incarnations.map((_, index) => [
      engineId(index),
      createFakeEngine(loop, workload.engine),
    ]),
  );
  const entries = new Map<InstanceId, Entry>();
  const live = new Set<Exchange>();
  const byRequest = new Map<string, Exchange>();
  const preempting = new Set<string>();

  function observe(effect: SchedulerEffect): void {
    if (effect.kind === 'preempt') preempting.add(effect.permitId);
    if (effect.kind !== 'refuse') return;
    const exchange = byRequest.get(effect.requestId);
    if (exchange === undefined || exchange.end !== undefined) return;
    if (effect.attempt === exchange.hedgeAskedAttempt) return;
    markRefusal(exchange, live, preempting);
  }

  function deliver(effects: readonly SchedulerEffect[]): void {
    for (const effect of effects) {
      observe(effect);
      loop.after(messageDelayMs, () =>
        entries.get(effect.holder)?.onEffect(effect),
      );
    }
  }

  function send(
    group: ScheduledGroup,
    call: (
      scheduler: SimulatedScheduler,
      nowMs: number,
    ) => readonly SchedulerEffect[],
  ): void {
    loop.after(messageDelayMs, () =>
      deliver(call(group.scheduler, loop.nowMs())),
    );
  }

  function publishUpstreams(): void {
    for (const {scheduler, engines: indexes} of groups) {
      const infos = indexes.map(i => upstreamInfo(i, incarnations[i]!));
      deliver(scheduler.setUpstreams(infos, loop.nowMs()));
    }
  }

  function createEntryOf(group: ScheduledGroup, index: number): Entry {
    const id = toInstanceId(`entry${index}`);
    const entry = createEntry({
      id,
      loop,
      engines,
      send: call => send(group, call),
      isMeasured: nowMs =>
        nowMs >= scenario.warmupMs && nowMs < scenario.durationMs,
    });
    entries.set(id, entry);
    every(loop, progressIntervalMs, entry.reportProgress);
    return entry;
  }

  const entryByIndex = new Map<number, Entry>();
  for (const group of groups) {
    for (const index of group.entries) {
      entryByIndex.set(index, createEntryOf(group, index));
    }
    every(loop, tickIntervalMs, () =>
      deliver(group.scheduler.tick(loop.nowMs())),
    );
  }
  publishUpstreams();
  for (const fault of scenario.faults) {
    applyFault(loop, engines, fault, () => {
      incarnations[fault.engine]! += 1;
      publishUpstreams();
    });
  }
  for (const arrival of drawArrivals(
    workload,
    options.capacity,
    scenario,
    seed,
  )) {
    loop.after(arrival.atMs, () => {
      const exchange = entryByIndex.get(arrival.entry)!.arrive(arrival);
      live.add(exchange);
      byRequest.set(`r${arrival.index}`, exchange);
    });
  }
  every(loop, 1000, () => {
    for (const exchange of live) {
      if (exchange.end !== undefined) live.delete(exchange);
    }
  });
  loop.run(scenario.durationMs);
  drain(loop, scenario.durationMs, live);
  return {exchanges: [...byRequest.values()]};
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
