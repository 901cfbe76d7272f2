/**
 * A token bucket whose rate and burst size may change between calls.
 */

/** Refill rate and capacity of a token bucket. */
export interface BudgetRate {
  readonly perSecond: number;
  readonly burst: number;
}

/** A token bucket. */
export interface TokenBucket {
  /** Consumes `count` tokens, or returns false when there are fewer. */
  tryConsume(count: number, rate: BudgetRate, nowMs: number): boolean;
}

/** Creates a bucket that starts full. */
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
