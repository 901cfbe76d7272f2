/**
 * Estimates of slot time by class and of arriving work by tier. They tell how
 * long a newly queued request would wait.
 */
import type {ClassId, Tier} from '@toucanrouter/common';
import {createBoundedMemory} from './SchedulerEnds.js';

// Follows a change of job lengths within some ten jobs.
const slotTimeWeight = 0.1;

// More classes than operators configure; bounds memory if ids are made up.
const maxRememberedClasses = 1000;

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
  const slotTimes = createBoundedMemory<ClassId, number>(maxRememberedClasses);
  const arrivals = new Map<Tier, DecayingSum>();
  let anySlotMs: number | undefined;

  function decayed(sum: DecayingSum, nowMs: number): number {
    const elapsedMs = Math.max(0, nowMs - sum.updatedAtMs);
    return sum.value * Math.exp(-elapsedMs / arrivalPeriodMs);
  }

  return {
    observeSlot: (classId, slotMs) => {
      slotTimes.set(classId, moved(slotTimes.get(classId), slotMs));
      anySlotMs = moved(anySlotMs, slotMs);
    },
    slotMs: classId => slotTimes.get(classId) ?? anySlotMs,
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

function moved(mean: number | undefined, sample: number): number {
  if (mean === undefined) return sample;
  return mean + slotTimeWeight * (sample - mean);
}
