/**
 * Estimates the queueing delay of a request from the work queued before it and
 * from the work that arrives in higher tiers.
 */
import type {Tier} from '@toucanrouter/common';
import type {UpstreamId} from '@toucanrouter/common';
import {liveUpstreams} from './Placement.js';
import type {SchedulerState} from './SchedulerState.js';
import {tierOf} from './SchedulerState.js';

const msPerSecond = 1_000;

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
  const slots = usableSlots(state, tier, workMs, nowMs);
  const higherTierSlots = state.estimates.slotsUsedAbove(tier, nowMs);
  const availableSlots = Math.max(
    slots - higherTierSlots,
    slots * state.parameters.minimumTierShare,
  );
  if (availableSlots <= 0) return undefined;
  const waitMs = workMs / availableSlots;
  const nextPermitMs = nextPermitByRatesMs(state, tier, nowMs);
  if (nextPermitMs === undefined) return waitMs;
  const queued = queuedCount(state, tier);
  return queued > 0
    ? nextPermitMs + (waitMs * (queued - 1)) / queued
    : nextPermitMs;
}

/**
 * Returns the time until a rate allows the next permit, or undefined unless all
 * live upstreams limit their rate.
 */
function nextPermitByRatesMs(
  state: SchedulerState,
  tier: Tier,
  nowMs: number,
): number | undefined {
  if (!state.rates.hasLimits()) return undefined;
  const live = liveUpstreams(state.tracker);
  const isLimited = (id: UpstreamId) =>
    state.rates.sharePerS(id, nowMs) !== Infinity;
  if (live.length === 0 || !live.every(isLimited)) return undefined;
  return Math.min(...live.map(id => state.rates.waitMs(id, tier, nowMs)));
}

/** Returns the slots of live upstreams that their rates let be used. */
function usableSlots(
  state: SchedulerState,
  tier: Tier,
  workMs: number,
  nowMs: number,
): number {
  const queued = queuedCount(state, tier);
  const meanSlotS = queued > 0 ? workMs / queued / msPerSecond : 0;
  const slotsOf = (id: UpstreamId) => {
    const slots = Math.max(0, state.tracker.limit(id, tier, nowMs));
    const perS = state.rates.sharePerS(id, nowMs);
    return perS === Infinity ? slots : Math.min(slots, perS * meanSlotS);
  };
  return liveUpstreams(state.tracker).reduce(
    (total, id) => total + slotsOf(id),
    0,
  );
}

function queuedCount(state: SchedulerState, tier: Tier): number {
  return state.queue
    .classQueues()
    .filter(queue => tierOf(state, queue) <= tier)
    .reduce((count, {size}) => count + size, 0);
}

function queuedWorkMs(state: SchedulerState, tier: Tier): number | undefined {
  let workMs = 0;
  for (const queue of state.queue.classQueues()) {
    if (tierOf(state, queue) > tier) continue;
    const slotMs =
      state.estimates.slotMs(queue.classId) ??
      // Under a rate the wait hardly depends on how long jobs take.
      (state.rates.hasLimits() ? state.parameters.defaultSlotMs : undefined);
    if (slotMs === undefined) return undefined;
    workMs += queue.size * slotMs;
  }
  return workMs;
}
