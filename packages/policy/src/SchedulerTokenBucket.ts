/**
 * A budget that refills with time.
 */

/** How fast a budget refills and how much it holds. */
export interface BudgetRate {
  readonly perSecond: number;
  readonly burst: number;
}

/** A token bucket whose rate may change between calls. */
export interface TokenBucket {
  /** Takes `count` tokens if there are so many. */
  tryConsume(count: number, rate: BudgetRate, nowMs: number): boolean;
}

/** Creates a full bucket. */
export function createTokenBucket(): TokenBucket {
  let tokens = Infinity;
  let refilledAtMs = 0;
  return {
    tryConsume: (count, rate, nowMs) => {
      const elapsedMs = Math.max(0, nowMs - refilledAtMs);
      const refilled = tokens + (elapsedMs * rate.perSecond) / 1000;
      tokens = Math.min(rate.burst, refilled);
      refilledAtMs = nowMs;
      if (tokens < count) return false;
      tokens -= count;
      return true;
    },
  };
}
