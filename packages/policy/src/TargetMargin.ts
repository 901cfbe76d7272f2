/**
 * Keeps the mean token gap far enough below its target that nearly every job
 * meets it. Gaps vary with the prompts that an engine takes up, so the distance
 * follows from the share of jobs that missed.
 */
import {
  marginShrinkIntervalMs,
  marginShrinkStep,
  minMargin,
  toleratedMissShare,
} from './UpstreamTrackerConstants.js';

/** The share of a target that the mean may reach. */
export interface TargetMargin {
  factor(): number;
  /** Records whether a job missed its target. */
  observe(missed: boolean, nowMs: number): void;
}

/** Creates a margin that leaves the whole target to the mean. */
export function createTargetMargin(): TargetMargin {
  let factor = 1;
  let shrunkAtMs = -Infinity;
  // In balance when the tolerated share of the jobs misses.
  const growStep =
    (marginShrinkStep * toleratedMissShare) / (1 - toleratedMissShare);

  return {
    factor: () => factor,
    observe: (missed, nowMs) => {
      if (!missed) {
        factor = Math.min(1, factor + growStep);
        return;
      }
      // Jobs that ran together miss together; they count once.
      if (nowMs - shrunkAtMs < marginShrinkIntervalMs) return;
      shrunkAtMs = nowMs;
      factor = Math.max(minMargin, factor - marginShrinkStep);
    },
  };
}
