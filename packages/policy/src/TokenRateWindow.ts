/**
 * Mean token gap of an upstream over a short sliding window: the time that its
 * jobs spent decoding divided by the tokens that they received. Unlike the gaps
 * between received tokens, it also grows while no token arrives.
 */
import {
  minExpectedTokens,
  minRateWindowMs,
  rateBucketCount,
  rateBucketMs,
} from './UpstreamTrackerConstants.js';

interface RateBucket {
  readonly index: number;
  jobMs: number;
  tokens: number;
}

/** Decoding measured within a window. */
export interface RateMeasurement {
  /** Time that jobs spent decoding, summed over all jobs. */
  readonly jobMs: number;
  readonly tokens: number;
  /** Decoding time per token; no token in the window counts as half a token. */
  readonly gapMs: number;
}

/** The sliding window of one upstream. */
export interface TokenRateWindow {
  add(jobMs: number, tokens: number, nowMs: number): void;
  /**
   * Returns the measurement of the shortest window that ends now and is long
   * enough, or undefined when there is none. `expectedGapMs` is the median gap
   * of the other upstreams, from which the expected number of tokens follows.
   */
  measure(
    nowMs: number,
    expectedGapMs: number | undefined,
    minWindowMs?: number,
  ): RateMeasurement | undefined;
}

/** Creates an empty window. */
export function createTokenRateWindow(): TokenRateWindow {
  const buckets: RateBucket[] = [];

  function currentBucket(nowMs: number): RateBucket {
    const index = Math.floor(nowMs / rateBucketMs);
    const newest = buckets.at(-1);
    if (newest !== undefined && newest.index >= index) return newest;
    const bucket: RateBucket = {index, jobMs: 0, tokens: 0};
    buckets.push(bucket);
    if (buckets.length > rateBucketCount) buckets.shift();
    return bucket;
  }

  function isLongEnough(
    jobMs: number,
    expectedGapMs: number | undefined,
  ): boolean {
    if (jobMs === 0) return false;
    if (expectedGapMs === undefined) return true;
    return jobMs >= expectedGapMs * minExpectedTokens;
  }

  function isRecent(nowMs: number): boolean {
    const newest = buckets.at(-1);
    if (newest === undefined) return false;
    return nowMs - newest.index * rateBucketMs <= minRateWindowMs;
  }

  return {
    add: (jobMs, tokens, nowMs) => {
      const bucket = currentBucket(nowMs);
      bucket.jobMs += jobMs;
      bucket.tokens += tokens;
    },
    measure: (nowMs, expectedGapMs, minWindowMs = minRateWindowMs) => {
      // Decoding that ended earlier does not describe the current rate.
      if (!isRecent(nowMs)) return undefined;
      const oldest = nowMs - rateBucketCount * rateBucketMs;
      let jobMs = 0;
      let tokens = 0;
      for (let i = buckets.length - 1; i >= 0; i--) {
        const bucket = buckets[i]!;
        const startMs = bucket.index * rateBucketMs;
        if (startMs < oldest) break;
        jobMs += bucket.jobMs;
        tokens += bucket.tokens;
        if (nowMs - startMs < minWindowMs) continue;
        if (isLongEnough(jobMs, expectedGapMs)) {
          return {jobMs, tokens, gapMs: jobMs / Math.max(tokens, 0.5)};
        }
      }
      return undefined;
    },
  };
}
