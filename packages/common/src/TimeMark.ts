/**
 * Points in time on the monotonic clock and on the wall clock. What must end
 * within a bound, such as a lease or the validity of an API key, is measured by
 * both: the monotonic clock does not count time in which the process was
 * suspended.
 */
import type {Clock} from './Clock.js';

/** A point in time on the monotonic clock and on the wall clock. */
export interface TimeMark {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/**
 * Smaller steps of the wall clock come from clock synchronization; larger ones
 * may be a suspension that the monotonic clock did not count.
 */
const wallClockToleranceMs = 200;

/** Returns the present time. */
export function markNow(clock: Clock): TimeMark {
  return {monotonicMs: clock.nowMs(), wallMs: clock.wallMs()};
}

/** Returns a mark that lies `byMs` later. */
export function shiftMark(mark: TimeMark, byMs: number): TimeMark {
  return {
    monotonicMs: mark.monotonicMs + byMs,
    wallMs: mark.wallMs + byMs,
  };
}

/** Time between two marks by the clock that shows more. */
export function elapsedBetween(from: TimeMark, to: TimeMark): number {
  const runningMs = to.monotonicMs - from.monotonicMs;
  const elapsedWallMs = to.wallMs - from.wallMs;
  return elapsedWallMs > runningMs + wallClockToleranceMs
    ? elapsedWallMs
    : runningMs;
}
