/**
 * Exponential decay of old observations.
 */

/** Returns the share of a value that is left after `elapsedMs`, from 0 to 1. */
export function decayFactor(elapsedMs: number, halfLifeMs: number): number {
  return 0.5 ** (Math.max(0, elapsedMs) / halfLifeMs);
}
