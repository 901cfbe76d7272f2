/**
 * Computes the `Retry-After` delay of a refused request. Delays have jitter, so
 * that the callers of a burst do not retry in another burst. Urgent classes get
 * shorter delays. Requests refused for load are retried when the backlog of the
 * upstreams may be processed, and requests refused because all upstreams pause
 * once the first pause has ended.
 */
import type {RandomSource} from '@toucanrouter/common';

/** The values that the delay depends on. */
export interface RetryDelayOptions {
  readonly tier: number;
  readonly targetLatencyMs: number;
  /** Estimated time to process the upstreams' backlog; 0 if unknown. */
  readonly backlogMs: number;
  /** Time until the caller's deadline. */
  readonly remainingMs: number;
  readonly random: RandomSource;
}

const minRetryDelayMs = 100;
/** Delay of the most urgent tier, as a share of the target latency. */
const baseTargetShare = 0.3;
/** Increase of the delay with each tier, relative to the first tier. */
const delayIncreasePerTier = 0.5;
/** Callers respect a delay of up to a third of their remaining time. */
const maxRemainingShare = 0.3;

type ClassOptions = Pick<RetryDelayOptions, 'targetLatencyMs' | 'tier'>;

function minClassDelayMs({targetLatencyMs, tier}: ClassOptions): number {
  return Math.max(
    minRetryDelayMs,
    targetLatencyMs * baseTargetShare * (1 + delayIncreasePerTier * tier),
  );
}

/**
 * Returns the time after which a caller should retry that was refused because
 * all upstreams pause for `pauseMs` at least. An earlier retry would be in vain,
 * so the jitter only adds to it.
 */
export function pausedRetryDelayMs(
  pauseMs: number,
  options: ClassOptions & Pick<RetryDelayOptions, 'random'>,
): number {
  return Math.ceil(pauseMs + options.random.next() * minClassDelayMs(options));
}

/** Returns the time after which a refused caller should retry. */
export function retryDelayMs(options: RetryDelayOptions): number {
  const baseMs = Math.max(options.backlogMs, minClassDelayMs(options));
  const jitteredMs = baseMs * (0.5 + options.random.next());
  return Math.max(
    0,
    Math.min(jitteredMs, options.remainingMs * maxRemainingShare),
  );
}
