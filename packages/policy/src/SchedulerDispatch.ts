/**
 * Grants permits to waiting requests. Classes whose oldest request exceeded
 * the maximum wait come first, at an interval; then higher tiers; and within a
 * tier the class whose oldest request misses its target first.
 */
import type {Tier, UpstreamId} from '@toucanrouter/common';
import {lowestTier} from '@toucanrouter/common';
import {openUpstreams, place} from './Placement.js';
import type {ClassQueue} from './QueueOfClass.js';
import {targetWaitMs} from './SchedulerClasses.js';
import {grant} from './SchedulerJobs.js';
import {isLongRequest, longExcess} from './SchedulerLongWork.js';
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

interface Choice {
  readonly entry: QueuedRequest;
  readonly upstreamId: UpstreamId;
}

type OpenByTier = ReadonlyMap<Tier, readonly UpstreamId[]>;

/** Grants permits until no waiting request can be placed. */
export function dispatch(state: SchedulerState, nowMs: number): void {
  while (state.queue.size > 0) {
    const open = findOpen(state, nowMs);
    if (open.size === 0) return;
    const choice = chooseNext(state, open, nowMs);
    if (choice === undefined) return;
    if (choice.entry.request.deadlineAtMs <= nowMs) {
      refuse(state, choice.entry, 'deadline_exceeded', nowMs);
      continue;
    }
    grant(state, choice.entry, choice.upstreamId, nowMs);
  }
}

function findOpen(state: SchedulerState, nowMs: number): OpenByTier {
  const open = new Map<Tier, readonly UpstreamId[]>();
  for (let tier: Tier = 1; tier <= lowestTier; tier++) {
    const ids = openUpstreams(state.tracker, tier as Tier, nowMs);
    if (ids.length > 0) open.set(tier as Tier, ids);
  }
  return open;
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
  open: OpenByTier,
  nowMs: number,
): Choice | undefined {
  const ranked = rankQueues(state);
  return (
    chooseOverdue(state, ranked, open, nowMs) ??
    chooseInOrder(state, ranked, open, nowMs)
  );
}

function chooseOverdue(
  state: SchedulerState,
  ranked: readonly RankedQueue[],
  open: OpenByTier,
  nowMs: number,
): Choice | undefined {
  for (const {queue, oldest, tier, overdueAtMs} of ranked) {
    if (overdueAtMs > nowMs || !mayTakeOverdue(state, oldest)) continue;
    const upstreamId = placeEntry(state, oldest, open.get(tier), tier, nowMs);
    if (upstreamId === undefined) continue;
    state.overdueGrants.set(queue.classId, state.counters.granted);
    return {entry: oldest, upstreamId};
  }
  return undefined;
}

function mayTakeOverdue(state: SchedulerState, entry: QueuedRequest): boolean {
  const {classId, idempotent} = entry.request;
  const {overdueGrantInterval, maxQueued} = state.parameters;
  // A job that cannot be preempted must not take a slot while the queue is
  // full, because a higher tier could then be refused on its behalf.
  if (!idempotent && state.queue.unstartedSize >= maxQueued) return false;
  const last = state.overdueGrants.get(classId);
  if (last === undefined) return true;
  return state.counters.granted - last >= overdueGrantInterval;
}

function chooseInOrder(
  state: SchedulerState,
  ranked: readonly RankedQueue[],
  open: OpenByTier,
  nowMs: number,
): Choice | undefined {
  let long: Choice | undefined;
  for (const {queue, tier} of ranked) {
    const ids = open.get(tier);
    if (ids === undefined) continue;
    for (const entry of queue.inOrder()) {
      const held =
        isLongRequest(state, entry) && longExcess(state, tier, nowMs) >= 0;
      if (held && long !== undefined) continue;
      const upstreamId = placeEntry(state, entry, ids, tier, nowMs);
      if (upstreamId === undefined) continue;
      if (!held) return {entry, upstreamId};
      long = {entry, upstreamId};
    }
  }
  // The share of long work only holds while short work can use the slot.
  return long;
}

function placeEntry(
  state: SchedulerState,
  {request}: QueuedRequest,
  open: readonly UpstreamId[] | undefined,
  tier: Tier,
  nowMs: number,
): UpstreamId | undefined {
  if (open === undefined) return undefined;
  const {exclude, prefixHash, resume} = request;
  const cached =
    prefixHash === undefined ? undefined : state.prefixes.get(prefixHash);
  const preferred = [resume?.upstreamId, cached];
  return place(state.tracker, {tier, open, exclude, preferred}, nowMs);
}
