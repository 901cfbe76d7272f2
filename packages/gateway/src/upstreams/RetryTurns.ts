/**
 * Hands out the times at which refused callers of a limited service should
 * return. Load pattern: many callers for few requests a second. If all of them
 * returned after the same delay, all but one would be refused again. Turns follow
 * each other at the rate that the service leaves to the instance's callers; those
 * of urgent tiers do not wait for turns of less urgent ones.
 */
import type {RandomSource} from '@toucanrouter/common';

/** The turns that an instance has handed out for one service. */
export interface RetryTurns {
  /** Returns the time until the next turn of `tier`, at `perS` turns a second. */
  nextMs(tier: number, perS: number, nowMs: number): number;
}

const msPerSecond = 1_000;
/** Turns further ahead are spread over the last half of this time. */
const maxAheadMs = 10_000;

/** Creates a record without turns. */
export function createRetryTurns(random: RandomSource): RetryTurns {
  /** By tier, the time at which the turns that were handed out end. */
  const endsMs: number[] = [];

  return {
    nextMs: (tier, perS, nowMs) => {
      const intervalMs = perS > 0 ? msPerSecond / perS : Infinity;
      const startMs = Math.max(
        ...Array.from({length: tier + 1}, (_, each) => endsMs[each] ?? nowMs),
        nowMs,
      );
      const endMs = startMs + intervalMs;
      if (endMs - nowMs > maxAheadMs) {
        return maxAheadMs * (1 + random.next()) * 0.5;
      }
      endsMs[tier] = endMs;
      return startMs - nowMs + intervalMs * (1 + random.next()) * 0.5;
    },
  };
}
