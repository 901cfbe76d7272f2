/**
 * Judges the upstreams of one shard by what entry instances see of them: how
 * much work each may hold, and which are stragglers.
 */
import type {
  ClassId,
  LatencyTarget,
  PermitId,
  PermitRelease,
  ProgressSample,
  Tier,
  UpstreamId,
  UpstreamInfo,
  UpstreamState,
} from '@toucanrouter/common';

/** A job that starts on an upstream. */
export interface JobStart {
  readonly permitId: PermitId;
  readonly upstreamId: UpstreamId;
  readonly classId: ClassId;
  readonly tier: Tier;
  readonly target: LatencyTarget;
  readonly promptTokens: number;
}

/** State of the upstreams of one shard. */
export interface UpstreamTracker {
  /** Replaces the list; "leaving" is never reversed for an incarnation. */
  setUpstreams(upstreams: readonly UpstreamInfo[], nowMs: number): void;
  ids(): readonly UpstreamId[];
  state(upstreamId: UpstreamId): UpstreamState;
  /** Why the upstream is in its state, for operators. */
  reason(upstreamId: UpstreamId): string;
  /** Jobs that the upstream may hold before one more of `tier` is refused. */
  limit(upstreamId: UpstreamId, tier: Tier, nowMs: number): number;
  /** Jobs that run on the upstream now. */
  inFlight(upstreamId: UpstreamId): number;
  started(job: JobStart, nowMs: number): void;
  progressed(sample: ProgressSample, nowMs: number): void;
  ended(release: PermitRelease, nowMs: number): void;
  /** Applies what follows from the passage of time. */
  tick(nowMs: number): void;
}
