/**
 * When a refused caller should come back. Returns are spread, so that the
 * callers of one burst do not return as another; callers of urgent classes
 * come back sooner. Callers that are refused for load come back when what waits
 * at the upstreams may be done.
 */
import type {RandomSource} from '@toucanrouter/common';

/** What the delay depends on. */
export interface RetryDelayOptions {
  readonly tier: number;
  readonly targetLatencyMs: number;
  /** Time until the upstreams may have done what waits there; 0 if unknown. */
  readonly backlogMs: number;
  /** How long the caller still waits. */
  readonly remainingMs: number;
  readonly random: RandomSource;
}

const minRetryDelayMs = 100;
/** Part of the target after which the most urgent class may come back. */
const baseTargetShare = 0.3;
/** Each further tier waits longer by this share of the first one's delay. */
const delayIncreasePerTier = 0.5;
/** Callers follow the delay up to a third of the time that they have left. */
const maxRemainingShare = 0.3;

/** Delay until a refused caller should come back, in milliseconds. */
export function retryDelayMs(options: RetryDelayOptions): number {
  const baseMs = Math.max(
    minRetryDelayMs,
    options.backlogMs,
    options.targetLatencyMs *
      baseTargetShare *
      (1 + delayIncreasePerTier * options.tier),
  );
  const jitteredMs = baseMs * (0.5 + options.random.next());
  return Math.max(
    0,
    Math.min(jitteredMs, options.remainingMs * maxRemainingShare),
  );
}
