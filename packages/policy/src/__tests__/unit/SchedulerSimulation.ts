/**
 * Simulation of the holders and upstreams of a shard scheduler. It responds to
 * the scheduler's effects after a delay and checks every effect against the
 * rules of scheduling.
 */
import type {
  AcquireRequest,
  PermitId,
  SchedulerEffect,
  ServiceClass,
  Tier,
  UpstreamId,
  UpstreamInfo,
} from '@toucanrouter/common';
import {toInstanceId, toUpstreamId} from '@toucanrouter/common';
import {expect} from 'chai';
import {
  acquireRequest,
  announcedPermit,
  permitRelease,
  serviceClass,
  setUp,
  upstream,
} from './SchedulerFixtures.js';

export const tickMs = 50;
const responseDelayMs = 20;
// Time beyond the maximum wait in which slots are preempted and granted again.
const handoverAllowanceMs = 2500;
export const parameters = {
  maxQueued: 6,
  overdueGrantInterval: 4,
  overdueShare: 0.8,
  reviewIntervalMs: tickMs,
};
const holders = [toInstanceId('h0'), toInstanceId('h1')];

/** One step of a run; `pick` and `holder` are indexes of existing items. */
export type SimulationStep =
  | {
      readonly kind: 'arrive';
      readonly tier: Tier;
      readonly jobMs: number;
      readonly callerTimeoutMs: number;
      readonly idempotent: boolean;
      readonly holder: number;
      readonly exclude: boolean;
    }
  | {readonly kind: 'wait'; readonly ticks: number}
  | {readonly kind: 'cancel' | 'hedge' | 'repeat'; readonly pick: number}
  | {readonly kind: 'adopt'; readonly tier: Tier; readonly jobMs: number}
  | {readonly kind: 'drop'; readonly holder: number}
  | {readonly kind: 'limits'; readonly limits: readonly number[]}
  | {readonly kind: 'upstreams'; readonly states: readonly string[]}
  | {readonly kind: 'classes'; readonly tiers: readonly Tier[]};

interface WaitingRequest {
  readonly request: AcquireRequest;
  readonly sinceMs: number;
  readonly jobMs: number;
}

interface RunningJob extends WaitingRequest {
  readonly permitId: PermitId;
  readonly upstreamId: UpstreamId;
  readonly endAtMs: number;
  stopAtMs: number | undefined;
}

const key = (request: {requestId: string; attempt: number}): string =>
  `${request.requestId}#${request.attempt}`;

