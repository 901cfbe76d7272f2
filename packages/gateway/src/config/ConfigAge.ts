/**
 * Time since the store last confirmed the configuration in force. Revoked keys
 * must stop working within a bound even on an instance that was suspended or
 * lost its network, so the age includes time during which the process did not
 * run.
 */
import type {Clock} from '@toucanrouter/common';

/** Age of the configuration in force. */
export interface ConfigAge {
  /** Returns the current time for a later call of `confirmed`. */
  mark(): TimeMark;
  /** Records that the configuration in force was the newest at `mark`. */
  confirmed(mark: TimeMark): void;
  /** Age in milliseconds; infinite before the first confirmation. */
  ageMs(): number;
  /**
   * Time from `mark` to the last confirmation; negative if that was earlier. It
   * is never more than the real time, also if the process was suspended.
   */
  confirmedAfterMs(mark: TimeMark): number;
}

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

/** Returns a mark that lies `byMs` later. */
export function shiftMark(mark: TimeMark, byMs: number): TimeMark {
  return {
    monotonicMs: mark.monotonicMs + byMs,
    wallMs: mark.wallMs + byMs,
  };
}

/** Time between two marks by the clock that shows more. */
function elapsedMs(from: TimeMark, to: TimeMark): number {
  const runningMs = to.monotonicMs - from.monotonicMs;
  const elapsedWallMs = to.wallMs - from.wallMs;
  return elapsedWallMs > runningMs + wallClockToleranceMs
    ? elapsedWallMs
    : runningMs;
}

/** Creates an age without a confirmation. */
export function createConfigAge(clock: Clock): ConfigAge {
  let lastConfirmation: TimeMark | undefined;
  const now = (): TimeMark => ({
    monotonicMs: clock.nowMs(),
    wallMs: clock.wallMs(),
  });
  return {
    mark: now,
    confirmed: mark => {
      if (
        lastConfirmation === undefined ||
        mark.monotonicMs >= lastConfirmation.monotonicMs
      ) {
        lastConfirmation = mark;
      }
    },
    ageMs: () =>
      lastConfirmation === undefined
        ? Infinity
        : elapsedMs(lastConfirmation, now()),
    confirmedAfterMs: mark => {
      if (lastConfirmation === undefined) return -Infinity;
      return lastConfirmation.monotonicMs >= mark.monotonicMs
        ? lastConfirmation.monotonicMs - mark.monotonicMs
        : -elapsedMs(lastConfirmation, mark);
    },
  };
}
