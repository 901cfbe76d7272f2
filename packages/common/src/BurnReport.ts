/**
 * The service-level burn report, as the administration API returns it and the
 * command-line tool shows it.
 */
import type {ClassId, InstanceId, WorkspaceId} from './Ids.js';
import type {LatencyTarget, Tier} from './ServiceClasses.js';

/** Since when an instance counts; its counts are lost when it ends. */
export interface ReportSource {
  readonly instanceId: InstanceId;
  readonly sinceWallMs: number;
}

/** Quantiles of one latency; the bucket bounds make them at most 5% high. */
export interface LatencyQuantiles {
  readonly count: number;
  readonly p50Ms: number;
  readonly p95Ms: number;
  readonly p99Ms: number;
}

/** Latencies in buckets, for plots: upper bound and count. */
export interface LatencyBucket {
  readonly upToMs: number;
  readonly count: number;
}

/** Requests that met and missed their target within one time bucket. */
export interface BurnPoint {
  readonly startWallMs: number;
  readonly good: number;
  readonly bad: number;
}

/**
 * How fast a class uses up its error budget: `page` and `ticket` mean that both
 * windows exceed the burn rate of that alarm.
 */
export type BurnAlarm = 'none' | 'page' | 'ticket';

/** Burn of one workspace within a class, over the long window. */
export interface WorkspaceBurn {
  readonly workspaceId: WorkspaceId;
  readonly requests: number;
  readonly bad: number;
  readonly burnRate: number;
}

/** Burn of one class. */
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
  /** By burn rate, highest first. */
  readonly workspaces: readonly WorkspaceBurn[];
}

/** The burn report of all instances that were asked. */
export interface BurnReport {
  readonly generatedAtWallMs: number;
  /** Share of requests that must meet the target, such as 0.99. */
  readonly objective: number;
  readonly budgetPeriodMs: number;
  readonly shortWindowMs: number;
  readonly longWindowMs: number;
  readonly sources: readonly ReportSource[];
  /** By tier, highest first. */
  readonly classes: readonly ClassBurn[];
}
