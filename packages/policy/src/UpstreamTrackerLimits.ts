/**
 * Adaptive concurrency limit of one upstream: additive increase while its jobs
 * meet their targets, multiplicative decrease when they do not.
 */
import type {Tier} from '@toucanrouter/common';
import type {UpstreamTrackerParameters} from './UpstreamTrackerConstants.js';

/** Limit of an upstream that has just recovered. */
const restartLimit = 2;

/** The limit of one upstream. */
export interface ConcurrencyLimit {
  /** Jobs at which no further job of `tier` is accepted. */
  forTier(tier: Tier): number;
  /**
   * Adjusts the limit, at most once per control interval. `pressure` is the
   * observed latency as a share of the tightest target, or undefined when no
   * latency was observed.
   */
  adjust(pressure: number | undefined, inFlight: number, nowMs: number): void;
  /** Restarts from a small limit that grows quickly to the previous one. */
  restart(): void;
}

/** Creates a limit at its initial value. */
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
    // The latency of a limit that is not in use does not justify a higher one.
    if (inFlight < Math.floor(limit)) return;
    const step = pressure < parameters.growBelowPressure / 2 ? 2 : 1;
    const isRamp = limit < rampTarget;
    limit = clamp(isRamp ? Math.min(rampTarget, limit * 2) : limit + step);
  }

  function shrink(pressure: number, inFlight: number): void {
    // While jobs above the limit are running, an earlier decrease has not taken
    // full effect. Jobs within the headroom of the highest tier may stay.
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
