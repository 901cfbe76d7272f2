/**
 * An exponentially weighted moving average with the time of its last update.
 */
import {smoothingFactor} from './UpstreamTrackerConstants.js';

/** A moving average. */
export interface MovingAverage {
  add(value: number, nowMs: number): void;
  /** The average, or undefined before the first value. */
  value(): number | undefined;
  /** The average, or undefined when the last value is older than `maxAgeMs`. */
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
          : average + smoothingFactor * (value - average);
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
