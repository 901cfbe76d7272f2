/**
 * An exponentially weighted average that remembers when it was last updated.
 */
import {movingAverageWeight} from './UpstreamTrackerConstants.js';

/** An average of the latest values. */
export interface MovingAverage {
  add(value: number, nowMs: number): void;
  /** The average, undefined before the first value. */
  value(): number | undefined;
  /** The average if a value came within `maxAgeMs`. */
  recent(nowMs: number, maxAgeMs: number): number | undefined;
  reset(): void;
}

/** Creates an average without values. */
export function createMovingAverage(): MovingAverage {
  let average: number | undefined;
  let updatedAtMs = 0;

  return {
    add: (value, nowMs) => {
      average =
        average === undefined
          ? value
          : average + movingAverageWeight * (value - average);
      updatedAtMs = nowMs;
    },
    value: () => average,
    recent: (nowMs, maxAgeMs) =>
      nowMs - updatedAtMs <= maxAgeMs ? average : undefined,
    reset: () => {
      average = undefined;
    },
  };
}
