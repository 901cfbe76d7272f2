/**
 * The shard scheduler: a state machine that decides which request may use
 * which upstream. It starts no timer and reads no clock; each call takes the
 * time and returns what the holders of the requests must be told.
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
import {attemptKey} from './Queue.js';
import {dispatch} from './SchedulerDispatch.js';
import {adoptPermit, announceGrant, endJob} from './SchedulerJobs.js';
import {
  refuseExpired,
  refuseOverflow,
  refuseUnplaceable,
} from './SchedulerRefusal.js';
import {takeSnapshot} from './SchedulerSnapshot.js';
import type {SchedulerState, ShardSchedulerOptions} from './SchedulerState.js';
import {createSchedulerState, jobsOf} from './SchedulerState.js';
import type {RunningJob} from './SchedulerTypes.js';

/** Schedules the upstreams of one shard. */
export interface ShardScheduler {
  acquire(request: AcquireRequest, nowMs: number): readonly SchedulerEffect[];
  cancel(requestId: RequestId, nowMs: number): readonly SchedulerEffect[];
  progress(
    samples: readonly ProgressSample[],
    nowMs: number,
  ): readonly SchedulerEffect[];
  release(release: PermitRelease, nowMs: number): readonly SchedulerEffect[];
  adopt(
    permits: readonly AnnouncedPermit[],
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
  dropHolder(holder: InstanceId, nowMs: number): readonly SchedulerEffect[];
  tick(nowMs: number): readonly SchedulerEffect[];
  snapshot(nowMs: number): ShardSnapshot;
}

/** Creates a scheduler that knows no upstreams and no classes yet. */
export function createShardScheduler(
  options: ShardSchedulerOptions,
): ShardScheduler {
  const state = createSchedulerState(options);

  function step(nowMs: number, change: () => void): readonly SchedulerEffect[] {
    state.effects = [];
    change();
    settle(state, nowMs);
    return state.effects;
  }

  return {
    acquire: (request, nowMs) =>
      step(nowMs, () => accept(state, request, nowMs)),
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
    setUpstreams: (upstreams, nowMs) =>
      step(nowMs, () => state.tracker.setUpstreams(upstreams, nowMs)),
    setClasses: (classes, nowMs) =>
      step(nowMs, () => state.classes.set(classes)),
    dropHolder: (holder, nowMs) =>
      step(nowMs, () => dropHolder(state, holder, nowMs)),
    tick: nowMs => step(nowMs, () => state.tracker.tick(nowMs)),
    snapshot: nowMs => takeSnapshot(state, nowMs),
  };
}

/** Applies what follows from any change of state. */
function settle(state: SchedulerState, nowMs: number): void {
  refuseExpired(state, nowMs);
  refuseUnplaceable(state);
  dispatch(state, nowMs);
  refuseOverflow(state);
}

function accept(
  state: SchedulerState,
  request: AcquireRequest,
  nowMs: number,
): void {
  const key = attemptKey(request);
  if (state.queue.find(key) !== undefined) return;
  if (repeatAnswer(state, key)) return;
  state.queue.add({
    request,
    order: state.nextOrder++,
    waitingSinceMs:
      request.resume === undefined
        ? Math.min(request.arrivedAtMs, nowMs)
        : nowMs,
  });
}

/**
 * Repeats the answer to an attempt that was answered already, because the
 * first answer may have been lost with its link.
 */
function repeatAnswer(state: SchedulerState, key: string): boolean {
  const permitId = state.permitOfAttempt.get(key);
  const job = permitId === undefined ? undefined : state.jobs.get(permitId);
  if (job !== undefined) {
    announceGrant(state, job);
    return true;
  }
  const end = state.endedAttempts.get(key);
  if (end === undefined) return false;
  if (typeof end === 'object') state.effects.push(end);
  return true;
}

function cancelQueued(state: SchedulerState, requestId: RequestId): void {
  for (const entry of state.queue.ofRequest(requestId)) {
    state.queue.remove(entry);
    state.endedAttempts.set(attemptKey(entry.request), 'canceled');
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
    state.tracker.progressed(sample, nowMs);
  }
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
  // A holder that was only paused announces its permits again.
  state.endedPermits.delete(job.permitId);
}