/** Creates a simulation that throws when the scheduler violates a rule. */
export function createSimulation() {
  const {scheduler, tracker} = setUp({parameters, upstreams: []});
  const waiting = new Map<string, WaitingRequest>();
  const running = new Map<PermitId, RunningJob>();
  const granted = new Map<string, PermitId>();
  const grantCountAtOverdue = new Map<string, number>();
  const totals = {granted: 0, refused: 0, preempted: 0, tokens: 0};
  let upstreams: readonly UpstreamInfo[] = [];
  let classes: readonly ServiceClass[] = [];
  let nowMs = 0;
  let nextName = 0;

  const classOf = (request: Pick<AcquireRequest, 'classId'>): ServiceClass =>
    classes.find(entry => entry.id === request.classId)!;
  const tierOf = (item: WaitingRequest): Tier => classOf(item.request).tier;
  const inFlight = (id: UpstreamId): number =>
    [...running.values()].filter(job => job.upstreamId === id).length;
  const freeSlots = (id: UpstreamId, tier: Tier): number =>
    tracker.limit(id, tier, nowMs) - inFlight(id);
  const usable = (item: WaitingRequest): readonly UpstreamId[] =>
    tracker
      .ids()
      .filter(id => tracker.state(id) !== 'leaving')
      .filter(id => !item.request.exclude.includes(id));
  const isSheddable = (item: WaitingRequest): boolean =>
    item.request.resume === undefined && !item.request.hedge;

  function couldDisplace(item: WaitingRequest): boolean {
    const tier = tierOf(item);
    const lower = [...waiting.values()].filter(o => tierOf(o) > tier);
    if (lower.some(isSheddable)) return true;
    return usable(item).some(id => {
      if (tracker.limit(id, tier, nowMs) < 1) return false;
      return [...running.values()].some(
        job =>
          job.upstreamId === id &&
          job.stopAtMs === undefined &&
          job.request.idempotent &&
          tierOf(job) > tier,
      );
    });
  }

  function checkOrder(item: WaitingRequest, upstreamId: UpstreamId): void {
    const passedOver = [...waiting.values()].some(
      other =>
        tierOf(other) < tierOf(item) &&
        other.request.deadlineAtMs > nowMs &&
        usable(other).includes(upstreamId) &&
        freeSlots(upstreamId, tierOf(other)) > 0,
    );
    if (!passedOver) return;
    const {classId} = item.request;
    const {maxWaitMs} = classOf(item.request);
    const overdueAfterMs = maxWaitMs * parameters.overdueShare;
    const isOverdue = nowMs - item.sinceMs >= overdueAfterMs;
    expect(isOverdue, 'grant before a waiting higher tier').to.equal(true);
    const since =
      totals.granted - (grantCountAtOverdue.get(classId) ?? -Infinity);
    expect(since).to.be.at.least(parameters.overdueGrantInterval);
    grantCountAtOverdue.set(classId, totals.granted);
  }

  function onGrant(effect: Extract<SchedulerEffect, {kind: 'grant'}>): void {
    const item = waiting.get(key(effect));
    if (item === undefined) {
      const known = granted.get(key(effect));
      expect(known, 'second grant of an attempt').to.equal(effect.permitId);
      return;
    }
    const {upstreamId, permitId} = effect;
    expect(usable(item), 'grant on an excluded upstream').includes(upstreamId);
    const free = freeSlots(upstreamId, tierOf(item));
    expect(free, 'grant above the limit').to.be.at.least(1);
    expect(item.request.deadlineAtMs).to.be.greaterThan(nowMs);
    waiting.delete(key(effect));
    checkOrder(item, upstreamId);
    totals.granted += 1;
    granted.set(key(effect), permitId);
    startJob({...item, permitId, upstreamId});
  }

  function startJob(item: Omit<RunningJob, 'endAtMs' | 'stopAtMs'>): void {
    const endAtMs = nowMs + item.jobMs;
    running.set(item.permitId, {...item, endAtMs, stopAtMs: undefined});
  }

  function onRefuse(effect: Extract<SchedulerEffect, {kind: 'refuse'}>): void {
    const item = waiting.get(key(effect));
    if (item === undefined) return;
    waiting.delete(key(effect));
    totals.refused += 1;
    expect(effect.retryAfterMs).to.be.greaterThan(0);
    if (effect.error !== 'overloaded' || item.request.hedge) return;
    expect(item.request.resume, 'started job evicted').to.equal(undefined);
    const description = `${effect.requestId} refused, a lower tier could be displaced`;
    expect(couldDisplace(item), description).to.equal(false);
  }

  function onEffect(effect: SchedulerEffect): void {
    if (effect.kind === 'grant') onGrant(effect);
    if (effect.kind === 'refuse') onRefuse(effect);
    if (effect.kind !== 'preempt') return;
    const job = running.get(effect.permitId);
    expect(job?.request.idempotent, 'non-idempotent job preempted').to.equal(
      true,
    );
    if (job === undefined || job.stopAtMs !== undefined) return;
    totals.preempted += 1;
    job.stopAtMs = nowMs + responseDelayMs;
  }

  function apply(effects: readonly SchedulerEffect[]): void {
    effects.forEach(onEffect);
    checkState();
  }

  function checkState(): void {
    const permits = [...tracker.jobs.keys()].sort().join();
    expect(permits, 'permits').to.equal([...running.keys()].sort().join());
    const {counters, queues} = scheduler.snapshot(nowMs);
    expect(counters).to.include(totals);
    const sum = (field: 'queued' | 'running'): number =>
      queues.reduce((total, row) => total + row[field], 0);
    expect(sum('queued'), 'queued').to.equal(waiting.size);
    expect(sum('running'), 'running').to.equal(running.size);
    for (const item of waiting.values()) checkWaiting(item);
  }

  function checkWaiting(item: WaitingRequest): void {
    const {requestId, deadlineAtMs} = item.request;
    const available = usable(item).filter(
      id => freeSlots(id, tierOf(item)) > 0,
    );
    if (deadlineAtMs > nowMs)
      expect(available, `${requestId} idles`).to.deep.equal([]);
    if (nowMs > deadlineAtMs + tickMs) expect.fail(`${requestId} expired`);
    if (!isSheddable(item)) return;
    const boundMs = classOf(item.request).maxWaitMs + handoverAllowanceMs;
    const waitMs = nowMs - item.sinceMs;
    if (waitMs > boundMs) expect.fail(`${requestId} waited ${waitMs} ms`);
  }

  function acquire(request: AcquireRequest, jobMs: number): void {
    waiting.set(key(request), {request, sinceMs: nowMs, jobMs});
    apply(scheduler.acquire(request, nowMs));
  }

  function finish(job: RunningJob): void {
    const isDone = job.endAtMs <= nowMs;
    running.delete(job.permitId);
    totals.tokens += 10;
    const outcome = isDone ? 'completed' : 'preempted';
    apply(scheduler.release(permitRelease(job.permitId, {outcome}), nowMs));
    apply(scheduler.release(permitRelease(job.permitId, {outcome}), nowMs));
    if (isDone || job.request.hedge) return;
    const {upstreamId, request} = job;
    const attempt = request.attempt + 1;
    const resume = {upstreamId, tokens: 10};
    acquire({...request, attempt, resume}, job.endAtMs - nowMs);
  }

  /** Advances until no request is queued or running, at most `ticks` ticks. */
  function drain(ticks: number): void {
    for (let i = 0; i < ticks; i++) {
      if (waiting.size + running.size === 0) return;
      advance(1);
    }
  }

  function advance(ticks: number): void {
    for (let i = 0; i < ticks; i++) {
      nowMs += tickMs;
      for (const job of [...running.values()]) {
        if (Math.min(job.endAtMs, job.stopAtMs ?? Infinity) <= nowMs) {
          finish(job);
        }
      }
      apply(scheduler.tick(nowMs));
    }
  }

  function arrive(step: Extract<SimulationStep, {kind: 'arrive'}>): void {
    const {idempotent, jobMs, callerTimeoutMs, tier} = step;
    const request = acquireRequest(`r${nextName++}`, tier, nowMs, {
      idempotent,
      holder: holders[step.holder],
      deadlineAtMs: nowMs + callerTimeoutMs,
      exclude: step.exclude ? [toUpstreamId('u0')] : [],
    });
    acquire(request, jobMs);
  }

  function adopt(tier: Tier, jobMs: number): void {
    const [info] = upstreams;
    if (info === undefined) return;
    const name = `adopted${nextName++}`;
    const request = acquireRequest(name, tier, nowMs, {holder: holders[0]});
    const permit = announcedPermit(name, tier, info.id, {holder: holders[0]});
    const {permitId, upstreamId} = permit;
    startJob({request, sinceMs: nowMs, jobMs, permitId, upstreamId});
    apply(scheduler.adopt([permit, permit], nowMs));
  }

  function dropHolder(index: number): void {
    const holder = holders[index]!;
    for (const [name, item] of [...waiting]) {
      if (item.request.holder === holder) waiting.delete(name);
    }
    for (const job of [...running.values()]) {
      if (job.request.holder === holder) running.delete(job.permitId);
    }
    apply(scheduler.dropHolder(holder, nowMs));
  }

  function actOnRequest(
    kind: 'cancel' | 'hedge' | 'repeat',
    pick: number,
  ): void {
    const known = [...waiting.values(), ...running.values()];
    const item = known[pick % known.length];
    if (item === undefined) return;
    const {request} = item;
    // Holders of adopted permits do not send another acquire.
    const isAdopted = request.requestId.startsWith('adopted');
    if (kind === 'repeat' && !isAdopted)
      apply(scheduler.acquire(request, nowMs));
    if (kind === 'hedge' && request.idempotent && !request.hedge) {
      const hedge = {...request, attempt: 1000 + nextName++, hedge: true};
      acquire({...hedge, resume: undefined}, item.jobMs);
    }
    if (kind !== 'cancel') return;
    for (const [name, other] of [...waiting]) {
      if (other.request.requestId === request.requestId) waiting.delete(name);
    }
    apply(scheduler.cancel(request.requestId, nowMs));
  }

  function setClasses(tiers: readonly Tier[]): void {
    classes = tiers.map((tier, index) =>
      serviceClass(`t${index + 1}`, tier, {maxWaitMs: 500 * tier}),
    );
    apply(scheduler.setClasses(classes, nowMs));
  }

  function setUpstreams(states: readonly string[]): void {
    upstreams = states.flatMap((state, index) => {
      if (state === 'absent') return [];
      return [upstream(`u${index}`, {leaving: state === 'leaving'})];
    });
    states.forEach((state, index) => {
      const isSuspect = state === 'suspect';
      const id = toUpstreamId(`u${index}`);
      tracker.setState(id, isSuspect ? 'suspect' : 'healthy');
    });
    apply(scheduler.setUpstreams(upstreams, nowMs));
  }

  function setLimits(limits: readonly number[]): void {
    limits.forEach((limit, i) =>
      tracker.setLimit(toUpstreamId(`u${i}`), limit),
    );
    apply(scheduler.setUpstreams(upstreams, nowMs));
  }

  function run(step: SimulationStep): void {
    switch (step.kind) {
      case 'arrive':
        return arrive(step);
      case 'wait':
        return advance(step.ticks);
      case 'adopt':
        return adopt(step.tier, step.jobMs);
      case 'drop':
        return dropHolder(step.holder);
      case 'limits':
        return setLimits(step.limits);
      case 'upstreams':
        return setUpstreams(step.states);
      case 'classes':
        return setClasses(step.tiers);
      default:
        return actOnRequest(step.kind, step.pick);
    }
  }

  setClasses([1, 2, 3, 4]);
  setUpstreams(['healthy', 'healthy', 'healthy']);
  return {
    run,
    drain,
    totals,
    remaining: () => ({waiting: waiting.size, running: running.size}),
  };
}
