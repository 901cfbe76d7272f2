/**
 * Request and response types of the administration API, `/admin/v1/...`, shared
 * by the instances and the command-line tool.
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

/** Role that a bearer token grants; a writer may also read. */
export type AdminRole = 'reader' | 'writer';

/** State of a router instance as seen by the responding instance. */
export type InstanceState = 'leaving' | 'live' | 'suspect';

/** Status of a router instance. */
export interface InstanceStatus {
  readonly instanceId: InstanceId;
  readonly region: string;
  readonly failureDomain: string;
  readonly state: InstanceState;
  /** Version of the configuration in force on this instance. */
  readonly configVersion: number;
}

/** Status of a shard and the instance that schedules it. */
export interface ShardStatus {
  readonly shardId: ShardId;
  readonly scheduler: InstanceId;
  readonly queues: readonly QueueSnapshot[];
  readonly counters: SchedulerCounters;
}

/** Status of an upstream, determined by the scheduler of its shard. */
export interface UpstreamStatus {
  readonly upstreamId: UpstreamId;
  readonly kind: UpstreamKind;
  /** Name of the model or of the plain service. */
  readonly serves: string;
  readonly failureDomain: string;
  readonly state: UpstreamState;
  /** Why the upstream is in this state. */
  readonly reason: string;
  /** True when an operator drained the upstream; it gets no new work. */
  readonly drained: boolean;
  readonly limit: number;
  readonly inFlight: number;
}

/** Response to `GET /admin/v1/status`. */
export interface FleetStatus {
  readonly instances: readonly InstanceStatus[];
  readonly shards: readonly ShardStatus[];
  readonly upstreams: readonly UpstreamStatus[];
  /** Instances that did not respond in time; their data is missing. */
  readonly unanswered: readonly InstanceId[];
}

/** Number of requests of a workspace in the queue of a class. */
export interface QueuedWorkspace {
  readonly workspaceId: WorkspaceId;
  readonly queued: number;
}

/** Queued and running requests of a class in a shard. */
export interface QueuedClass extends QueueSnapshot {
  readonly shardId: ShardId;
  /** Longest wait allowed for the class; absent when the class was removed. */
  readonly maxWaitMs?: number;
  /** Absent when the scheduler does not report workspaces. */
  readonly workspaces?: readonly QueuedWorkspace[];
}

/** Response to `GET /admin/v1/requests`, longest wait first within a tier. */
export interface QueuedRequests {
  readonly classes: readonly QueuedClass[];
  readonly unanswered: readonly InstanceId[];
}

/** One difference between two configurations. */
export interface ConfigDifference {
  /** What differs, such as `class.quick` or `upstream.engine-1`. */
  readonly subject: string;
  /** Key of the classes file; absent when the subject was added or removed. */
  readonly field?: string;
  /** Absent when the subject was added. */
  readonly before?: string;
  /** Absent when the subject was removed. */
  readonly after?: string;
}

/** One version of the configuration, without its text. */
export interface ConfigSummary {
  /** 0 when no configuration has been accepted yet. */
  readonly version: number;
  readonly writeId: string;
  readonly author: string;
  readonly changedAtWallMs: number;
}

/** Response to `GET /admin/v1/config`. */
export interface ConfigShowResponse extends ConfigSummary {
  readonly classesText: string;
  readonly drainedUpstreams: readonly UpstreamId[];
}

/** Body of `POST /admin/v1/config/diff`. */
export interface ConfigDiffRequest {
  readonly classesText: string;
  /** File name that reported faults refer to. */
  readonly fileName?: string;
}

/** Response to `POST /admin/v1/config/diff`. */
export interface ConfigDiffResponse {
  /** Version in force that the text was compared with. */
  readonly version: number;
  readonly differences: readonly ConfigDifference[];
}

/** Body of `POST /admin/v1/config/apply`. */
export interface ConfigApplyRequest extends ConfigDiffRequest {
  /** Version that the operator based the change on and that it replaces. */
  readonly expectedVersion: number;
  readonly author: string;
  /**
   * Identifies this change. Requests with the same id are applied at most once,
   * so a client can retry after a lost response.
   */
  readonly writeId: string;
}

/** Body of `POST /admin/v1/upstreams/<id>/drain` and `/undrain`. */
export interface UpstreamChangeRequest {
  readonly author: string;
  readonly writeId: string;
}

/** Response to an accepted change. */
export interface ConfigAcceptedResponse {
  readonly outcome: 'accepted';
  readonly version: number;
  /** False when the configuration already had the requested content. */
  readonly changed: boolean;
  readonly differences: readonly ConfigDifference[];
}

/** The version that was accepted instead of a change, and their differences. */
export interface ConfigConflict {
  readonly expectedVersion: number;
  readonly winner: ConfigSummary;
  /** From the winning configuration to the refused one. */
  readonly differences: readonly ConfigDifference[];
}

/** Error response of the administration API. */
export interface AdminErrorBody extends ErrorBody {
  /** With `config_conflict`. */
  readonly conflict?: ConfigConflict;
  /** With `config_unknown`: id of the change whose outcome is not known yet. */
  readonly writeId?: string;
  /** With `config_invalid`: all faults of the classes file. */
  readonly faults?: readonly SettingsFault[];
}

/** Response to `GET /admin/v1/config/history`, newest first. */
export interface ConfigHistoryResponse {
  readonly versions: readonly ConfigHistoryEntry[];
}

/** One accepted change. */
export interface ConfigHistoryEntry extends ConfigSummary {
  /** From the previous version; absent when that one is no longer stored. */
  readonly differences?: readonly ConfigDifference[];
}

/** An instance on which the version is not in force yet. */
export interface LaggingInstance {
  readonly instanceId: InstanceId;
  /** Version in force there; absent when the instance did not respond. */
  readonly version?: number;
}

/** Response to `GET /admin/v1/config/in-force?version=<n>`. */
export interface ConfigInForceResponse {
  readonly version: number;
  /** Instances with this version or a later one. */
  readonly inForce: readonly InstanceId[];
  readonly lagging: readonly LaggingInstance[];
}

/** Response to `GET /admin/v1/reports/burn`. */
export interface BurnReportResponse {
  readonly report: BurnReport;
  /** Instances whose counts are missing. */
  readonly unanswered: readonly InstanceId[];
}

/** A change requested by an operator, as recorded in the audit log. */
export interface AuditEntry {
  readonly atWallMs: number;
  /** Name that the operator stated. */
  readonly author: string;
  readonly action: 'config.apply' | 'upstream.drain' | 'upstream.undrain';
  /** Upstream that was drained or undrained. */
  readonly upstreamId?: UpstreamId;
  readonly fromVersion: number;
  /** Accepted version; absent when no version was accepted. */
  readonly toVersion?: number;
  readonly writeId: string;
  readonly outcome: 'accepted' | 'conflict' | 'failed' | 'not_yet_known';
}
