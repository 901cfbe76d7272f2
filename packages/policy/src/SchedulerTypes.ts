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
  readonly sequence: number;
  /** Start of the wait that the class's maximum wait limits. */
  readonly waitingSinceMs: number;
}

/** A preemption that the holder has not answered yet. */
export interface Preemption {
  readonly reason: PreemptReason;
  /** When the holder was last told. */
  notifiedAtMs: number;
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
  /** Slot time that its workspace was charged so far. */
  chargedMs: number;
  /** True once the job is longer than most of its class and workspace. */
  long: boolean;
  /** True when the holder knows that the upstream is suspect. */
  /** When the holder was last told that the upstream is suspect. */
  suspectToldAtMs: number | undefined;
  /** Granted while the upstream was suspect, to probe it. */
  readonly isProbe: boolean;
  /** Set while the holder has been told to give the permit up. */
  preemption: Preemption | undefined;
}
