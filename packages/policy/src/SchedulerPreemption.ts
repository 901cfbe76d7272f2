/**
 * Preemption: which running jobs give up their slots for a queued request.
 */
import type {PreemptReason, Tier, UpstreamId} from '@toucanrouter/common';
import {liveUpstreams} from './Placement.js';
import type {SchedulerState} from './SchedulerState.js';
import {tierOf} from './SchedulerState.js';
import type {RunningJob} from './SchedulerTypes.js';

/** Selects the running jobs that may be preempted. */
export type VictimFilter = (job: RunningJob) => boolean;

interface Victim {
  readonly job: RunningJob;
  readonly tier: Tier;
}

/** Returns true for idempotent jobs that are not being preempted already. */
export function isPreemptible(job: RunningJob): boolean {
  return job.idempotent && job.preemption === undefined;
}

/** Preemption state of the jobs of one upstream. */
interface UpstreamJobs {
  /** Jobs with a preemption that has not taken effect yet. */
  pending: number;
  readonly victims: Victim[];
}

function groupJobs(
  state: SchedulerState,
  filter: VictimFilter,
): ReadonlyMap<UpstreamId, UpstreamJobs> {
  const groups = new Map<UpstreamId, UpstreamJobs>();
  for (const job of state.jobs.values()) {
    const group = groups.get(job.upstreamId) ?? {pending: 0, victims: []};
    groups.set(job.upstreamId, group);
    if (job.preemption !== undefined) group.pending += 1;
    if (!isPreemptible(job) || !filter(job)) continue;
    group.victims.push({job, tier: tierOf(state, job)});
  }
  return groups;
}

/** Returns the slots for `tier` that pending preemptions will free. */
export function slotsFromPending(
  state: SchedulerState,
  tier: Tier,
  nowMs: number,
): number {
  const {tracker} = state;
  let slots = 0;
  for (const [id, {pending}] of groupJobs(state, () => false)) {
    if (pending === 0 || tracker.state(id) === 'leaving') continue;
    const free =
      tracker.limit(id, tier, nowMs) - tracker.inFlight(id) + pending;
    slots += Math.max(0, Math.min(pending, Math.floor(free)));
  }
  return slots;
}

/**
 * Returns the fewest jobs whose end frees one slot for `tier`, or undefined
 * when there are none. More than one job is needed where an upstream runs more
 * jobs than its limit allows.
 */
export function findVictims(
  state: SchedulerState,
  tier: Tier,
  exclude: readonly UpstreamId[],
  filter: VictimFilter,
  nowMs: number,
): readonly RunningJob[] | undefined {
  const live = new Set(liveUpstreams(state.tracker));
  let best: readonly Victim[] | undefined;
  for (const [id, jobs] of groupJobs(state, filter)) {
    if (!live.has(id) || exclude.includes(id)) continue;
    // The end of a job frees no slot that the rate does not let be used.
    if (!state.rates.allows(id, tier, nowMs)) continue;
    const needed = victimsNeeded(state, id, jobs.pending, tier, nowMs);
    if (needed > jobs.victims.length) continue;
    const victims = jobs.victims.sort(compareVictims).slice(0, needed);
    if (best === undefined || isBetter(victims, best)) best = victims;
  }
  return best?.map(victim => victim.job);
}

function victimsNeeded(
  state: SchedulerState,
  upstreamId: UpstreamId,
  pending: number,
  tier: Tier,
  nowMs: number,
): number {
  const limit = Math.floor(state.tracker.limit(upstreamId, tier, nowMs));
  if (limit < 1) return Infinity;
  const remaining = state.tracker.inFlight(upstreamId) - pending;
  return Math.max(1, remaining + 1 - limit);
}

// The newest job loses the least progress, and older ones run to completion.
function compareVictims(a: Victim, b: Victim): number {
  return b.tier - a.tier || b.job.grantedAtMs - a.job.grantedAtMs;
}

function isBetter(a: readonly Victim[], b: readonly Victim[]): boolean {
  if (a.length !== b.length) return a.length < b.length;
  const firstA = a[0];
  const firstB = b[0];
  if (firstA === undefined || firstB === undefined) return false;
  return compareVictims(firstA, firstB) < 0;
}

/** Asks the holders of `victims` to give up their slots. */
export function preempt(
  state: SchedulerState,
  victims: readonly RunningJob[],
  reason: PreemptReason,
  nowMs: number,
): void {
  for (const job of victims) {
    job.preemption = {reason, notifiedAtMs: nowMs};
    state.counters.preempted += 1;
    emitPreempt(state, job, reason);
  }
}

function emitPreempt(
  state: SchedulerState,
  job: RunningJob,
  reason: PreemptReason,
): void {
  state.effects.push({
    kind: 'preempt',
    holder: job.holder,
    requestId: job.requestId,
    permitId: job.permitId,
    reason,
  });
}

/** Resends preemptions that may have been lost with a connection. */
export function resendPreemptions(state: SchedulerState, nowMs: number): void {
  for (const job of state.jobs.values()) {
    const {preemption} = job;
    if (preemption === undefined) continue;
    const elapsedMs = nowMs - preemption.notifiedAtMs;
    if (elapsedMs < state.parameters.preemptResendIntervalMs) continue;
    preemption.notifiedAtMs = nowMs;
    emitPreempt(state, job, preemption.reason);
  }
}

/**
 * Returns the lower-tier jobs to displace for one request of `tier`: those
 * whose end frees a slot or, when no such set exists because upstreams run more
 * jobs than their limits allow, one job that reduces the excess. Returns
 * undefined when no lower tier runs.
 */
export function findDisplaceable(
  state: SchedulerState,
  tier: Tier,
  exclude: readonly UpstreamId[],
  nowMs: number,
): readonly RunningJob[] | undefined {
  const lower: VictimFilter = job => tierOf(state, job) > tier;
  const victims = findVictims(state, tier, exclude, lower, nowMs);
  if (victims !== undefined) return victims;
  const allowed: VictimFilter = job =>
    lower(job) && state.rates.allows(job.upstreamId, tier, nowMs);
  const job = newestOfLowestTier(state, exclude, allowed);
  return job === undefined ? undefined : [job];
}

function newestOfLowestTier(
  state: SchedulerState,
  exclude: readonly UpstreamId[],
  filter: VictimFilter,
): RunningJob | undefined {
  const live = new Set(liveUpstreams(state.tracker));
  let best: Victim | undefined;
  for (const job of state.jobs.values()) {
    if (!live.has(job.upstreamId) || exclude.includes(job.upstreamId)) continue;
    if (!isPreemptible(job) || !filter(job)) continue;
    const victim: Victim = {job, tier: tierOf(state, job)};
    if (best === undefined || compareVictims(victim, best) < 0) best = victim;
  }
  return best?.job;
}

/**
 * Preempts lower-tier jobs instead of refusing a request of `tier`. Neither the
 * budget nor the minimum run time applies: otherwise a higher tier would be
 * refused while a lower one runs. Returns false when there is no such job.
 */
export function preemptLowerTier(
  state: SchedulerState,
  tier: Tier,
  exclude: readonly UpstreamId[],
  nowMs: number,
): boolean {
  const victims = findDisplaceable(state, tier, exclude, nowMs);
  if (victims === undefined) return false;
  preempt(state, victims, 'make_room', nowMs);
  return true;
}
