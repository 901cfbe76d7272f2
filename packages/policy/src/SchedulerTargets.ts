/**
 * Preemption for latency targets: when a queued request is about to miss its
 * target, jobs of lower tiers give up slots, within a budget and after a
 * minimum run time. So do long jobs of the same tier while long jobs exceed
 * their share.
 */
import type {Tier} from '@toucanrouter/common';
import {slotCount} from './Placement.js';
import {targetWaitMs} from './SchedulerClasses.js';
import {longJobExcess} from './SchedulerLongJobs.js';
import type {VictimFilter} from './SchedulerPreemption.js';
import {findVictims, preempt, slotsFromPending} from './SchedulerPreemption.js';
import type {SchedulerState} from './SchedulerState.js';
import {tierOf, queuedByTier} from './SchedulerState.js';
import type {QueuedRequest, RunningJob} from './SchedulerTypes.js';

/** Preempts jobs for queued requests whose targets are at risk. */
export function preemptForTargets(state: SchedulerState, nowMs: number): void {
  const exhausted = new Set<Tier>();
  const atRisk = queuedByTier(state, entry => isAtRisk(state, entry, nowMs));
  for (const [index, entry] of atRisk.entries()) {
    const tier = tierOf(state, entry.request);
    if (exhausted.has(tier)) continue;
    if (index < slotsFromPending(state, tier, nowMs)) continue;
    if (!preemptForRequest(state, entry, tier, nowMs)) exhausted.add(tier);
  }
}

function isAtRisk(
  state: SchedulerState,
  {request, waitingSinceMs}: QueuedRequest,
  nowMs: number,
): boolean {
  if (request.hedge || request.resume !== undefined) return false;
  const targetMs = targetWaitMs(state.classes.policyOf(request));
  const riskAfterMs = targetMs * state.parameters.targetRiskFraction;
  return nowMs - waitingSinceMs >= riskAfterMs;
}

function preemptForRequest(
  state: SchedulerState,
  {request}: QueuedRequest,
  tier: Tier,
  nowMs: number,
): boolean {
  const longInExcess = longJobExcess(state, tier, nowMs) > 0;
  const filter: VictimFilter = job =>
    hasReachedMinimumRun(state, job, nowMs) &&
    (tierOf(state, job) > tier ||
      (longInExcess && job.isLong && tierOf(state, job) === tier));
  const victims = findVictims(state, tier, request.exclude, filter, nowMs);
  if (victims === undefined) return false;
  if (!consumeBudget(state, victims.length, tier, nowMs)) return false;
  preempt(state, victims, 'meet_target', nowMs);
  return true;
}

function hasReachedMinimumRun(
  state: SchedulerState,
  job: RunningJob,
  nowMs: number,
): boolean {
  return nowMs - job.grantedAtMs >= state.parameters.minimumRunMs;
}

function consumeBudget(
  state: SchedulerState,
  count: number,
  tier: Tier,
  nowMs: number,
): boolean {
  const {preemptionsPerSlotSecond, preemptionBurstPerSlot} = state.parameters;
  const slots = slotCount(state.tracker, tier, nowMs);
  const rate = {
    perSecond: slots * preemptionsPerSlotSecond,
    burst: Math.max(1, slots * preemptionBurstPerSlot),
  };
  return state.preemptionBudget.tryConsume(count, rate, nowMs);
}
