/**
 * Estimates of slot time by class and of arriving work by tier, from which the
 * wait of a queued request is estimated.
 */
import type {ClassId, Tier} from '@toucanrouter/common';
import {createBoundedMap} from './BoundedMap.js';

// The average follows a change of job lengths within about ten jobs.
const slotTimeWeight = 0.1;

// More classes than operators configure; bounds memory if callers invent ids.
const maxTrackedClasses = 1000;

/** Moving averages of slot time and of arriving work. */
export interface SchedulerEstimates {
  observeSlot(classId: ClassId, slotMs: number): void;
  /**
   * Mean slot time of a class, or of all classes while none of its jobs has
   * completed; undefined before the first job.
   */
  slotMs(classId: ClassId): number | undefined;
  /** Adds the expected slot time of a request of `tier` that arrives. */
  observeArrival(tier: Tier, slotMs: number, nowMs: number): void;
  /** Slots that the arrivals of higher tiers than `tier` use on average. */
  slotsUsedAbove(tier: Tier, nowMs: number): number;
}

interface DecayingSum {
  value: number;
  updatedAtMs: number;
}

/** Creates estimates without observations. */
export function createSchedulerEstimates(
  arrivalPeriodMs: number,
): SchedulerEstimates {
  const slotTimes = createBoundedMap<ClassId, number>(maxTrackedClasses);
  const arrivals = new Map<Tier, DecayingSum>();
  let overallSlotMs: number | undefined;

  function decayed(sum: DecayingSum, nowMs: number): number {
    const elapsedMs = Math.max(0, nowMs - sum.updatedAtMs);
    return sum.value * Math.exp(-elapsedMs / arrivalPeriodMs);
  }

  return {
    observeSlot: (classId, slotMs) => {
      slotTimes.set(classId, updateMean(slotTimes.get(classId), slotMs));
      overallSlotMs = updateMean(overallSlotMs, slotMs);
    },
    slotMs: classId => slotTimes.get(classId) ?? overallSlotMs,
    observeArrival: (tier, slotMs, nowMs) => {
      const sum = arrivals.get(tier);
      const before = sum === undefined ? 0 : decayed(sum, nowMs);
      arrivals.set(tier, {value: before + slotMs, updatedAtMs: nowMs});
    },
    slotsUsedAbove: (tier, nowMs) => {
      let workMs = 0;
      for (const [other, sum] of arrivals) {
        if (other < tier) workMs += decayed(sum, nowMs);
      }
      return workMs / arrivalPeriodMs;
    },
  };
}

function updateMean(mean: number | undefined, sample: number): number {
  if (mean === undefined) return sample;
  return mean + slotTimeWeight * (sample - mean);
}
