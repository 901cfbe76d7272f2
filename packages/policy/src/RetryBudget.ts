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
  /**
   * Spends the retry. Returns false if it is spent or closed already, or if the
   * requests that allowed it are too old by now.
   */
  spend(nowMs: number): boolean;
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

/** How many retries a limit allows, and how many are used. */
export type RetryUse = Pick<RetryBudgetStatus, 'allowance' | 'usedCount'>;

/** Decides how many retries recent requests allow. */
export interface RetryLimit {
  recordRequest(nowMs: number): void;
  recordRetry(nowMs: number): void;
  use(nowMs: number): RetryUse;
}

/** Creates a limit by the requests and retries of one sliding window. */
function createWindowLimit(parameters: RetryBudgetParameters): RetryLimit {
  const bucketMs = parameters.windowMs / windowBucketCount;
  let buckets: WindowBucket[] = [];

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

  return {
    recordRequest: nowMs => {
      currentBucket(nowMs).requests += 1;
    },
    recordRetry: nowMs => {
      currentBucket(nowMs).retries += 1;
    },
    use: nowMs => {
      // Expires the buckets that left the window.
      currentBucket(nowMs);
      const requests = sum(entry => entry.requests);
      const minRetries =
        (parameters.minRatePerSecond() * parameters.windowMs) / msPerSecond;
      return {
        allowance: minRetries + requests * parameters.share,
        usedCount: sum(entry => entry.retries),
      };
    },
  };
}

/** Creates a budget without requests. */
export function createRetryBudget(
  overrides: Partial<RetryBudgetParameters> = {},
): RetryBudget {
  const parameters = {...defaultRetryBudgetParameters, ...overrides};
  return createRetryBudgetOf(
    createWindowLimit(parameters),
    parameters.onDenied,
  );
}

/** Creates a budget that allows what `limit` allows. */
export function createRetryBudgetOf(
  limit: RetryLimit,
  onDenied: (status: RetryBudgetStatus) => void,
): RetryBudget {
  let reservedCount = 0;
  let spentCount = 0;
  let deniedCount = 0;

  function status(nowMs: number): RetryBudgetStatus {
    const {allowance, usedCount} = limit.use(nowMs);
    return {
      spentCount,
      deniedCount,
      allowance,
      usedCount: usedCount + reservedCount,
    };
  }

  function canRetry(nowMs: number): boolean {
    const {usedCount, allowance} = status(nowMs);
    return usedCount + 1 <= allowance;
  }

  function takeRetry(nowMs: number): boolean {
    if (canRetry(nowMs)) return true;
    deniedCount += 1;
    onDenied(status(nowMs));
    return false;
  }

  function tryRetry(nowMs: number): boolean {
    if (!takeRetry(nowMs)) return false;
    limit.recordRetry(nowMs);
    spentCount += 1;
    return true;
  }

  function createReservation(): RetryReservation {
    let open = true;
    function close(): void {
      if (!open) return;
      open = false;
      reservedCount -= 1;
    }
    reservedCount += 1;
    return {
      spend: nowMs => {
        if (!open) return false;
        close();
        return tryRetry(nowMs);
      },
      close,
    };
  }

  return {
    reserve: nowMs => (takeRetry(nowMs) ? createReservation() : undefined),
    recordRequest: limit.recordRequest,
    canRetry,
    tryRetry,
    status,
  };
}
