/**
 * Grants permits to waiting requests: higher tiers first, and within a tier
 * the class whose oldest request misses its target first.
 */
import type {Tier, UpstreamId} from '@toucanrouter/common';
import {leastLoaded, openUpstreams} from './Placement.js';
import type {ClassQueue} from './QueueOfClass.js';
import {targetWaitMs} from './SchedulerClasses.js';
import {grant} from './SchedulerJobs.js';
import type {SchedulerState} from './SchedulerState.js';
import type {QueuedRequest} from './SchedulerTypes.js';

interface RankedQueue {
  readonly queue: ClassQueue;
  readonly tier: Tier;
  readonly dueAtMs: number;
}

interface Choice {
  readonly entry: QueuedRequest;
  readonly upstreamId: UpstreamId;
}

/** Grants permits until no waiting request can be placed. */
export function dispatch(state: SchedulerState, nowMs: number): void {
  for (;;) {
    const choice = chooseNext(state, nowMs);
    if (choice === undefined) return;
    grant(state, choice.entry, choice.upstreamId, nowMs);
  }
}

function rank(state: SchedulerState, queue: ClassQueue): RankedQueue {
  const policy = state.classes.policyOf(queue);
  const sinceMs = queue.oldest()?.waitingSinceMs ?? Infinity;
  return {queue, tier: policy.tier, dueAtMs: sinceMs + targetWaitMs(policy)};
}

function rankedQueues(state: SchedulerState): readonly RankedQueue[] {
  return state.queue
    .classQueues()
    .map(queue => rank(state, queue))
    .sort((a, b) => a.tier - b.tier || a.dueAtMs - b.dueAtMs);
}

function chooseNext(state: SchedulerState, nowMs: number): Choice | undefined {
  if (state.queue.size === 0) return undefined;
  for (const {queue, tier} of rankedQueues(state)) {
    const open = openUpstreams(state.tracker, tier, nowMs);
    if (open.length === 0) continue;
    const choice = chooseFrom(state, queue, open, tier, nowMs);
    if (choice !== undefined) return choice;
  }
  return undefined;
}

function chooseFrom(
  state: SchedulerState,
  queue: ClassQueue,
  open: readonly UpstreamId[],
  tier: Tier,
  nowMs: number,
): Choice | undefined {
  for (const entry of queue.inOrder()) {
    const {exclude} = entry.request;
    const usable = open.filter(id => !exclude.includes(id));
    const upstreamId = leastLoaded(state.tracker, usable, tier, nowMs);
    if (upstreamId !== undefined) return {entry, upstreamId};
  }
  return undefined;
}
