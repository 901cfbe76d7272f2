/**
 * The part of the shared repeat budget that one instance may use. All instances
 * together must stay within a share of the requests and a fixed slack, and none
 * knows what the others spend, so the slack is divided among those that run.
 */
import type {RetryBudget} from '@toucanrouter/policy';
import {createRetryBudget} from '@toucanrouter/policy';

/** What the operators allow to all instances together. */
export interface SharedRetryLimits {
  /** Repeats for each request to a service. */
  readonly retryShare: number;
  /** Repeats in a window in addition. */
  readonly retryAllowance: number;
  readonly retryWindowMs: number;
}

/**
 * Part of the bounds that is used: instances restart with a new budget, and
 * requests are counted in another window than their repeats.
 */
const safetyFactor = 0.8;
/** An instance may not know all others yet, so the slack is never cut larger. */
const minAssumedInstances = 10;
const msPerSecond = 1_000;

/** Creates the budget of one instance for one service. */
export function createSharedRetryBudget(
  limits: SharedRetryLimits,
  instanceCount: () => number,
): RetryBudget {
  const allowancePerSecond =
    (limits.retryAllowance * msPerSecond) / limits.retryWindowMs;
  return createRetryBudget({
    share: limits.retryShare * safetyFactor,
    minRatePerSecond: () =>
      (allowancePerSecond * safetyFactor) /
      Math.max(minAssumedInstances, instanceCount()),
    windowMs: limits.retryWindowMs,
  });
}
