/**
 * Types that the modules of the shard scheduler share.
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

/** A request that is queued until a permit is granted. */
export interface QueuedRequest {
  readonly request: AcquireRequest;
  /** Position in the order in which requests were queued. */
  readonly sequence: number;
  /** Start of the wait to which the class's maximum wait applies. */
  readonly waitingSinceMs: number;
}

/** A preemption that the holder has not responded to yet. */
export interface Preemption {
  readonly reason: PreemptReason;
  /** When the preemption was last sent to the holder. */
  notifiedAtMs: number;
}

/** A job that holds a permit. */
export interface RunningJob {
  readonly permitId: PermitId;
  readonly requestId: RequestId;
  /** Zero for an adopted permit, whose attempt number is unknown. */
  readonly attempt: number;
  readonly holder: InstanceId;
  readonly classId: ClassId;
  readonly workspaceId: WorkspaceId;
  readonly fallbackTier: Tier;
  readonly upstreamId: UpstreamId;
  readonly idempotent: boolean;
  readonly hedge: boolean;
  readonly grantedAtMs: number;
  /** True if the permit was counted against the rate of the upstream. */
  readonly usesRate: boolean;
  /** Tokens that earlier attempts received and this one continues from. */
  readonly resumedTokens: number;
  /** Tokens received under this permit, as last reported by its holder. */
  tokens: number;
  /** Slot time charged to the workspace so far. */
  chargedMs: number;
  /** True once the output is longer than most of its class and workspace. */
  isLong: boolean;
  /** When the holder was last notified that the upstream is suspect. */
  suspectNotifiedAtMs: number | undefined;
  /** True when the permit was granted to probe a suspect upstream. */
  readonly isProbe: boolean;
  /** Set once the holder has been asked to give up the permit. */
  preemption: Preemption | undefined;
}
