/**
 * Messages between the instance that holds a request and the scheduler of a
 * shard. Times are on the scheduler's clock; its host converts them from the
 * ages that are sent on the wire.
 */
import type {
  ClassId,
  InstanceId,
  PermitId,
  RequestId,
  ShardId,
  UpstreamId,
  WorkspaceId,
} from './Ids.js';
import type {ErrorKind} from './Errors.js';
import type {Tier} from './ServiceClasses.js';

/** Requests a permit. Repeating it for the same request has no effect. */
export interface AcquireRequest {
  readonly requestId: RequestId;
  readonly holder: InstanceId;
  readonly classId: ClassId;
  readonly workspaceId: WorkspaceId;
  /** Used when the scheduler does not know the class yet. */
  readonly fallbackTier: Tier;
  readonly arrivedAtMs: number;
  /** After this time the caller no longer waits for the response. */
  readonly deadlineAtMs: number;
  /** Counts the permits requested for this request, starting at 1. */
  readonly attempt: number;
  readonly idempotent: boolean;
  readonly promptTokens: number;
  /** Hash of the prompt prefix, used to find upstreams that have it cached. */
  readonly prefixHash?: string;
  /** Set when a job continues after preemption or a broken stream. */
  readonly resume?: ResumePoint;
  /** Upstreams on which this request has already failed. */
  readonly exclude: readonly UpstreamId[];
  /** Set for a hedge, a second copy of a request on a suspect upstream. */
  readonly hedge: boolean;
}

/** Where a job was interrupted. */
export interface ResumePoint {
  readonly upstreamId: UpstreamId;
  /** Tokens received so far. */
  readonly tokens: number;
}

/** Why a scheduler refuses a request; the run status of each is `not_run`. */
export type RefusalKind = Extract<
  ErrorKind,
  'deadline_exceeded' | 'no_upstream' | 'overloaded' | 'shutting_down'
>;

/** Why a running job must release its slot. */
export type PreemptReason = 'make_room' | 'meet_target' | 'move_from_suspect';

/** A message from a scheduler to the holder of a request. */
export type SchedulerEffect =
  | {
      readonly kind: 'grant';
      readonly holder: InstanceId;
      readonly requestId: RequestId;
      readonly attempt: number;
      readonly permitId: PermitId;
      readonly upstreamId: UpstreamId;
      /** The rate to which the upstream limits all instances, if it does. */
      readonly limitPerS?: number;
    }
  | {
      readonly kind: 'refuse';
      readonly holder: InstanceId;
      readonly requestId: RequestId;
      readonly attempt: number;
      readonly error: RefusalKind;
      readonly retryAfterMs: number;
    }
  | {
      readonly kind: 'preempt';
      readonly holder: InstanceId;
      readonly requestId: RequestId;
      readonly permitId: PermitId;
      readonly reason: PreemptReason;
    }
  | {
      /** The upstream of this permit is a straggler; the holder may hedge. */
      readonly kind: 'suspect';
      readonly holder: InstanceId;
      readonly requestId: RequestId;
      readonly permitId: PermitId;
    };

/** Progress of a running job, reported by its holder. */
export interface ProgressSample {
  readonly permitId: PermitId;
  readonly tokens: number;
  /** Time from sending to the first token, once it has arrived. */
  readonly firstTokenMs?: number;
  /** Time since the last token, or since sending when none has arrived. */
  readonly sinceLastTokenMs: number;
  /** Mean token gap since the previous sample; needs at least two tokens. */
  readonly tokenGapMs?: number;
}

/** How a permit ended. */
export type PermitOutcome =
  'canceled' | 'completed' | 'failed' | 'preempted' | 'unused';

/** Returns a permit to the scheduler. */
export interface PermitRelease {
  readonly permitId: PermitId;
  readonly outcome: PermitOutcome;
  readonly tokens: number;
  /** Tokens that were generated and discarded. */
  readonly wastedTokens: number;
  readonly firstTokenMs?: number;
  readonly tokenGapMs?: number;
  readonly serviceMs: number;
  /** Whether a request was sent; by default, unless the permit is unused. */
  readonly reachedUpstream?: boolean;
}

/** A permit that its holder reports to a new scheduler. */
export interface AnnouncedPermit {
  readonly permitId: PermitId;
  readonly requestId: RequestId;
  readonly holder: InstanceId;
  readonly classId: ClassId;
  readonly workspaceId: WorkspaceId;
  readonly fallbackTier: Tier;
  readonly upstreamId: UpstreamId;
  readonly idempotent: boolean;
  readonly tokens: number;
  readonly grantedAtMs: number;
  readonly arrivedAtMs: number;
}

/** State of an upstream, determined by the tracker of its shard. */
export type UpstreamState = 'healthy' | 'leaving' | 'probing' | 'suspect';

/** One upstream in a snapshot. */
export interface UpstreamSnapshot {
  readonly upstreamId: UpstreamId;
  readonly state: UpstreamState;
  /** Why the upstream is in this state, for operators. */
  readonly reason: string;
  readonly limit: number;
  readonly inFlight: number;
}

/** The queue of one class in a snapshot. */
export interface QueueSnapshot {
  readonly classId: ClassId;
  readonly tier: Tier;
  readonly queued: number;
  readonly running: number;
  readonly oldestWaitMs: number;
}

/** Totals of a scheduler since it started. */
export interface SchedulerCounters {
  readonly granted: number;
  readonly refused: number;
  readonly preempted: number;
  readonly hedged: number;
  readonly tokens: number;
  readonly wastedTokens: number;
}

/** State of a scheduler at one point in time. */
export interface ShardSnapshot {
  readonly shardId: ShardId;
  readonly upstreams: readonly UpstreamSnapshot[];
  readonly queues: readonly QueueSnapshot[];
  readonly counters: SchedulerCounters;
}
