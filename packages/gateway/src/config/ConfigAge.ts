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
    ageMs: () => {
      if (lastConfirmation === undefined) return Infinity;
      const {monotonicMs, wallMs} = now();
      const runningMs = monotonicMs - lastConfirmation.monotonicMs;
      const elapsedWallMs = wallMs - lastConfirmation.wallMs;
      return elapsedWallMs > runningMs + wallClockToleranceMs
        ? elapsedWallMs
        : runningMs;
    },
  };
}
