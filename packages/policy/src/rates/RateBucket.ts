/**
 * Requests that an instance may send by its share of a rate. The share may
 * change at any time; what was saved up by an earlier one stays, as far as the
 * present one allows it.
 */
import type {RateShare} from './RateShares.js';
import {minOwnBurst, noShare} from './RateShares.js';

/** A token bucket with a changing rate. It starts empty. */
export interface RateBucket {
  /** Applies a share from `nowMs` on. */
  refill(share: RateShare, nowMs: number): void;
  /** Time until a request of `tier` may be sent; 0 if it may be now. */
  waitMs(tier: number): number;
  take(): void;
  /** Returns a request that was taken and did not reach the upstream. */
  giveBack(): void;
}

const msPerSecond = 1_000;
/** Part of the burst that has to be saved up before less urgent requests go. */
const reservedShare = 0.75;

/** Creates a bucket that fills from `nowMs` on. */
export function createRateBucket(startMs: number): RateBucket {
  let share = noShare;
  let tokens = 0;
  let filledAtMs = startMs;

  return {
    refill: (next, nowMs) => {
      const elapsedS = Math.max(0, nowMs - filledAtMs) / msPerSecond;
      tokens = Math.min(tokens + elapsedS * share.perS, next.burst);
      filledAtMs = Math.max(filledAtMs, nowMs);
      share = next;
    },
    waitMs: tier => {
      // Less urgent requests get what the others left unused.
      const isOpen = tier < share.openTierCount;
      const needed = isOpen
        ? 1
        : Math.max(
            1,
            Math.min(minOwnBurst, share.burst),
            share.burst * reservedShare,
          );
      if (tokens >= needed) return 0;
      return share.perS > 0
        ? ((needed - tokens) / share.perS) * msPerSecond
        : Infinity;
    },
    take: () => {
      tokens -= 1;
    },
    giveBack: () => {
      tokens = Math.min(tokens + 1, share.burst);
    },
  };
}
