/**
 * Concurrency limit of one upstream: additive increase while what runs on it
 * stays within its targets, multiplicative decrease when it does not.
 */
import type {Tier} from '@toucanrouter/common';
import type {UpstreamTrackerParameters} from './UpstreamTrackerConstants.js';

/** Limit with which a restored upstream starts. */
const restartLimit = 2;

/** The limit of one upstream. */
export interface ConcurrencyLimit {
  /** Jobs that may run before one more of `tier` is refused. */
  forTier(tier: Tier): number;
  /**
   * Adjusts the limit, at most once per control interval. `pressure` is the
   * observed latency as a share of the tightest target, undefined when nothing
   * was observed.
   */
  adjust(pressure: number | undefined, inFlight: number, nowMs: number): void;
  /** Starts again from a small limit that grows quickly to the former one. */
  restart(): void;
}

/** Creates a limit at its safe initial value. */
export function createConcurrencyLimit(
  parameters: UpstreamTrackerParameters,
): ConcurrencyLimit {
  let limit = parameters.initialLimit;
  let rampTarget = 0;
  let adjustedAtMs: number | undefined;

  function clamp(value: number): number {
    return Math.min(parameters.maxLimit, Math.max(parameters.minLimit, value));
  }

  function grow(pressure: number, inFlight: number): void {
    // A limit that is not in use says nothing about a higher one.
    if (inFlight < Math.floor(limit)) return;
    const step = pressure < parameters.growBelowPressure / 2 ? 2 : 1;
    const isRamp = limit < rampTarget;
    limit = clamp(isRamp ? Math.min(rampTarget, limit * 2) : limit + step);
  }

  function shrink(pressure: number, inFlight: number): void {
    // Until the jobs above the limit have ended, an earlier decrease has not
    // taken full effect. Jobs in the headroom of the highest tier stay above it.
    if (inFlight > forTier(1)) return;
    const factor = Math.max(parameters.minDecreaseFactor, 1 / pressure);
    limit = clamp(Math.min(limit, Math.max(inFlight, 1)) * factor);
    rampTarget = 0;
  }

  function forTier(tier: Tier): number {
    const headroom = limit * parameters.headroomByTier[tier];
    return Math.floor(limit) + Math.ceil(headroom);
  }

  return {
    forTier,
    adjust: (pressure, inFlight, nowMs) => {
      adjustedAtMs ??= nowMs;
      if (nowMs - adjustedAtMs < parameters.controlIntervalMs) return;
      adjustedAtMs = nowMs;
      if (pressure === undefined) return;
      if (pressure > parameters.shrinkAbovePressure) shrink(pressure, inFlight);
      else if (pressure < parameters.growBelowPressure)
        grow(pressure, inFlight);
    },
    restart: () => {
      rampTarget = Math.max(rampTarget, limit);
      limit = restartLimit;
    },
  };
}
