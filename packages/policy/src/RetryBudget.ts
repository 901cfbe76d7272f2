/**
 * Limits retries to a share of recent requests, so that a failing upstream
 * does not receive several times its load.
 */

/** What may vary about a retry budget. */
export interface RetryBudgetParameters {
  /** Retries allowed per recent request. */
  readonly share: number;
  /**
   * Retries allowed in addition, so that few requests can be retried too; asked
   * for at each retry.
   */
  readonly minRatePerSecond: () => number;
  /** Requests and retries older than this no longer count. */
  readonly windowMs: number;
}

/** Parameters for everyday use. */
export const defaultRetryBudgetParameters: RetryBudgetParameters = {
  share: 0.1,
  minRatePerSecond: () => 1,
  windowMs: 10_000,
};

/** Decides whether one more retry is affordable. */
export interface RetryBudget {
  /** Counts a request of a caller; its retries are not counted again. */
  recordRequest(nowMs: number): void;
  /** Takes one retry from the budget, or returns false when there is none. */
  tryRetry(nowMs: number): boolean;
}

/** The window is divided into this many parts that expire one by one. */
const windowParts = 10;

const msPerSecond = 1_000;

interface WindowPart {
  readonly index: number;
  requests: number;
  retries: number;
}

/** Creates a budget that has seen no requests. */
export function createRetryBudget(
  overrides: Partial<RetryBudgetParameters> = {},
): RetryBudget {
  const parameters = {...defaultRetryBudgetParameters, ...overrides};
  const partMs = parameters.windowMs / windowParts;
  let parts: WindowPart[] = [];

  function current(nowMs: number): WindowPart {
    const index = Math.floor(nowMs / partMs);
    parts = parts.filter(part => part.index > index - windowParts);
    const newest = parts.at(-1);
    if (newest !== undefined && newest.index >= index) return newest;
    const part: WindowPart = {index, requests: 0, retries: 0};
    parts.push(part);
    return part;
  }

  function sum(count: (part: WindowPart) => number): number {
    return parts.reduce((total, part) => total + count(part), 0);
  }

  return {
    recordRequest: nowMs => {
      current(nowMs).requests += 1;
    },
    tryRetry: nowMs => {
      const part = current(nowMs);
      const requests = sum(p => p.requests);
      const retries = sum(p => p.retries);
      const minRetries =
        (parameters.minRatePerSecond() * parameters.windowMs) / msPerSecond;
      if (retries + 1 > minRetries + requests * parameters.share) return false;
      part.retries += 1;
      return true;
    },
  };
}
