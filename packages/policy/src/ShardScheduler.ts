/**
 * The shard scheduler: a state machine that assigns queued requests to
 * upstreams. It starts no timer and reads no clock; each call takes the current
 * time and returns the messages to send to the holders of the requests.
 */
import type {
  AcquireRequest,
  AnnouncedPermit,
  InstanceId,
  PermitRelease,
  ProgressSample,
  RequestId,
  SchedulerEffect,
  ServiceClass,
  ShardSnapshot,
  UpstreamInfo,
} from '@toucanrouter/common';
import {availableUpstreams, liveUpstreams} from './Placement.js';
import type {RateStatement} from './rates/RateStatements.js';
import {attemptKey} from './Queue.js';
import {dispatch} from './SchedulerDispatch.js';
import {
  adoptPermit,
  chargeRunning,
  emitGrant,
  endJob,
} from './SchedulerJobs.js';
import {isLong} from './SchedulerLongJobs.js';
import {limitQueue, resolveUrgent, shedEarly} from './SchedulerOverload.js';
import {resendPreemptions} from './SchedulerPreemption.js';
import type {UpstreamRateLimit} from './SchedulerRates.js';
import {refuse, refuseExpired, refuseUnplaceable} from './SchedulerRefusal.js';
import {takeSnapshot} from './SchedulerSnapshot.js';
import type {SchedulerState, ShardSchedulerOptions} from './SchedulerState.js';
import {
  createSchedulerState,
  expectedSlotMs,
  jobsOf,
  tierOf,
} from './SchedulerState.js';
import {notifySuspects} from './SchedulerSuspects.js';
import {preemptForTargets} from './SchedulerTargets.js';
import type {QueuedRequest, RunningJob} from './SchedulerTypes.js';

/** Schedules the upstreams of one shard. */
export interface ShardScheduler {
  /** Queues an attempt, or sends the response to a known attempt again. */
  acquire(request: AcquireRequest, nowMs: number): readonly SchedulerEffect[];
  /** Removes the queued attempts of a request; running jobs are unaffected. */
  cancel(requestId: RequestId, nowMs: number): readonly SchedulerEffect[];
  progress(
    samples: readonly ProgressSample[],
    nowMs: number,
  ): readonly SchedulerEffect[];
  release(release: PermitRelease, nowMs: number): readonly SchedulerEffect[];
  /** Adds permits that another scheduler granted and their holders announced. */
  adopt(
    permits: readonly AnnouncedPermit[],
    nowMs: number,
  ): readonly SchedulerEffect[];
  /** Records the request rates that upstreams stated to an instance. */
  receiveRates(
    from: InstanceId,
    statements: readonly RateStatement[],
    nowMs: number,
  ): readonly SchedulerEffect[];
  setUpstreams(
    upstreams: readonly UpstreamInfo[],
    nowMs: number,
  ): readonly SchedulerEffect[];
  setClasses(
    classes: readonly ServiceClass[],
    nowMs: number,
  ): readonly SchedulerEffect[];
  /** Removes the queued requests and the permits of a lost holder. */
  dropHolder(holder: InstanceId, nowMs: number): readonly SchedulerEffect[];
  /** Handles everything that is due at a point in time. */
  tick(nowMs: number): readonly SchedulerEffect[];
  snapshot(nowMs: number): ShardSnapshot;
  rateStatus(nowMs: number): RateStatus;
}

/** The request rates that a scheduler keeps. */
export interface RateStatus {
  readonly limits: readonly UpstreamRateLimit[];
  /** Requests that waited because a rate was used up. */
  readonly heldBackCount: number;
}

/** Creates a scheduler without upstreams and classes. */
export function createShardScheduler(
  options: ShardSchedulerOptions,
): ShardScheduler {
  const state = createSchedulerState(options);

  function step(nowMs: number, apply: () => void): readonly SchedulerEffect[] {
    state.effects = [];
    apply();
    dispatch(state, nowMs);
    limitQueue(state, nowMs);
    return state.effects;
  }

  function stepAndReview(
    nowMs: number,
    apply: () => void,
  ): readonly SchedulerEffect[] {
    return step(nowMs, () => {
      apply();
      reviewQueue(state, nowMs);
    });
  }

  return {
    acquire: (request, nowMs) =>
      step(nowMs, () => handleAcquire(state, request, nowMs)),
    cancel: (requestId, nowMs) =>
      step(nowMs, () => cancelQueued(state, requestId)),
    progress: (samples, nowMs) =>
      step(nowMs, () => recordProgress(state, samples, nowMs)),
    release: (release, nowMs) =>
      step(nowMs, () => endJob(state, release, nowMs)),
    adopt: (permits, nowMs) =>
      step(nowMs, () => {
        for (const permit of permits) adoptPermit(state, permit, nowMs);
      }),
    receiveRates: (from, statements, nowMs) =>
      step(nowMs, () => state.rates.receive(from, statements, nowMs)),
    setUpstreams: (upstreams, nowMs) =>
      stepAndReview(nowMs, () => {
        state.tracker.setUpstreams(upstreams, nowMs);
        state.rates.setUpstreams(upstreams, nowMs);
      }),
    setClasses: (classes, nowMs) =>
      stepAndReview(nowMs, () => state.classes.set(classes)),
    dropHolder: (holder, nowMs) =>
      step(nowMs, () => dropHolder(state, holder, nowMs)),
    tick: nowMs => step(nowMs, () => passTime(state, nowMs)),
    snapshot: nowMs => takeSnapshot(state, nowMs),
    rateStatus: nowMs => ({
      limits: state.rates.limits(nowMs),
      heldBackCount: state.heldBackCount,
    }),
  };
}

