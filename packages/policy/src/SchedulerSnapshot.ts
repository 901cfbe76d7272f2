/**
 * Snapshots of a scheduler for operators.
 */
import type {
  QueueSnapshot,
  ShardSnapshot,
  UpstreamId,
  UpstreamSnapshot,
} from '@toucanrouter/common';
import {lowestTier} from '@toucanrouter/common';
import type {ClassReference} from './SchedulerClasses.js';
import type {SchedulerState} from './SchedulerState.js';
import {tierOf} from './SchedulerState.js';

interface MutableQueueSnapshot extends QueueSnapshot {
  queued: number;
  running: number;
  oldestWaitMs: number;
}

/** Returns the current upstreams, queues and counters of a scheduler. */
export function takeSnapshot(
  state: SchedulerState,
  nowMs: number,
): ShardSnapshot {
  return {
    shardId: state.options.shardId,
    upstreams: state.tracker
      .ids()
      .map(id => upstreamSnapshot(state, id, nowMs)),
    queues: queueSnapshots(state, nowMs),
    counters: {...state.counters},
  };
}

function upstreamSnapshot(
  state: SchedulerState,
  upstreamId: UpstreamId,
  nowMs: number,
): UpstreamSnapshot {
  return {
    upstreamId,
    state: state.tracker.state(upstreamId),
    reason: state.tracker.reason(upstreamId),
    limit: state.tracker.limit(upstreamId, lowestTier, nowMs),
    inFlight: state.tracker.inFlight(upstreamId),
  };
}

function queueSnapshots(
  state: SchedulerState,
  nowMs: number,
): readonly QueueSnapshot[] {
  const rows = new Map<string, MutableQueueSnapshot>();

  function rowOf(reference: ClassReference): MutableQueueSnapshot {
    const {classId} = reference;
    const tier = tierOf(state, reference);
    const key = `${tier}/${classId}`;
    const existing = rows.get(key);
    if (existing !== undefined) return existing;
    const row = {classId, tier, queued: 0, running: 0, oldestWaitMs: 0};
    rows.set(key, row);
    return row;
  }

  for (const {request, waitingSinceMs} of state.queue.entries()) {
    const row = rowOf(request);
    row.queued += 1;
    row.oldestWaitMs = Math.max(row.oldestWaitMs, nowMs - waitingSinceMs);
  }
  for (const job of state.jobs.values()) rowOf(job).running += 1;
  return [...rows.values()].sort((a, b) => a.tier - b.tier);
}
