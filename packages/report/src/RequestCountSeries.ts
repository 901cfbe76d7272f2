/**
 * Counts good and bad requests in time buckets. Buckets start at multiples of
 * their length in wall time, so that counts of several instances can be merged.
 */
import type {BurnPoint} from '@toucanrouter/common';

/** Length of a time bucket. */
export const countBucketMs = 60_000;

/** The counts of each bucket; serializable as JSON. */
export type RequestCountSnapshot = readonly (readonly [
  startWallMs: number,
  good: number,
  bad: number,
])[];

/** Counts good and bad requests by time. */
export interface RequestCountSeries {
  add(good: boolean, wallMs: number): void;
  snapshot(wallMs: number): RequestCountSnapshot;
  /** Sums all retained buckets. */
  totals(wallMs: number): RequestTotals;
}

interface CountBucket {
  good: number;
  bad: number;
}

/** Creates a series that drops buckets older than `retentionMs`. */
export function createRequestCountSeries(
  retentionMs: number,
): RequestCountSeries {
  const buckets = new Map<number, CountBucket>();

  function prune(wallMs: number): void {
    for (const start of buckets.keys()) {
      if (start + countBucketMs + retentionMs <= wallMs) buckets.delete(start);
    }
  }

  function addBucket(start: number, wallMs: number): CountBucket {
    prune(wallMs);
    const bucket = {good: 0, bad: 0};
    buckets.set(start, bucket);
    return bucket;
  }

  return {
    add: (good, wallMs) => {
      const start = wallMs - (wallMs % countBucketMs);
      const bucket = buckets.get(start) ?? addBucket(start, wallMs);
      if (good) bucket.good++;
      else bucket.bad++;
    },
    snapshot: wallMs => {
      prune(wallMs);
      return toSnapshot(buckets);
    },
    totals: wallMs => {
      prune(wallMs);
      const totals = {good: 0, bad: 0};
      for (const {good, bad} of buckets.values()) {
        totals.good += good;
        totals.bad += bad;
      }
      return totals;
    },
  };
}

function toSnapshot(
  buckets: ReadonlyMap<number, CountBucket>,
): RequestCountSnapshot {
  return [...buckets]
    .sort(([a], [b]) => a - b)
    .map(([start, {good, bad}]) => [start, good, bad] as const);
}

/** Merges several series by adding the counts of equal buckets. */
export function mergeRequestCounts(
  counts: readonly RequestCountSnapshot[],
): RequestCountSnapshot {
  const buckets = new Map<number, CountBucket>();
  for (const [start, good, bad] of counts.flat()) {
    const bucket = buckets.get(start) ?? {good: 0, bad: 0};
    bucket.good += good;
    bucket.bad += bad;
    buckets.set(start, bucket);
  }
  return toSnapshot(buckets);
}

/** Number of good and bad requests in a time span. */
export interface RequestTotals {
  readonly good: number;
  readonly bad: number;
}

/** Sums the buckets that ended after `fromWallMs`. */
export function sumSince(
  counts: RequestCountSnapshot,
  fromWallMs: number,
): RequestTotals {
  const recent = counts.filter(([start]) => start + countBucketMs > fromWallMs);
  return {
    good: recent.reduce((sum, [, good]) => sum + good, 0),
    bad: recent.reduce((sum, [, , bad]) => sum + bad, 0),
  };
}

/** Converts counts to the points of a plot. */
export function toBurnPoints(
  counts: RequestCountSnapshot,
): readonly BurnPoint[] {
  return counts.map(([startWallMs, good, bad]) => ({startWallMs, good, bad}));
}
