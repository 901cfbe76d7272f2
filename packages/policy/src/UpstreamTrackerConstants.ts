/**
 * Parameters of the upstream tracker.
 */
import type {Tier} from '@toucanrouter/common';

/** What an operator of the code, not of the system, may vary. */
export interface UpstreamTrackerParameters {
  /** Jobs that an upstream may hold before anything is known about it. */
  readonly initialLimit: number;
  /**
   * Latency does not depend on the number of jobs below a few, so that a lower
   * limit would cost throughput and gain nothing.
   */
  readonly minLimit: number;
  readonly maxLimit: number;
  /** Limits are adjusted once per interval. */
  readonly controlIntervalMs: number;
  /** Below this share of the tightest target a limit in use grows. */
  readonly growBelowPressure: number;
  /** Above this share of the tightest target a limit shrinks. */
  readonly shrinkAbovePressure: number;
  /** Smallest factor of one decrease. */
  readonly minDecreaseFactor: number;
  /** Share by which a tier may exceed the limit, so that it need not wait. */
  readonly headroomByTier: Readonly<Record<Tier, number>>;
  /** Targets keep counting for this long after a job with them started. */
  readonly targetRetentionMs: number;
  /** An upstream this many times slower than the others' median is suspect. */
  readonly suspectGapFactor: number;
  /** The same for the time to the first token or of a plain call. */
  readonly suspectFirstTokenFactor: number;
  /** Below this factor of the median a suspect counts as recovered. */
  readonly recoveredFactor: number;
  /** Differences in token gap below this are noise. */
  readonly minGapExcessMs: number;
  /** Differences in first-token time below this are noise. */
  readonly minFirstTokenExcessMs: number;
  /** Failures in a row after which an upstream is suspect. */
  readonly suspectFailures: number;
  /** Share of a shard that may be suspect for slowness at once. */
  readonly maxSuspectShare: number;
  /** Time before a suspect is probed; doubles with each failed probe. */
  readonly probeDelayMs: number;
  readonly maxProbeDelayMs: number;
  /** Time of good decoding, or of good calls, that ends a probe. */
  readonly requiredProbeSuccessMs: number;
  /** Without a probe for this long the next higher tier may probe as well. */
  readonly probeWidenIntervalMs: number;
}

/** Parameters for everyday use. */
export const defaultUpstreamTrackerParameters: UpstreamTrackerParameters = {
  initialLimit: 8,
  minLimit: 4,
  maxLimit: 64,
  controlIntervalMs: 500,
  growBelowPressure: 0.85,
  shrinkAbovePressure: 1,
  minDecreaseFactor: 0.7,
  headroomByTier: {1: 0.25, 2: 0.1, 3: 0, 4: 0},
  targetRetentionMs: 30_000,
  suspectGapFactor: 3,
  suspectFirstTokenFactor: 4,
  recoveredFactor: 1.7,
  minGapExcessMs: 20,
  minFirstTokenExcessMs: 200,
  suspectFailures: 2,
  maxSuspectShare: 0.4,
  probeDelayMs: 1000,
  maxProbeDelayMs: 8000,
  requiredProbeSuccessMs: 500,
  probeWidenIntervalMs: 1000,
};

/** Least time between two judgements of a shard. */
export const assessmentIntervalMs = 50;

/** Width of one bucket of the token rate window. */
export const rateBucketMs = 100;

/** Buckets kept; the window reaches back further while tokens are few. */
export const rateBucketCount = 10;

/** Shortest window over which a token gap is judged. */
export const minRateWindowMs = 300;

/** Shortest window over which a limit is adjusted. */
export const limitWindowMs = 500;

/** Latencies older than this say nothing about the present load. */
export const maxLatencyAgeMs = 2000;

/** Tokens expected in a window before it is long enough. */
export const minExpectedTokens = 6;

/**
 * Longest time between two samples of a job that counts. A longer one says
 * that the holder was paused, not that the upstream was slow.
 */
export const maxSampleIntervalMs = 500;

/** Prompt tokens that double the expected time to the first token. */
export const promptTokensPerUnit = 1000;

/** Largest share of a target that one call contributes to the average. */
export const maxLatencyShare = 3;

/**
 * How much slower than remembered values of idle upstreams counts as slow,
 * relative to a comparison with busy ones: a batch slows down as it grows.
 */
export const idleReferenceFactor = 2;

/** Weight of the newest value in moving averages. */
export const movingAverageWeight = 0.3;

/** Upstreams whose leaving is remembered after they left the list. */
export const maxLeavingEntries = 4096;

/** Share of jobs that may miss their token gap target because of its variation. */
export const toleratedMissShare = 0.002;

/** Decrease of the target margin after a miss. */
export const marginShrinkStep = 0.02;

/** Least time between two decreases of the target margin. */
export const marginShrinkIntervalMs = 500;

/** The mean token gap may always reach this share of the target. */
export const minMargin = 0.5;
