/**
 * Parameters and constants of the upstream tracker.
 */
import type {Tier} from '@toucanrouter/common';

/** Parameters that code may override. They are not settings for operators. */
export interface UpstreamTrackerParameters {
  /** Limit of an upstream without observations. */
  readonly initialLimit: number;
  /**
   * Smallest limit. Latency does not depend on the number of jobs while there
   * are only a few, so a lower limit would cost throughput and gain nothing.
   */
  readonly minLimit: number;
  readonly maxLimit: number;
  /** Interval at which limits are adjusted. */
  readonly controlIntervalMs: number;
  /** Share of the tightest target below which a limit in use grows. */
  readonly growBelowPressure: number;
  /** Share of the tightest target above which a limit shrinks. */
  readonly shrinkAbovePressure: number;
  /** Smallest factor that one decrease multiplies a limit by. */
  readonly minDecreaseFactor: number;
  /** Share by which a tier may exceed the limit, so that it does not wait. */
  readonly headroomByTier: Readonly<Record<Tier, number>>;
  /** Time for which a target applies after the last job with it started. */
  readonly targetRetentionMs: number;
  /**
   * Token gap, relative to the median of the other upstreams, above which an
   * upstream is suspect.
   */
  readonly suspectGapFactor: number;
  /** The same for the time to first token, or for the time of a plain call. */
  readonly suspectFirstTokenFactor: number;
  /** Latency relative to the median below which a suspect has recovered. */
  readonly recoveredFactor: number;
  /** Differences in token gap below this value are noise. */
  readonly minGapExcessMs: number;
  /** Differences in time to first token below this value are noise. */
  readonly minFirstTokenExcessMs: number;
  /** Consecutive failures after which an upstream is suspect. */
  readonly suspectFailures: number;
  /** Share of a shard that may be suspect because of its latency at once. */
  readonly maxSuspectShare: number;
  /** Time before a suspect is probed, which doubles with each failed probe. */
  readonly probeDelayMs: number;
  readonly maxProbeDelayMs: number;
  /** Decoding time after which a probe succeeds; a completed job suffices. */
  readonly requiredProbeSuccessMs: number;
  /** Time without a probe after which the next higher tier may probe too. */
  readonly probeWidenIntervalMs: number;
}

/** Default parameters. */
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

/** Shortest interval between two assessments of a shard. */
export const assessmentIntervalMs = 50;

/** Width of one bucket of the token rate window. */
export const rateBucketMs = 100;

/** Buckets kept. The window extends over more of them while tokens are few. */
export const rateBucketCount = 10;

/** Shortest window over which a token gap is compared. */
export const minRateWindowMs = 300;

/** Shortest window over which a limit is adjusted. */
export const limitWindowMs = 500;

/** Age above which a latency does not describe the current load. */
export const maxLatencyAgeMs = 2000;

/** Expected tokens for which a rate window is long enough to compare gaps. */
export const minExpectedTokens = 6;

/**
 * Longest usable interval between two samples of a job. A longer one means that
 * the holder was paused, not that the upstream was slow.
 */
export const maxSampleIntervalMs = 500;

/** Prompt tokens that double the time to first token of an empty prompt. */
export const promptTokensPerUnit = 1000;

/** Cap of the share of a target that one call adds to the average. */
export const maxLatencyShare = 3;

/**
 * Factor on the suspect threshold when the reference was measured before the
 * other upstreams became idle: decoding slows down as a batch grows.
 */
export const idleReferenceFactor = 2;

/** Weight of the newest value in a moving average. */
export const smoothingFactor = 0.3;

/** Leaving upstreams that are kept after they were removed from the list. */
export const maxLeavingEntries = 4096;

/** Share of jobs that may miss their token gap target, as gaps vary. */
export const toleratedMissShare = 0.002;

/** Decrease of the target margin after a miss. */
export const marginShrinkStep = 0.02;

/** Shortest interval between two decreases of the target margin. */
export const marginShrinkIntervalMs = 500;

/** Share of the target that the mean token gap may always reach. */
export const minMargin = 0.5;
