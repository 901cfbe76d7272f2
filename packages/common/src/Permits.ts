/**
 * Messages between the holder of a request and the scheduler of a shard. Times
 * are in the scheduler's clock; the host converts ages from the wire.
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

/** Asks for a permit. Repeating it for the same request changes nothing. */
export interface AcquireRequest {
  readonly requestId: RequestId;
  readonly holder: InstanceId;
  readonly classId: ClassId;
  readonly workspaceId: WorkspaceId;
  /** Used when the scheduler does not know the class yet. */
  readonly fallbackTier: Tier;
  readonly arrivedAtMs: number;
  /** After this time the caller no longer wants the answer. */
  readonly deadlineAtMs: number;
  /** Counts permits asked for by this request, from 1. */
  readonly attempt: number;
  readonly idempotent: boolean;
  readonly promptTokens: number;
  /** Hash of the start of the prompt, for placement near a cached prefix. */
  readonly prefixHash?: string;
  /** Set when a started job asks again after preemption or a broken stream. */
  readonly resume?: ResumePoint;
  /** Upstreams that failed this request already. */
  readonly exclude: readonly UpstreamId[];
  /** Set for a second copy of a request that waits on a suspect upstream. */
  readonly hedge: boolean;
}

/** Where a started job stopped. */
export interface ResumePoint {
  readonly upstreamId: UpstreamId;
  /** Tokens received so far. */
  readonly tokens: number;
}

/** Reasons for which a scheduler refuses a request; all mean "not run". */
export type RefusalKind = Extract<
  ErrorKind,
  'deadline_exceeded' | 'no_upstream' | 'overloaded' | 'shutting_down'
>;

/** Why a running job is told to give up its slot. */
export type PreemptReason = 'make_room' | 'meet_target' | 'move_from_suspect';

/** What a scheduler tells the holder of a request. */
export type SchedulerEffect =
  | {
      readonly kind: 'grant';
      readonly holder: InstanceId;
      readonly requestId: RequestId;
      readonly attempt: number;
      readonly permitId: PermitId;
      readonly upstreamId: UpstreamId;
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
      /** The upstream of this permit is a straggler; a second copy may be asked for. */
      readonly kind: 'suspect';
      readonly holder: InstanceId;
      readonly requestId: RequestId;
      readonly permitId: PermitId;
    };

/** What the holder has seen of a running job. */
export interface ProgressSample {
  readonly permitId: PermitId;
  readonly tokens: number;
  /** Time from sending to the first token, once it has come. */
  readonly firstTokenMs?: number;
  /** Time since the last token, or since sending when none has come. */
  readonly sinceLastTokenMs: number;
  /** Mean gap between tokens since the previous sample, when there were two. */
  readonly tokenGapMs?: number;
}

/** How a permit ended. */
export type PermitOutcome =
  'canceled' | 'completed' | 'failed' | 'preempted' | 'unused';

/** Gives a permit back. */
export interface PermitRelease {
  readonly permitId: PermitId;
  readonly outcome: PermitOutcome;
  readonly tokens: number;
  /** Tokens that were generated and thrown away. */
  readonly wastedTokens: number;
  readonly firstTokenMs?: number;
  readonly tokenGapMs?: number;
  readonly serviceMs: number;
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

/** State of an upstream as its shard's tracker judges it. */
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

/** What a scheduler shows of itself. */
export interface ShardSnapshot {
  readonly shardId: ShardId;
  readonly upstreams: readonly UpstreamSnapshot[];
  readonly queues: readonly QueueSnapshot[];
  readonly counters: SchedulerCounters;
}
