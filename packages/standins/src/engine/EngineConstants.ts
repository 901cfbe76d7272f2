/**
 * Defaults of the model engine stand-in.
 */

/** How an engine performs. */
export interface EngineProfile {
  /** Gap between tokens up to the knee. */
  readonly tokenGapMs: number;
  /** Running jobs past which the gap grows in proportion. */
  readonly kneeJobs: number;
  /** Jobs that run at the same time; more wait. */
  readonly batchLimit: number;
  /** Cost of one uncached prompt token. */
  readonly prefillMsPerToken: number;
  /** Size of the prefix cache in blocks of 256 characters. */
  readonly cacheBlocks: number;
  /** How long a cancelled or broken run can be resumed. */
  readonly resumeWindowMs: number;
  /** Age of the load report that answers carry. */
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

/** Priority of a request that names none. */
export const defaultPriority = 0;

/** Run records that an engine keeps. */
export const maxRunRecords = 200_000;
