/**
 * Keeps the mean token gap far enough below its target that nearly every job
 * meets the target. Gaps vary with the prompts that an engine prefills, so the
 * margin follows from the share of jobs that missed their target.
 */
import {
  marginShrinkIntervalMs,
  marginShrinkStep,
  minMargin,
  toleratedMissShare,
} from './UpstreamTrackerConstants.js';

/** Margin between the mean token gap and its target. */
export interface TargetMargin {
  /** Share of the target that the mean may reach. */
  factor(): number;
  /** Records whether a job missed its target. */
  observe(missed: boolean, nowMs: number): void;
}

/** Creates a margin that lets the mean reach the whole target. */
export function createTargetMargin(): TargetMargin {
  let factor = 1;
  let shrunkAtMs = -Infinity;
  // Balances the decreases when exactly the tolerated share of jobs misses.
  const growStep =
    (marginShrinkStep * toleratedMissShare) / (1 - toleratedMissShare);

  return {
    factor: () => factor,
    observe: (missed, nowMs) => {
      if (!missed) {
        factor = Math.min(1, factor + growStep);
        return;
      }
      // Jobs that run at the same time miss together, so they count once.
      if (nowMs - shrunkAtMs < marginShrinkIntervalMs) return;
      shrunkAtMs = nowMs;
      factor = Math.max(minMargin, factor - marginShrinkStep);
    },
  };
}
