/**
 * Types of the burn report, which shows how fast classes use up their error
 * budgets. The administration API returns it; the command-line tool renders it.
 */
import type {ClassId, InstanceId, WorkspaceId} from './Ids.js';
import type {LatencyTarget, Tier} from './ServiceClasses.js';

/** An instance that contributed counts. They are lost when it stops. */
export interface ReportSource {
  readonly instanceId: InstanceId;
  /** When the instance started to count. */
  readonly sinceWallMs: number;
}

/** Latency quantiles as bucket bounds, which are at most 5% too high. */
export interface LatencyQuantiles {
  readonly count: number;
  readonly p50Ms: number;
  readonly p95Ms: number;
  readonly p99Ms: number;
}

/** A histogram bucket of latencies, for plots. */
export interface LatencyBucket {
  /** Upper bound of the bucket. */
  readonly upToMs: number;
  readonly count: number;
}

/** Number of requests that met and missed their target in a time bucket. */
export interface BurnPoint {
  readonly startWallMs: number;
  readonly good: number;
  readonly bad: number;
}

/**
 * Alarm of a class. `page` and `ticket` mean that the burn rates of both
 * windows reach the threshold of that alarm.
 */
export type BurnAlarm = 'none' | 'page' | 'ticket';

/** Burn rate of a workspace within a class over the long window. */
export interface WorkspaceBurn {
  readonly workspaceId: WorkspaceId;
  readonly requests: number;
  readonly bad: number;
  readonly burnRate: number;
}

/** Error budget, burn rates and latencies of a class. */
export interface ClassBurn {
  readonly classId: ClassId;
  readonly tier: Tier;
  readonly target: LatencyTarget;
  /** Requests within the budget period. */
  readonly requests: number;
  readonly bad: number;
  /** Share of requests that met the target; 1 without requests. */
  readonly attainment: number;
  readonly shortBurnRate: number;
  readonly longBurnRate: number;
  /** Share of the error budget that is left; negative once overspent. */
  readonly budgetRemaining: number;
  /** Absent when the budget does not run out at the long window's rate. */
  readonly exhaustedInMs?: number;
  readonly alarm: BurnAlarm;
  readonly firstToken: LatencyQuantiles;
  readonly tokenGap: LatencyQuantiles;
  readonly total: LatencyQuantiles;
  readonly totalBuckets: readonly LatencyBucket[];
  readonly points: readonly BurnPoint[];
  readonly worstWorkspace?: WorkspaceBurn;
  /** Sorted by burn rate, highest first. */
  readonly workspaces: readonly WorkspaceBurn[];
}

/** The burn report, merged over all instances that responded. */
export interface BurnReport {
  readonly generatedAtWallMs: number;
  /** Share of requests that must meet the target, such as 0.99. */
  readonly objective: number;
  readonly budgetPeriodMs: number;
  readonly shortWindowMs: number;
  readonly longWindowMs: number;
  readonly sources: readonly ReportSource[];
  /** Sorted by tier, highest first. */
  readonly classes: readonly ClassBurn[];
}
