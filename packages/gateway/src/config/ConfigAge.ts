/**
 * Time since the store last confirmed the configuration in force. Revoked keys
 * must stop working within a bound even on an instance that was suspended or
 * lost its network, so the age includes time during which the process did not
 * run.
 */
import type {Clock, TimeMark} from '@toucanrouter/common';
import {elapsedBetween, markNow} from '@toucanrouter/common';

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

/** Creates an age without a confirmation. */
export function createConfigAge(clock: Clock): ConfigAge {
  let lastConfirmation: TimeMark | undefined;
  const now = () => markNow(clock);
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
        : elapsedBetween(lastConfirmation, now()),
    confirmedAfterMs: mark => {
      if (lastConfirmation === undefined) return -Infinity;
      return lastConfirmation.monotonicMs >= mark.monotonicMs
        ? lastConfirmation.monotonicMs - mark.monotonicMs
        : -elapsedBetween(lastConfirmation, mark);
    },
  };
}
