/**
 * Estimates of slot time by class and of arriving work by tier. They tell how
 * long a newly queued request would wait.
 */
import type {ClassId, Tier} from '@toucanrouter/common';
import {createBoundedMap} from './BoundedMap.js';

// Follows a change of job lengths within some ten jobs.
const slotTimeWeight = 0.1;

// More classes than operators configure; bounds memory if ids are made up.
const maxTrackedClasses = 1000;

/** What a scheduler expects of its jobs. */
export interface SchedulerEstimates {
  observeSlot(classId: ClassId, slotMs: number): void;
  /** Mean slot time of a class; undefined before any job ended. */
  slotMs(classId: ClassId): number | undefined;
  /** Counts a request of `tier` that arrives. */
  observeArrival(tier: Tier, slotMs: number, nowMs: number): void;
  /** Slots that arrivals above `tier` keep busy on average. */
  slotsUsedAbove(tier: Tier, nowMs: number): number;
}

interface DecayingSum {
  value: number;
  updatedAtMs: number;
}

/** Creates estimates that know nothing yet. */
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
