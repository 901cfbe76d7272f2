/**
 * The functions of an instance that the administration API calls.
 */
import type {
  AuditEntry,
  Clock,
  FleetStatus,
  InstanceId,
  LaggingInstance,
  QueuedRequests,
  RouterError,
  StoredConfig,
  UpstreamId,
} from '@toucanrouter/common';
import type {ServiceLevelSnapshot} from '@toucanrouter/report';
import type {ResultAsync} from 'neverthrow';

/** A configuration that replaces the expected version. */
export interface ConfigChange {
  readonly expectedVersion: number;
  readonly writeId: string;
  readonly author: string;
  readonly classesText: string;
  readonly drainedUpstreams: readonly UpstreamId[];
}

/** Outcome of a change. */
export type ConfigChangeOutcome =
  | {readonly kind: 'accepted'; readonly stored: StoredConfig}
  /** Nothing was written; `winner` is the version that is stored. */
  | {readonly kind: 'conflict'; readonly winner: StoredConfig}
  /** The write may or may not have taken effect. */
  | {readonly kind: 'not_yet_known'};

/** Service-level counts of all instances that responded. */
export interface FleetServiceLevels {
  readonly snapshots: readonly ServiceLevelSnapshot[];
  readonly unanswered: readonly InstanceId[];
}

/** Functions and settings of the instance; tests pass fakes. */
export interface AdminDependencies {
  readonly clock: Clock;
  /** Read for each request, so that a new token takes effect at once. */
  readonly readerTokenFile: string;
  readonly writerTokenFile: string;
  readonly fleetStatus: () => ResultAsync<FleetStatus, RouterError>;
  readonly queuedRequests: () => ResultAsync<QueuedRequests, RouterError>;
  /** The configuration in force here; undefined before the first one. */
  readonly currentConfig: () => StoredConfig | undefined;
  /** Writes by compare-and-swap and resolves lost responses by write id. */
  readonly changeConfig: (
    change: ConfigChange,
  ) => ResultAsync<ConfigChangeOutcome, RouterError>;
  /** Stored versions, newest first, at most `limit`. */
  readonly configHistory: (
    limit: number,
  ) => ResultAsync<readonly StoredConfig[], RouterError>;
  /** The version in force at each live instance. */
  readonly configVersions: () => ResultAsync<
    readonly LaggingInstance[],
    RouterError
  >;
  /** Returns whether the instance list contains an upstream of this id. */
  readonly isKnownUpstream: (upstreamId: UpstreamId) => boolean;
  readonly serviceLevels: () => ResultAsync<FleetServiceLevels, RouterError>;
  /** Writes an entry to the audit log. */
  readonly audit: (entry: AuditEntry) => void;
  /** Logs an exception; expected errors are returned, not thrown. */
  readonly logUnexpectedError: (cause: unknown) => void;
}
