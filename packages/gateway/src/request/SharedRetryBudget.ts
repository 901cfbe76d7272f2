/**
 * One instance's part of the retry budget that all instances share. Together
 * they must stay, in any window, within a share of the requests plus a fixed
 * allowance; the requests are those of that window or of one shortly before.
 *
 * An instance does not know what its peers spend, nor what it spent before a
 * restart. So each retry must be covered by what this process earned: a share
 * for each request, and a part of the allowance for the time that it runs. For
 * any moment T within the last window, the retries since T may not exceed half of
 * what was earned since T minus one window. Summed over all processes, whenever
 * each was started, the retries in a window are then within half of what two
 * adjacent windows earn, which is no more than the better one of them.
 */
import type {
  RetryBudget,
  RetryBudgetStatus,
  RetryLimit,
  RetryUse,
} from '@toucanrouter/policy';
import {createRetryBudgetOf} from '@toucanrouter/policy';

/** Limits on the retries of all instances together. */
export interface SharedRetryLimits {
  /** Retries allowed per request to a service. */
  readonly retryShare: number;
  /** Retries allowed in a window in addition to that share. */
  readonly retryAllowance: number;
  readonly retryWindowMs: number;
}

/** Options of an instance's budget for one service. */
export interface SharedRetryBudgetOptions {
  readonly limits: SharedRetryLimits;
  /** Instances that run now, as far as this one knows. */
  readonly instanceCount: () => number;
  /** Time from which this process earns its part of the allowance. */
  readonly startedAtMs: number;
  readonly onDenied?: (status: RetryBudgetStatus) => void;
}

/**
 * Share of the limits that is used. The rest covers retries that arrive later
 * than they are counted.
 */
const safetyFactor = 0.9;
/** Retries of one window draw on what two windows earn. */
const earnedShare = 1 / 2;
/** Divides by at least this many, as an instance may not know all peers yet. */
const minAssumedInstances = 10;
/** Buckets of a window, which expire one by one. */
const windowBucketCount = 20;

interface Bucket {
  readonly index: number;
  requests: number;
  retries: number;
  /** Most instances that were known at a time. */
  instances: number;
}

/** Creates this instance's budget for one service. */
export function createSharedRetryBudget(
  options: SharedRetryBudgetOptions,
): RetryBudget {
  return createRetryBudgetOf(
    createEarnedLimit(options),
    options.onDenied ?? (() => undefined),
  );
}

function createEarnedLimit({
  limits,
  instanceCount,
  startedAtMs,
}: SharedRetryBudgetOptions): RetryLimit {
  const bucketMs = limits.retryWindowMs / windowBucketCount;
  /** Ascending by index; a bucket without events may be missing. */
  let buckets: Bucket[] = [];

  function currentBucket(nowMs: number): Bucket {
    const index = Math.floor(nowMs / bucketMs);
    const oldest = index - 2 * windowBucketCount;
    buckets = buckets.filter(bucket => bucket.index > oldest);
    let bucket = buckets.at(-1);
    if (bucket === undefined || bucket.index < index) {
      bucket = {index, requests: 0, retries: 0, instances: 0};
      buckets.push(bucket);
    }
    bucket.instances = Math.max(bucket.instances, instanceCount());
    return bucket;
  }

  function allowancePerMs(): number {
    // A list that was short for a time must not have earned more than its part.
    const instances = Math.max(
      minAssumedInstances,
      ...buckets.map(bucket => bucket.instances),
    );
    return limits.retryAllowance / limits.retryWindowMs / instances;
  }

  function use(nowMs: number): RetryUse {
    const newest = currentBucket(nowMs).index;
    const perMs = allowancePerMs();
    let tightest: RetryUse = {allowance: Infinity, usedCount: 0};
    for (let age = 0; age <= windowBucketCount; age += 1) {
      const from = newest - age;
      // The first bucket that lies within one window before all of `from`.
      const earnedFrom = from - windowBucketCount + 1;
      let usedCount = 0;
      let requests = 0;
      for (const bucket of buckets) {
        if (bucket.index >= from) usedCount += bucket.retries;
        if (bucket.index >= earnedFrom) requests += bucket.requests;
      }
      const aliveMs = nowMs - Math.max(startedAtMs, earnedFrom * bucketMs);
      const earned = requests * limits.retryShare + aliveMs * perMs;
      const allowance = earned * safetyFactor * earnedShare;
      if (allowance - usedCount < tightest.allowance - tightest.usedCount) {
        tightest = {allowance, usedCount};
      }
    }
    return tightest;
  }

  return {
    recordRequest: nowMs => {
      currentBucket(nowMs).requests += 1;
    },
    recordRetry: nowMs => {
      currentBucket(nowMs).retries += 1;
    },
    use,
  };
}
