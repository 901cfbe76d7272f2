/**
 * Start, charging and end of the jobs that hold a permit.
 */
import type {
  AnnouncedPermit,
  PermitOutcome,
  PermitRelease,
  UpstreamId,
} from '@toucanrouter/common';
import {attemptKey} from './Queue.js';
import {isLong} from './SchedulerLongJobs.js';
import type {SchedulerState} from './SchedulerState.js';
import {expectedSlotMs} from './SchedulerState.js';
import type {QueuedRequest, RunningJob} from './SchedulerTypes.js';

function startJob(
  state: SchedulerState,
  job: RunningJob,
  promptTokens: number,
  nowMs: number,
): void {
  const {tier, target} = state.classes.policyOf(job);
  state.jobs.set(job.permitId, job);
  state.tracker.started(
    {
      permitId: job.permitId,
      upstreamId: job.upstreamId,
      classId: job.classId,
      tier,
      target,
      promptTokens,
    },
    nowMs,
  );
}

function initialJobState(
  state: SchedulerState,
  upstreamId: UpstreamId,
): Pick<
  RunningJob,
  'chargedMs' | 'isLong' | 'isProbe' | 'preemption' | 'suspectNotifiedAtMs'
> {
  // A hedge would hide how the upstream responds to a probe.
  return {
    chargedMs: 0,
    isProbe: state.tracker.state(upstreamId) === 'probing',
    isLong: false,
    preemption: undefined,
    suspectNotifiedAtMs: undefined,
  };
}

function chargeStart(state: SchedulerState, job: RunningJob): void {
  const {classId, workspaceId} = job;
  state.usage.recordJobStart(classId, workspaceId);
  job.chargedMs = expectedSlotMs(state, classId);
  state.usage.charge(classId, workspaceId, job.chargedMs);
}

/** Charges the slot time that a job has used beyond the charged estimate. */
export function chargeRunning(
  state: SchedulerState,
  job: RunningJob,
  nowMs: number,
): void {
  const usedMs = nowMs - job.grantedAtMs;
  if (usedMs <= job.chargedMs) return;
  chargeDifference(state, job, usedMs);
}

function chargeDifference(
  state: SchedulerState,
  job: RunningJob,
  usedMs: number,
): void {
  const {classId, workspaceId} = job;
  state.usage.charge(classId, workspaceId, usedMs - job.chargedMs);
  job.chargedMs = usedMs;
}

/** Grants a queued request a permit for `upstreamId`. */
export function grant(
  state: SchedulerState,
  entry: QueuedRequest,
  upstreamId: UpstreamId,
  nowMs: number,
): void {
  const {request} = entry;
  const permitId = state.options.createPermitId();
  state.queue.remove(entry);
  state.permitOfAttempt.set(attemptKey(request), permitId);
  const job: RunningJob = {
    permitId,
    requestId: request.requestId,
    attempt: request.attempt,
    holder: request.holder,
    classId: request.classId,
    workspaceId: request.workspaceId,
    fallbackTier: request.fallbackTier,
    upstreamId,
    idempotent: request.idempotent,
    hedge: request.hedge,
    grantedAtMs: nowMs,
    usesRate: state.rates.take(upstreamId, nowMs),
    resumedTokens: request.resume?.tokens ?? 0,
    tokens: 0,
    ...initialJobState(state, upstreamId),
  };
  job.isLong = isLong(state, job);
  startJob(state, job, request.promptTokens, nowMs);
  chargeStart(state, job);
  if (request.prefixHash !== undefined) {
    state.upstreamOfPrefix.set(request.prefixHash, upstreamId);
  }
  state.counters.granted += 1;
  if (request.hedge) state.counters.hedged += 1;
  emitGrant(state, job, nowMs);
}

/** Emits the grant of a job to its holder. */
export function emitGrant(
  state: SchedulerState,
  job: RunningJob,
  nowMs: number,
): void {
  const limitPerS = state.rates.statedPerS(job.upstreamId, nowMs);
  state.effects.push({
    kind: 'grant',
    holder: job.holder,
    requestId: job.requestId,
    attempt: job.attempt,
    permitId: job.permitId,
    upstreamId: job.upstreamId,
    ...(limitPerS === undefined ? {} : {limitPerS}),
  });
}

/** Adds the job of a permit that another scheduler granted. */
export function adoptPermit(
  state: SchedulerState,
  permit: AnnouncedPermit,
  nowMs: number,
): void {
  if (state.jobs.has(permit.permitId)) return;
  if (state.endedPermits.has(permit.permitId)) return;
  const job: RunningJob = {
    permitId: permit.permitId,
    requestId: permit.requestId,
    attempt: 0,
    holder: permit.holder,
    classId: permit.classId,
    workspaceId: permit.workspaceId,
    fallbackTier: permit.fallbackTier,
    upstreamId: permit.upstreamId,
    idempotent: permit.idempotent,
    hedge: false,
    grantedAtMs: Math.min(permit.grantedAtMs, nowMs),
    usesRate: false,
    resumedTokens: 0,
    tokens: permit.tokens,
    ...initialJobState(state, permit.upstreamId),
  };
  job.isLong = isLong(state, job);
  startJob(state, job, 0, nowMs);
}

/** Ends a job and returns it, or undefined when the permit is not held. */
export function endJob(
  state: SchedulerState,
  release: PermitRelease,
  nowMs: number,
): RunningJob | undefined {
  const job = state.jobs.get(release.permitId);
  // A permit dropped because its holder stopped sending counts as canceled;
  // the holder may announce it again later.
  if (release.outcome !== 'canceled') {
    state.endedPermits.set(release.permitId, true);
  }
  if (job === undefined) return undefined;
  state.jobs.delete(release.permitId);
  if (job.attempt > 0) endAttempt(state, job, release.outcome);
  state.tracker.ended(release, nowMs);
  if (job.usesRate && !reachedUpstream(release)) {
    state.rates.giveBack(job.upstreamId);
  }
  state.counters.tokens += release.tokens;
  state.counters.wastedTokens += release.wastedTokens;
  const slotMs = Math.max(0, nowMs - job.grantedAtMs);
  chargeDifference(state, job, slotMs);
  if (release.outcome === 'completed') {
    const tokens = job.resumedTokens + release.tokens;
    state.options.lengths.observe(job.classId, job.workspaceId, tokens);
    state.estimates.observeSlot(job.classId, slotMs);
  }
  return job;
}

/** Returns whether a request was sent; holders of earlier builds do not say. */
function reachedUpstream({outcome, reachedUpstream}: PermitRelease): boolean {
  return reachedUpstream ?? outcome !== 'unused';
}

/**
 * Records the end of an attempt. An attempt that ran is not granted again. One
 * whose permit was canceled or returned unused may be: a holder that moved to
 * another scheduler and back sends the same attempt again, and would otherwise
 * wait until its deadline.
 */
function endAttempt(
  state: SchedulerState,
  job: RunningJob,
  outcome: PermitOutcome,
): void {
  const key = attemptKey(job);
  state.permitOfAttempt.delete(key);
  if (outcome === 'canceled' || outcome === 'unused') return;
  state.endedAttempts.set(key, 'nothing');
}
