/**
 * Estimates the queueing delay of a request from the work queued before it and
 * from the work that arrives in higher tiers.
 */
import type {Tier} from '@toucanrouter/common';
import {slotCount} from './Placement.js';
import type {SchedulerState} from './SchedulerState.js';
import {tierOf} from './SchedulerState.js';

/**
 * Returns the expected wait of the last request of `tier`, or undefined until a
 * job has completed.
 */
export function estimateWaitMs(
  state: SchedulerState,
  tier: Tier,
  nowMs: number,
): number | undefined {
  const workMs = queuedWorkMs(state, tier);
  if (workMs === undefined) return undefined;
  const slots = slotCount(state.tracker, tier, nowMs);
  const higherTierSlots = state.estimates.slotsUsedAbove(tier, nowMs);
  const availableSlots = Math.max(
    slots - higherTierSlots,
    slots * state.parameters.minimumTierShare,
  );
  return availableSlots > 0 ? workMs / availableSlots : undefined;
}

function queuedWorkMs(state: SchedulerState, tier: Tier): number | undefined {
  let workMs = 0;
  for (const queue of state.queue.classQueues()) {
    if (tierOf(state, queue) > tier) continue;
    const slotMs = state.estimates.slotMs(queue.classId);
    if (slotMs === undefined) return undefined;
    workMs += queue.size * slotMs;
  }
  return workMs;
}
