/**
 * Requests and answers of the administration API, `/admin/v1/...`, as the
 * instances and the command-line tool share them.
 */
import type {BurnReport} from './BurnReport.js';
import type {ErrorBody, SettingsFault} from './Errors.js';
import type {InstanceId, ShardId, UpstreamId, WorkspaceId} from './Ids.js';
import type {
  QueueSnapshot,
  SchedulerCounters,
  UpstreamState,
} from './Permits.js';
import type {UpstreamKind} from './Upstreams.js';

/** What a bearer token permits: a writer may also read. */
export type AdminRole = 'reader' | 'writer';

/** State of a router instance as the answering instance sees it. */
export type InstanceState = 'leaving' | 'live' | 'suspect';

/** One router instance. */
export interface InstanceStatus {
  readonly instanceId: InstanceId;
  readonly region: string;
  readonly failureDomain: string;
  readonly state: InstanceState;
  /** Version of the configuration in force there. */
  readonly configVersion: number;
}

/** One shard and the instance that schedules it. */
export interface ShardStatus {
  readonly shardId: ShardId;
  readonly scheduler: InstanceId;
  readonly queues: readonly QueueSnapshot[];
  readonly counters: SchedulerCounters;
}

/** One upstream as the scheduler of its shard judges it. */
export interface UpstreamStatus {
  readonly upstreamId: UpstreamId;
  readonly kind: UpstreamKind;
  /** Name of the model or of the plain service. */
  readonly serves: string;
  readonly failureDomain: string;
  readonly state: UpstreamState;
  /** Why the upstream is in this state. */
  readonly reason: string;
  /** True when operators keep it free of new work. */
  readonly drained: boolean;
  readonly limit: number;
  readonly inFlight: number;
}

/** Answer of `GET /admin/v1/status`. */
export interface FleetStatus {
  readonly instances: readonly InstanceStatus[];
  readonly shards: readonly ShardStatus[];
  readonly upstreams: readonly UpstreamStatus[];
  /** Instances that did not answer in time; what they know is missing here. */
  readonly unanswered: readonly InstanceId[];
}

/** Requests of one workspace that wait in the queue of a class. */
export interface QueuedWorkspace {
  readonly workspaceId: WorkspaceId;
  readonly queued: number;
}

/** Requests of one class that wait or run in one shard. */
export interface QueuedClass extends QueueSnapshot {
  readonly shardId: ShardId;
  /** Bound on the wait of this class; absent when the class was removed. */
  readonly maxWaitMs?: number;
  /** Absent when the scheduler does not report workspaces. */
  readonly workspaces?: readonly QueuedWorkspace[];
}

/** Answer of `GET /admin/v1/requests`, longest wait first within a tier. */
export interface QueuedRequests {
  readonly classes: readonly QueuedClass[];
  readonly unanswered: readonly InstanceId[];
}

/** One difference between two configurations. */
export interface ConfigDifference {
  /** Such as `class.quick` or `upstream.engine-1`. */
  readonly subject: string;
  /** Key of the classes file; absent when the subject was added or removed. */
  readonly field?: string;
  /** Absent when added. */
  readonly before?: string;
  /** Absent when removed. */
  readonly after?: string;
}

/** One version of the configuration, without its text. */
export interface ConfigSummary {
  /** 0 when no configuration was accepted yet. */
  readonly version: number;
  readonly writeId: string;
  readonly author: string;
  readonly changedAtWallMs: number;
}

/** Answer of `GET /admin/v1/config`. */
export interface ConfigShowResponse extends ConfigSummary {
  readonly classesText: string;
  readonly drainedUpstreams: readonly UpstreamId[];
}

/** Body of `POST /admin/v1/config/diff`. */
export interface ConfigDiffRequest {
  readonly classesText: string;
  /** Name of the file, for faults. */
  readonly fileName?: string;
}

/** Answer of `POST /admin/v1/config/diff`. */
export interface ConfigDiffResponse {
  /** The version in force that the text was compared with. */
  readonly version: number;
  readonly differences: readonly ConfigDifference[];
}

/** Body of `POST /admin/v1/config/apply`. */
export interface ConfigApplyRequest extends ConfigDiffRequest {
  /** The version that the operator has seen and replaces. */
  readonly expectedVersion: number;
  readonly author: string;
  /**
   * Identifies this change. Repeating a request with the same id applies it at
   * most once, so that a lost answer can be asked for again.
   */
  readonly writeId: string;
}

/** Body of `POST /admin/v1/upstreams/<id>/drain` and `/undrain`. */
export interface UpstreamChangeRequest {
  readonly author: string;
  readonly writeId: string;
}

/** Answer to an accepted change. */
export interface ConfigAcceptedResponse {
  readonly outcome: 'accepted';
  readonly version: number;
  /** False when the configuration was as asked for already. */
  readonly changed: boolean;
  readonly differences: readonly ConfigDifference[];
}

/** What won against a change, and how it differs from what was expected. */
export interface ConfigConflict {
  readonly expectedVersion: number;
  readonly winner: ConfigSummary;
  /** From the winning configuration to the refused one. */
  readonly differences: readonly ConfigDifference[];
}

/** Error answer of the administration API. */
export interface AdminErrorBody extends ErrorBody {
  /** With `config_conflict`. */
  readonly conflict?: ConfigConflict;
  /** With `config_unknown`: the id of the change that is not yet known. */
  readonly writeId?: string;
  /** With `config_invalid`: all faults of the classes file. */
  readonly faults?: readonly SettingsFault[];
}

/** Answer of `GET /admin/v1/config/history`, newest first. */
export interface ConfigHistoryResponse {
  readonly versions: readonly ConfigHistoryEntry[];
}

/** One accepted change. */
export interface ConfigHistoryEntry extends ConfigSummary {
  /** From the version before; absent when that one is no longer kept. */
  readonly differences?: readonly ConfigDifference[];
}

/** An instance that does not have a version in force. */
export interface LaggingInstance {
  readonly instanceId: InstanceId;
  /** Absent when the instance did not answer. */
  readonly version?: number;
}

/** Answer of `GET /admin/v1/config/in-force?version=<n>`. */
export interface ConfigInForceResponse {
  readonly version: number;
  /** Instances with this version or a later one. */
  readonly inForce: readonly InstanceId[];
  readonly lagging: readonly LaggingInstance[];
}

/** Answer of `GET /admin/v1/reports/burn`. */
export interface BurnReportResponse {
  readonly report: BurnReport;
  /** Instances whose counts are missing. */
  readonly unanswered: readonly InstanceId[];
}

/** A change that an operator asked for, as the audit log keeps it. */
export interface AuditEntry {
  readonly atWallMs: number;
  /** The name that the operator gave. */
  readonly author: string;
  readonly action: 'config.apply' | 'upstream.drain' | 'upstream.undrain';
  /** The upstream of a drain. */
  readonly upstreamId?: UpstreamId;
  readonly fromVersion: number;
  /** The version that was accepted. */
  readonly toVersion?: number;
  readonly writeId: string;
  readonly outcome: 'accepted' | 'conflict' | 'failed' | 'not_yet_known';
}
