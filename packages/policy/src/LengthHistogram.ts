/**
 * A histogram of lengths in buckets whose width grows by a constant factor. It
 * uses fixed memory, and the weight of old lengths decays.
 */
import {
  bucketCount,
  bucketsPerDoubling,
  maxSampleCount,
} from './LengthModelConstants.js';

/** Streaming quantiles of one set of lengths. */
export interface LengthHistogram {
  /** Sum of the bucket counts; halved whenever it reaches `maxSampleCount`. */
  sampleCount(): number;
  add(tokens: number): void;
  quantile(fraction: number): number;
}

function bucketOf(tokens: number): number {
  const bucket = Math.floor(
    Math.log2(Math.max(1, tokens)) * bucketsPerDoubling,
  );
  return Math.min(bucketCount - 1, bucket);
}

function valueAt(position: number): number {
  return 2 ** (position / bucketsPerDoubling);
}

/** Creates an empty histogram. */
export function createLengthHistogram(): LengthHistogram {
  const counts = new Float32Array(bucketCount);
  let total = 0;

  function halve(): void {
    total = 0;
    for (let i = 0; i < bucketCount; i++) {
      counts[i] = counts[i]! / 2;
      total += counts[i]!;
    }
  }

  function quantile(fraction: number): number {
    const targetCount = Math.min(1, Math.max(0, fraction)) * total;
    let cumulative = 0;
    let lastBucket = 0;
    for (let i = 0; i < bucketCount; i++) {
      const count = counts[i]!;
      if (count === 0) continue;
      if (cumulative + count >= targetCount) {
        return valueAt(i + (targetCount - cumulative) / count);
      }
      cumulative += count;
      lastBucket = i;
    }
    return valueAt(lastBucket + 1);
  }

  return {
    sampleCount: () => total,
    add: tokens => {
      const bucket = bucketOf(tokens);
      counts[bucket] = counts[bucket]! + 1;
      total += 1;
      if (total >= maxSampleCount) halve();
    },
    quantile,
  };
}
