/**
 * What the administration API needs from the instance that serves it.
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

/** A configuration to be written over the version that was expected. */
export interface ConfigChange {
  readonly expectedVersion: number;
  readonly writeId: string;
  readonly author: string;
  readonly classesText: string;
  readonly drainedUpstreams: readonly UpstreamId[];
}

/** What became of a change. */
export type ConfigChangeOutcome =
  | {readonly kind: 'accepted'; readonly stored: StoredConfig}
  /** Nothing was written; `winner` is the version that is stored. */
  | {readonly kind: 'conflict'; readonly winner: StoredConfig}
  /** The write may or may not have taken effect. */
  | {readonly kind: 'not_yet_known'};

/** Counts of all instances that answered. */
export interface FleetServiceLevels {
  readonly snapshots: readonly ServiceLevelSnapshot[];
  readonly unanswered: readonly InstanceId[];
}

/** Functions of the instance; tests pass fakes. */
export interface AdminDependencies {
  readonly clock: Clock;
  /** Read for each request, so that a changed token needs no restart. */
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
  /** Tells whether the instance list has an upstream of this id. */
  readonly isKnownUpstream: (upstreamId: UpstreamId) => boolean;
  readonly serviceLevels: () => ResultAsync<FleetServiceLevels, RouterError>;
  /** Keeps an entry of the audit log. */
  readonly audit: (entry: AuditEntry) => void;
  /** Logs an exception, which only a programming error causes. */
  readonly logUnexpectedError: (cause: unknown) => void;
}
