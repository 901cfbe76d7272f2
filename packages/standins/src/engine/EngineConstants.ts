/**
 * Performance profile and limits of the model engine stand-in.
 */

/** Performance characteristics of an engine. */
export interface EngineProfile {
  /** Gap between tokens while at most `kneeJobs` jobs run. */
  readonly tokenGapMs: number;
  /** Number of running jobs above which the token gap grows in proportion. */
  readonly kneeJobs: number;
  /** Maximum number of running jobs; further jobs wait. */
  readonly batchLimit: number;
  /** Prefill time of one uncached prompt token. */
  readonly prefillMsPerToken: number;
  /** Capacity of the prefix cache in blocks of 256 characters. */
  readonly cacheBlocks: number;
  /** Time during which a cancelled, broken or finished run can be resumed. */
  readonly resumeWindowMs: number;
  /**
   * Refresh interval, and so the maximum age, of the load report in responses.
   */
  readonly loadReportLagMs: number;
}

export const defaultEngineProfile: EngineProfile = {
  tokenGapMs: 20,
  kneeJobs: 8,
  batchLimit: 16,
  prefillMsPerToken: 0.05,
  cacheBlocks: 4096,
  resumeWindowMs: 15_000,
  loadReportLagMs: 1000,
};

/** Priority of a request that specifies none. */
export const defaultPriority = 0;

/** Maximum number of run records in memory; the oldest are dropped first. */
export const maxRunRecords = 200_000;
