/**
 * Time between the final answer of the router and the caller's own time limit.
 * A caller that has reached its limit is gone, so an answer at the limit does
 * not reach it, and it cannot know whether its request may have run.
 */

/** Covers the transit of request and answer, and the caller's reading. */
const answerReserveMs = 150;
/** Bounds the reserve of callers with short limits. */
const maxReserveShare = 0.1;

/** Returns how long before its limit a caller without a response is answered. */
export function answerReserveFor(callerLimitMs: number): number {
  return Math.min(answerReserveMs, callerLimitMs * maxReserveShare);
}
