/**
 * Requests a second of each tier, averaged over the last seconds.
 */

/** Measures the demand for one service at one instance. */
export interface TierDemand {
  record(tier: number, nowMs: number): void;
  /** Requests a second by tier, the most urgent first. */
  perS(nowMs: number): readonly number[];
}

const halfLifeMs = 5_000;
const msPerSecond = 1_000;
/** Less urgent tiers count as one. */
export const maxDemandTiers = 8;

/** Creates a measurement without requests. */
export function createTierDemand(): TierDemand {
  let counts: readonly number[] = [];
  let decayedAtMs = 0;

  function decay(nowMs: number): void {
    const factor = 0.5 ** (Math.max(0, nowMs - decayedAtMs) / halfLifeMs);
    counts = counts.map(count => count * factor);
    decayedAtMs = Math.max(decayedAtMs, nowMs);
  }

  return {
    record: (tier, nowMs) => {
      decay(nowMs);
      const index = Math.min(Math.max(0, tier), maxDemandTiers - 1);
      const length = Math.max(counts.length, index + 1);
      counts = Array.from(
        {length},
        (_, each) => (counts[each] ?? 0) + (each === index ? 1 : 0),
      );
    },
    perS: nowMs => {
      decay(nowMs);
      const perCount = (Math.LN2 / halfLifeMs) * msPerSecond;
      return counts.map(count => count * perCount);
    },
  };
}
