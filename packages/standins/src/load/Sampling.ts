/**
 * Random sampling for load plans.
 */
import type {RandomSource} from '@toucanrouter/common';
import {invariant} from '@toucanrouter/common';

/** Samples a log-normal length, rounded and at least 1. */
export function sampleLength(
  random: RandomSource,
  median: number,
  spread: number,
): number {
  return Math.max(1, Math.round(median * Math.exp(spread * normal(random))));
}

/** Samples the standard normal distribution (Box-Muller). */
function normal(random: RandomSource): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  return radius * Math.cos(2 * Math.PI * random.next());
}

/** Samples the seconds until the next arrival of a Poisson process. */
export function sampleGap(random: RandomSource, ratePerSecond: number): number {
  return -Math.log(1 - random.next()) / ratePerSecond;
}

/** Picks an item with a probability proportional to its weight. */
export function pickWeighted<T extends {readonly weight: number}>(
  random: RandomSource,
  items: readonly T[],
): T {
  const total = items.reduce((sum, item) => sum + item.weight, 0);
  let remaining = random.next() * total;
  for (const item of items) {
    remaining -= item.weight;
    if (remaining < 0) return item;
  }
  const last = items[items.length - 1];
  invariant(last !== undefined, 'a weighted choice has items');
  return last;
}

/** Picks an item uniformly. */
export function pickOne<T>(random: RandomSource, items: readonly T[]): T {
  const item = items[Math.floor(random.next() * items.length)];
  invariant(item !== undefined, 'a choice has items');
  return item;
}
