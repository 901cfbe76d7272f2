/**
 * Records that the parts of the shard scheduler share.
 */
import type {
  AcquireRequest,
  ClassId,
  InstanceId,
  PermitId,
  PreemptReason,
  RequestId,
  Tier,
  UpstreamId,
  WorkspaceId,
} from '@toucanrouter/common';

/** A request that waits for a permit. */
export interface QueuedRequest {
  readonly request: AcquireRequest;
  /** Grows with each request that is queued. */
  readonly order: number;
  /** Start of the wait that the class's maximum wait limits. */
  readonly waitingSinceMs: number;
}

/** A job that holds a permit. */
export interface RunningJob {
  readonly permitId: PermitId;
  readonly requestId: RequestId;
  /** Zero when the permit was adopted. */
  readonly attempt: number;
  readonly holder: InstanceId;
  readonly classId: ClassId;
  readonly workspaceId: WorkspaceId;
  readonly fallbackTier: Tier;
  readonly upstreamId: UpstreamId;
  readonly idempotent: boolean;
  readonly hedge: boolean;
  readonly grantedAtMs: number;
  /** Tokens that were received before this permit was granted. */
  readonly resumedTokens: number;
  /** Tokens received under this permit, as last reported. */
  tokens: number;
  /** Set while the holder has been told to give the permit up. */
  preempting: PreemptReason | undefined;
}
