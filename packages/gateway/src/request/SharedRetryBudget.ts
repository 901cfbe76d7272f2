/**
 * One instance's part of the retry budget that all instances share. Together
 * they must stay within a share of the requests plus a fixed allowance. An
 * instance does not know what its peers spend, so the allowance is divided
 * evenly among the running instances.
 */
import type {RetryBudget, RetryBudgetStatus} from '@toucanrouter/policy';
import {createRetryBudget} from '@toucanrouter/policy';

/** Limits on the retries of all instances together. */
export interface SharedRetryLimits {
  /** Retries allowed per request to a service. */
  readonly retryShare: number;
  /** Retries allowed in a window in addition to that share. */
  readonly retryAllowance: number;
  readonly retryWindowMs: number;
}

/**
 * Share of the limits that is used. The rest covers restarted instances, which
 * start with a new budget, and requests that are counted in another window than
 * their retries.
 */
const safetyFactor = 0.8;
/** Divides by at least this many, as an instance may not know all peers yet. */
const minAssumedInstances = 10;
const msPerSecond = 1_000;

/** Creates this instance's budget for one service. */
export function createSharedRetryBudget(
  limits: SharedRetryLimits,
  instanceCount: () => number,
  onDenied: (status: RetryBudgetStatus) => void = () => {},
): RetryBudget {
  const allowancePerSecond =
    (limits.retryAllowance * msPerSecond) / limits.retryWindowMs;
  return createRetryBudget({
    share: limits.retryShare * safetyFactor,
    minRatePerSecond: () =>
      (allowancePerSecond * safetyFactor) /
      Math.max(minAssumedInstances, instanceCount()),
    windowMs: limits.retryWindowMs,
    onDenied,
  });
}
