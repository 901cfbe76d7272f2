/**
 * Load shedding: which requests are refused under overload, and which work is
 * displaced instead. A request is refused only after all displaceable work of
 * lower tiers has been displaced.
 */
import type {Tier, UpstreamId} from '@toucanrouter/common';
import type {ClassQueue, LargestBacklog} from './ClassQueue.js';
import {isEvictedBefore} from './ClassQueue.js';
import {attemptKey} from './Queue.js';
import {targetWaitMs} from './SchedulerClasses.js';
import {
  findDisplaceable,
  preemptLowerTier,
  slotsFromPending,
} from './SchedulerPreemption.js';
import {refuse} from './SchedulerRefusal.js';
import type {SchedulerState} from './SchedulerState.js';
import {tierOf, queuedByTier} from './SchedulerState.js';
import type {QueuedRequest} from './SchedulerTypes.js';
import {estimateWaitMs} from './SchedulerWait.js';

const noExclusions: readonly UpstreamId[] = [];

/** Refuses or preempts requests until the queue is within its limit. */
export function limitQueue(state: SchedulerState, nowMs: number): void {
  for (;;) {
    const excess = state.queue.unstartedSize - state.parameters.maxQueued;
    if (excess <= 0) return;
    const victim = nextEviction(state);
    if (victim === undefined) return;
    const tier = tierOf(state, victim.request);
    if (victim.request.hedge) {
      refuse(state, victim, 'overloaded', nowMs);
      continue;
    }
    // Each pending preemption will take one request out of the queue.
    if (excess <= slotsFromPending(state, tier, nowMs)) return;
    if (preemptLowerTier(state, tier, noExclusions, nowMs)) continue;
    refuse(state, victim, 'overloaded', nowMs);
  }
}

// A hedge is refused first, because its request already runs elsewhere.
function nextEviction(state: SchedulerState): QueuedRequest | undefined {
  return state.queue.hedges()[0] ?? newestOfLowestTier(state);
}

/**
 * Returns the newest request of the workspace with the largest backlog in the
 * lowest tier. If simply the newest request were evicted, a large workspace
 * that fills the queue would cause the requests of all others to be refused.
 * Started jobs are not evicted, because the response "not run" would be false.
 */
function newestOfLowestTier(state: SchedulerState): QueuedRequest | undefined {
  let victim: LargestBacklog | undefined;
  for (const queue of lowestTierQueues(state)) {
    const candidate = queue.largestBacklog();
    if (candidate === undefined) continue;
    if (victim === undefined || isEvictedBefore(candidate, victim)) {
      victim = candidate;
    }
  }
  return victim?.newest;
}

function lowestTierQueues(state: SchedulerState): readonly ClassQueue[] {
  const queues = state.queue
    .classQueues()
    .filter(queue => queue.unstartedSize > 0);
  const lowest = Math.max(...queues.map(queue => tierOf(state, queue)));
  return queues.filter(queue => tierOf(state, queue) === lowest);
}

/**
 * Refuses requests of the lowest tier that cannot be served in time, so that
 * their callers get the error at once instead of at the end of their wait.
 */
export function shedEarly(state: SchedulerState, nowMs: number): void {
  for (;;) {
    const victim = newestOfLowestTier(state);
    if (victim === undefined) return;
    if (!exceedsAllowedWait(state, victim, nowMs)) return;
    if (canDisplaceLowerTier(state, victim, nowMs)) return;
    refuse(state, victim, 'overloaded', nowMs);
  }
}

function exceedsAllowedWait(
  state: SchedulerState,
  {request, waitingSinceMs}: QueuedRequest,
  nowMs: number,
): boolean {
  const policy = state.classes.policyOf(request);
  const waitMs = estimateWaitMs(state, policy.tier, nowMs);
  if (waitMs === undefined) return false;
  // A queue as long as the maximum wait would make every response miss its
  // target; a shorter queue serves as many requests, and in time.
  const allowedWaitMs = Math.min(
    policy.maxWaitMs,
    targetWaitMs(policy) * state.parameters.shedTargetFactor,
  );
  const latestMs = waitingSinceMs + allowedWaitMs;
  return nowMs + waitMs > Math.min(latestMs, request.deadlineAtMs);
}

function canDisplaceLowerTier(
  state: SchedulerState,
  {request}: QueuedRequest,
  nowMs: number,
): boolean {
  const tier = tierOf(state, request);
  if (slotsFromPending(state, tier, nowMs) > 0) return true;
  const victims = findDisplaceable(state, tier, request.exclude, nowMs);
  return victims !== undefined;
}

/**
 * Preempts lower tiers for requests that are about to be refused, and refuses
 * requests that have reached their maximum wait when nothing can be displaced.
 */
export function resolveUrgent(state: SchedulerState, nowMs: number): void {
  const urgent = queuedByTier(state, entry => isUrgent(state, entry, nowMs));
  let obtained = 0;
  const exhausted = new Set<Tier>();
  for (const entry of urgent) {
    const tier = tierOf(state, entry.request);
    if (
      !exhausted.has(tier) &&
      obtainUrgentSlot(state, entry, obtained, nowMs)
    ) {
      obtained += 1;
      continue;
    }
    if (entry.request.exclude.length === 0) exhausted.add(tier);
    if (hasReachedMaxWait(state, entry, nowMs))
      refuseOverdue(state, entry, nowMs);
  }
}

/** Obtains a slot in addition to the `obtained` pending ones for others. */
function obtainUrgentSlot(
  state: SchedulerState,
  {request}: QueuedRequest,
  obtained: number,
  nowMs: number,
): boolean {
  const tier = tierOf(state, request);
  if (obtained < slotsFromPending(state, tier, nowMs)) return true;
  return preemptLowerTier(state, tier, request.exclude, nowMs);
}

function isUrgent(
  state: SchedulerState,
  entry: QueuedRequest,
  nowMs: number,
): boolean {
  if (entry.request.hedge) return false;
  const leftMs = entry.request.deadlineAtMs - nowMs;
  if (leftMs <= state.parameters.deadlineLeadMs) return true;
  return hasReachedMaxWait(state, entry, nowMs);
}

function hasReachedMaxWait(
  state: SchedulerState,
  {request, waitingSinceMs}: QueuedRequest,
  nowMs: number,
): boolean {
  const {maxWaitMs} = state.classes.policyOf(request);
  // Requests that would exceed the limit before the next review count now.
  const limitMs = maxWaitMs - state.parameters.reviewIntervalMs;
  return nowMs - waitingSinceMs >= limitMs;
}

function refuseOverdue(
  state: SchedulerState,
  entry: QueuedRequest,
  nowMs: number,
): void {
  if (entry.request.resume !== undefined) return;
  if (state.queue.find(attemptKey(entry.request)) !== entry) return;
  const tier = tierOf(state, entry.request);
  const lower = queuedByTier(
    state,
    other =>
      other.request.resume === undefined && tierOf(state, other.request) > tier,
  );
  for (const other of lower.toReversed()) {
    // Nothing is refused while a slot that only lower tiers may use can be
    // freed for one of them; the next review decides again.
    if (obtainSlot(state, other, nowMs)) return;
    refuse(state, other, 'overloaded', nowMs);
  }
  refuse(state, entry, 'overloaded', nowMs);
}

function obtainSlot(
  state: SchedulerState,
  {request}: QueuedRequest,
  nowMs: number,
): boolean {
  const tier = tierOf(state, request);
  if (slotsFromPending(state, tier, nowMs) > 0) return true;
  return preemptLowerTier(state, tier, request.exclude, nowMs);
}
