/**
 * Grants permits to queued requests. Overdue classes come first, at most once
 * per `overdueGrantInterval` grants; then higher tiers; and within a tier the
 * class whose oldest request misses its target first.
 */
import type {Tier, UpstreamId} from '@toucanrouter/common';
import {lowestTier} from '@toucanrouter/common';
import type {ClassQueue} from './ClassQueue.js';
import {availableUpstreams, chooseUpstream} from './Placement.js';
import {targetWaitMs} from './SchedulerClasses.js';
import {grant} from './SchedulerJobs.js';
import {isLongRequest, longJobExcess} from './SchedulerLongJobs.js';
import {refuse} from './SchedulerRefusal.js';
import type {SchedulerState} from './SchedulerState.js';
import type {QueuedRequest} from './SchedulerTypes.js';

interface RankedQueue {
  readonly queue: ClassQueue;
  readonly oldest: QueuedRequest;
  readonly tier: Tier;
  readonly dueAtMs: number;
  readonly overdueAtMs: number;
}

interface GrantCandidate {
  readonly entry: QueuedRequest;
  readonly upstreamId: UpstreamId;
}

type AvailableByTier = ReadonlyMap<Tier, readonly UpstreamId[]>;

/** Grants permits until no queued request can be placed. */
export function dispatch(state: SchedulerState, nowMs: number): void {
  while (state.queue.size > 0) {
    const available = findAvailable(state, nowMs);
    if (available.size === 0) return;
    const candidate = chooseNext(state, available, nowMs);
    if (candidate === undefined) return;
    if (candidate.entry.request.deadlineAtMs <= nowMs) {
      refuse(state, candidate.entry, 'deadline_exceeded', nowMs);
      continue;
    }
    grant(state, candidate.entry, candidate.upstreamId, nowMs);
  }
}

function findAvailable(state: SchedulerState, nowMs: number): AvailableByTier {
  const available = new Map<Tier, readonly UpstreamId[]>();
  for (let tier: Tier = 1; tier <= lowestTier; tier++) {
    const ids = availableUpstreams(state.tracker, tier as Tier, nowMs).filter(
      id => state.rates.allows(id, tier as Tier, nowMs),
    );
    if (ids.length > 0) available.set(tier as Tier, ids);
  }
  return available;
}

function rankQueues(state: SchedulerState): readonly RankedQueue[] {
  const ranked: RankedQueue[] = [];
  for (const queue of state.queue.classQueues()) {
    const oldest = queue.oldest();
    if (oldest === undefined) continue;
    const policy = state.classes.policyOf(queue);
    const dueAtMs = oldest.waitingSinceMs + targetWaitMs(policy);
    const overdueAfterMs = policy.maxWaitMs * state.parameters.overdueShare;
    const overdueAtMs = oldest.waitingSinceMs + overdueAfterMs;
    ranked.push({queue, oldest, tier: policy.tier, dueAtMs, overdueAtMs});
  }
  return ranked.sort((a, b) => a.tier - b.tier || a.dueAtMs - b.dueAtMs);
}

function chooseNext(
  state: SchedulerState,
  available: AvailableByTier,
  nowMs: number,
): GrantCandidate | undefined {
  const ranked = rankQueues(state);
  return (
    chooseOverdue(state, ranked, available, nowMs) ??
    chooseInOrder(state, ranked, available, nowMs)
  );
}

function chooseOverdue(
  state: SchedulerState,
  ranked: readonly RankedQueue[],
  available: AvailableByTier,
  nowMs: number,
): GrantCandidate | undefined {
  for (const {queue, oldest, tier, overdueAtMs} of ranked) {
    if (overdueAtMs > nowMs || !mayGrantOverdue(state, oldest)) continue;
    const upstreamId = placeEntry(
      state,
      oldest,
      available.get(tier),
      tier,
      nowMs,
    );
    if (upstreamId === undefined) continue;
    state.grantCountAtOverdue.set(queue.classId, state.counters.granted);
    return {entry: oldest, upstreamId};
  }
  return undefined;
}

function mayGrantOverdue(state: SchedulerState, entry: QueuedRequest): boolean {
  const {classId, idempotent} = entry.request;
  const {overdueGrantInterval, maxQueued} = state.parameters;
  // A job that cannot be preempted gets no overdue slot while the queue is
  // full: a higher tier that cannot displace it could then be refused.
  if (!idempotent && state.queue.unstartedSize >= maxQueued) return false;
  const last = state.grantCountAtOverdue.get(classId);
  if (last === undefined) return true;
  return state.counters.granted - last >= overdueGrantInterval;
}

function chooseInOrder(
  state: SchedulerState,
  ranked: readonly RankedQueue[],
  available: AvailableByTier,
  nowMs: number,
): GrantCandidate | undefined {
  let deferred: GrantCandidate | undefined;
  for (const {queue, tier} of ranked) {
    const ids = available.get(tier);
    if (ids === undefined) continue;
    for (const entry of queue.inGrantOrder()) {
      const isDeferred =
        isLongRequest(state, entry) && longJobExcess(state, tier, nowMs) >= 0;
      if (isDeferred && deferred !== undefined) continue;
      const upstreamId = placeEntry(state, entry, ids, tier, nowMs);
      if (upstreamId === undefined) continue;
      if (!isDeferred) return {entry, upstreamId};
      deferred = {entry, upstreamId};
    }
  }
  // Long jobs above their share get the slot only when no short job can use it.
  return deferred;
}

function placeEntry(
  state: SchedulerState,
  {request}: QueuedRequest,
  available: readonly UpstreamId[] | undefined,
  tier: Tier,
  nowMs: number,
): UpstreamId | undefined {
  if (available === undefined) return undefined;
  const {exclude, prefixHash, resume} = request;
  const cached =
    prefixHash === undefined
      ? undefined
      : state.upstreamOfPrefix.get(prefixHash);
  const preferred = [resume?.upstreamId, cached];
  return chooseUpstream(
    state.tracker,
    {tier, available, exclude, preferred},
    nowMs,
  );
}