/** Applies a tick; reviews the queue at most once per review interval. */
function passTime(state: SchedulerState, nowMs: number): void {
  state.tracker.tick(nowMs);
  resendPreemptions(state, nowMs);
  notifySuspects(state, nowMs);
  const sinceReviewMs = nowMs - state.reviewedAtMs;
  if (sinceReviewMs < state.parameters.reviewIntervalMs) return;
  state.reviewedAtMs = nowMs;
  for (const job of state.jobs.values()) chargeRunning(state, job, nowMs);
  reviewQueue(state, nowMs);
}

/** Reviews all queued requests, which is too costly for every message. */
function reviewQueue(state: SchedulerState, nowMs: number): void {
  refuseExpired(state, nowMs);
  refuseUnplaceable(state, nowMs);
  dispatch(state, nowMs);
  resolveUrgent(state, nowMs);
  preemptForTargets(state, nowMs);
  shedEarly(state, nowMs);
}

function handleAcquire(
  state: SchedulerState,
  request: AcquireRequest,
  nowMs: number,
): void {
  const key = attemptKey(request);
  if (state.queue.find(key) !== undefined) return;
  if (resendResponse(state, key, nowMs)) return;
  const entry = {
    request,
    sequence: state.nextSequence++,
    // Later attempts and hedges start a new wait: measured from the arrival,
    // the time spent running would make them overdue at once.
    waitingSinceMs:
      request.attempt === 1 ? Math.min(request.arrivedAtMs, nowMs) : nowMs,
  };
  state.queue.add(entry);
  recordArrival(state, request, nowMs);
  reviewNewEntry(state, entry, nowMs);
}

function recordArrival(
  state: SchedulerState,
  request: AcquireRequest,
  nowMs: number,
): void {
  const slotMs = expectedSlotMs(state, request.classId);
  const tier = tierOf(state, request);
  state.estimates.observeArrival(tier, slotMs, nowMs);
  if (request.attempt === 1 && !request.hedge) {
    state.rates.recordDemand(tier, nowMs);
  }
}

function reviewNewEntry(
  state: SchedulerState,
  entry: QueuedRequest,
  nowMs: number,
): void {
  const {exclude, deadlineAtMs} = entry.request;
  if (deadlineAtMs <= nowMs) {
    refuse(state, entry, 'deadline_exceeded', nowMs);
    return;
  }
  const live = liveUpstreams(state.tracker);
  if (live.every(id => exclude.includes(id))) {
    refuse(state, entry, 'no_upstream', nowMs);
    return;
  }
  const startedSize = state.queue.size - state.queue.unstartedSize;
  const {resume} = entry.request;
  if (resume !== undefined && startedSize > state.parameters.maxQueued) {
    refuse(state, entry, 'overloaded', nowMs);
    return;
  }
  dispatch(state, nowMs);
  if (isHeldBack(state, entry, nowMs)) state.heldBackCount += 1;
  shedEarly(state, nowMs);
}

/** Returns whether an upstream has a slot that its rate does not let be used. */
function isHeldBack(
  state: SchedulerState,
  {request}: QueuedRequest,
  nowMs: number,
): boolean {
  if (state.queue.find(attemptKey(request)) === undefined) return false;
  const tier = tierOf(state, request);
  return availableUpstreams(state.tracker, tier, nowMs).some(
    id => !request.exclude.includes(id) && !state.rates.allows(id, tier, nowMs),
  );
}

/**
 * Sends the response to a known attempt again, because the first one may have
 * been lost with its connection.
 */
function resendResponse(
  state: SchedulerState,
  key: string,
  nowMs: number,
): boolean {
  const permitId = state.permitOfAttempt.get(key);
  const job = permitId === undefined ? undefined : state.jobs.get(permitId);
  if (job !== undefined) {
    emitGrant(state, job, nowMs);
    return true;
  }
  const response = state.endedAttempts.get(key);
  if (response === undefined) return false;
  if (response !== 'nothing') state.effects.push(response);
  return true;
}

function cancelQueued(state: SchedulerState, requestId: RequestId): void {
  for (const entry of state.queue.ofRequest(requestId)) {
    state.queue.remove(entry);
  }
}

function recordProgress(
  state: SchedulerState,
  samples: readonly ProgressSample[],
  nowMs: number,
): void {
  for (const sample of samples) {
    const job = state.jobs.get(sample.permitId);
    if (job === undefined) continue;
    job.tokens = Math.max(job.tokens, sample.tokens);
    job.isLong = isLong(state, job);
    state.tracker.progressed(sample, nowMs);
  }
  notifySuspects(state, nowMs);
}

function dropHolder(
  state: SchedulerState,
  holder: InstanceId,
  nowMs: number,
): void {
  for (const entry of state.queue.ofHolder(holder)) state.queue.remove(entry);
  for (const job of jobsOf(state, holder)) dropJob(state, job, nowMs);
}

function dropJob(state: SchedulerState, job: RunningJob, nowMs: number): void {
  endJob(
    state,
    {
      permitId: job.permitId,
      outcome: 'canceled',
      tokens: job.tokens,
      wastedTokens: job.tokens,
      serviceMs: nowMs - job.grantedAtMs,
    },
    nowMs,
  );
}
