/**
 * Limits retries to a share of recent requests, so that retries do not multiply
 * the load of a failing upstream.
 */

/** Parameters of a retry budget. */
export interface RetryBudgetParameters {
  /** Retries allowed per recent request. */
  readonly share: number;
  /**
   * Retries allowed in addition to the share, so that requests can be retried
   * at a low request rate as well. Called at each retry.
   */
  readonly minRatePerSecond: () => number;
  /** Age up to which requests and retries count. */
  readonly windowMs: number;
  /** Called for each retry that is denied. */
  readonly onDenied: (status: RetryBudgetStatus) => void;
}

/** Default parameters. */
export const defaultRetryBudgetParameters: RetryBudgetParameters = {
  share: 0.1,
  minRatePerSecond: () => 1,
  windowMs: 10_000,
  onDenied: () => {},
};

/** What a budget has allowed so far. */
export interface RetryBudgetStatus {
  /** Retries spent since the budget was created. */
  readonly spentCount: number;
  /** Retries and reservations denied since then. */
  readonly deniedCount: number;
  /** Retries that the window allows now. */
  readonly allowance: number;
  /** Retries of the window that are spent or set aside. */
  readonly usedCount: number;
}

/** A retry that is set aside until it is spent or closed. */
export interface RetryReservation {
  spend(nowMs: number): void;
  /** Returns the retry to the budget, unless it was spent. */
  close(): void;
}

/** Decides whether the budget allows one more retry. */
export interface RetryBudget {
  /** Records a request of a caller, but not its retries. */
  recordRequest(nowMs: number): void;
  /** Returns whether the budget has a retry left, without spending it. */
  canRetry(nowMs: number): boolean;
  /** Spends one retry of the budget, or returns false when there is none. */
  tryRetry(nowMs: number): boolean;
  /** Sets one retry aside, or returns undefined when there is none. */
  reserve(nowMs: number): RetryReservation | undefined;
  status(nowMs: number): RetryBudgetStatus;
}

/** Buckets of the sliding window, which expire one by one. */
const windowBucketCount = 10;

const msPerSecond = 1_000;

interface WindowBucket {
  readonly index: number;
  requests: number;
  retries: number;
}

/** Creates a budget without requests. */
export function createRetryBudget(
  overrides: Partial<RetryBudgetParameters> = {},
): RetryBudget {
  const parameters = {...defaultRetryBudgetParameters, ...overrides};
  const bucketMs = parameters.windowMs / windowBucketCount;
  let buckets: WindowBucket[] = [];
  let reservedRetries = 0;
  let spentCount = 0;
  let deniedCount = 0;

  function currentBucket(nowMs: number): WindowBucket {
    const index = Math.floor(nowMs / bucketMs);
    buckets = buckets.filter(
      bucket => bucket.index > index - windowBucketCount,
    );
    const newest = buckets.at(-1);
    if (newest !== undefined && newest.index >= index) return newest;
    const bucket: WindowBucket = {index, requests: 0, retries: 0};
    buckets.push(bucket);
    return bucket;
  }

  function sum(count: (bucket: WindowBucket) => number): number {
    return buckets.reduce((total, bucket) => total + count(bucket), 0);
  }

  function status(nowMs: number): RetryBudgetStatus {
    // Expires the buckets that left the window.
    currentBucket(nowMs);
    const requests = sum(entry => entry.requests);
    const minRetries =
      (parameters.minRatePerSecond() * parameters.windowMs) / msPerSecond;
    return {
      spentCount,
      deniedCount,
      allowance: minRetries + requests * parameters.share,
      usedCount: sum(entry => entry.retries) + reservedRetries,
    };
  }

  function canRetry(nowMs: number): boolean {
    const {usedCount, allowance} = status(nowMs);
    return usedCount + 1 <= allowance;
  }

  function takeRetry(nowMs: number): boolean {
    if (canRetry(nowMs)) return true;
    deniedCount += 1;
    parameters.onDenied(status(nowMs));
    return false;
  }

  function spend(nowMs: number): void {
    currentBucket(nowMs).retries += 1;
    spentCount += 1;
  }

  function createReservation(): RetryReservation {
    let open = true;
    function close(): void {
      if (!open) return;
      open = false;
      reservedRetries -= 1;
    }
    reservedRetries += 1;
    return {
      spend: nowMs => {
        if (!open) return;
        close();
        spend(nowMs);
      },
      close,
    };
  }

  return {
    reserve: nowMs => (takeRetry(nowMs) ? createReservation() : undefined),
    recordRequest: nowMs => {
      currentBucket(nowMs).requests += 1;
    },
    canRetry,
    tryRetry: nowMs => {
      if (!takeRetry(nowMs)) return false;
      spend(nowMs);
      return true;
    },
    status,
  };
}
