/**
 * Latency histograms with exponential buckets. The buckets are the same on all
 * instances, so merging adds counts without loss of precision.
 */
import type {LatencyBucket, LatencyQuantiles} from '@toucanrouter/common';

/** Ratio of adjacent bucket bounds; quantiles are at most 5% too high. */
const bucketGrowth = 1.05;
const logBucketGrowth = Math.log(bucketGrowth);
/** The last bucket also counts all latencies above one day. */
const lastBucketIndex = Math.ceil(Math.log(86_400_000) / logBucketGrowth);

/** Counts by bucket index, sorted by index; serializable as JSON. */
export type HistogramSnapshot = readonly (readonly [
  index: number,
  count: number,
])[];

/** Counts latencies. */
export interface LatencyHistogram {
  record(latencyMs: number): void;
  snapshot(): HistogramSnapshot;
}

/** Creates an empty histogram; empty buckets take no memory. */
export function createLatencyHistogram(): LatencyHistogram {
  const counts = new Map<number, number>();
  return {
    record: latencyMs => {
      const index = bucketIndexOf(latencyMs);
      counts.set(index, (counts.get(index) ?? 0) + 1);
    },
    snapshot: () => sortedEntries(counts),
  };
}

/** Bucket 0 counts latencies up to 1 ms. */
function bucketIndexOf(latencyMs: number): number {
  if (!(latencyMs > 1)) return 0;
  return Math.min(
    lastBucketIndex,
    Math.ceil(Math.log(latencyMs) / logBucketGrowth),
  );
}

function upperBoundMs(index: number): number {
  return bucketGrowth ** index;
}

function sortedEntries(counts: ReadonlyMap<number, number>): HistogramSnapshot {
  return [...counts].sort(([a], [b]) => a - b);
}

/** Merges histograms by adding the counts of equal buckets. */
export function mergeHistograms(
  histograms: readonly HistogramSnapshot[],
): HistogramSnapshot {
  const counts = new Map<number, number>();
  for (const [index, count] of histograms.flat()) {
    counts.set(index, (counts.get(index) ?? 0) + count);
  }
  return sortedEntries(counts);
}

/** Returns the upper bound of the bucket of a quantile; 0 when empty. */
export function quantileMs(
  histogram: HistogramSnapshot,
  fraction: number,
): number {
  const rank = Math.ceil(totalCount(histogram) * fraction);
  let cumulativeCount = 0;
  for (const [index, count] of histogram) {
    cumulativeCount += count;
    if (cumulativeCount >= rank) return upperBoundMs(index);
  }
  return 0;
}

function totalCount(histogram: HistogramSnapshot): number {
  return histogram.reduce((sum, [, count]) => sum + count, 0);
}

/** Returns the quantiles of the burn report. */
export function toQuantiles(histogram: HistogramSnapshot): LatencyQuantiles {
  return {
    count: totalCount(histogram),
    p50Ms: quantileMs(histogram, 0.5),
    p95Ms: quantileMs(histogram, 0.95),
    p99Ms: quantileMs(histogram, 0.99),
  };
}

/** Converts bucket indexes to upper bounds. */
export function toLatencyBuckets(
  histogram: HistogramSnapshot,
): readonly LatencyBucket[] {
  return histogram.map(([index, count]) => ({
    upToMs: upperBoundMs(index),
    count,
  }));
}
