/**
 * How long ago the store was known to hold the configuration in force. Keys
 * that were revoked must stop working within a bound even on an instance that
 * was suspended or cut off, so the age counts time during which the process
 * did not run.
 */
import type {Clock} from '@toucanrouter/common';

/** Age of the configuration in force. */
export interface ConfigAge {
  /** Marks the present, for a later call of `confirmed`. */
  mark(): TimeMark;
  /** The configuration in force was the newest at `mark` or later. */
  confirmed(mark: TimeMark): void;
  /** Age in milliseconds; infinite before the first confirmation. */
  ageMs(): number;
}

/** A point in time on both clocks. */
export interface TimeMark {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/**
 * Small steps of the time of day come from its synchronization with other
 * machines; larger ones may be a suspension that the monotonic clock missed.
 */
const wallClockToleranceMs = 200;

/** Creates an age that has not been confirmed. */
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
