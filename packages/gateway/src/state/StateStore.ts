/**
 * The gateway's view of the platform's store: the configuration and the entries
 * of upstreams and peers. The gateway reads a full snapshot first and then
 * follows changes.
 */
import type {
  InstanceId,
  PlatformError,
  ServiceName,
  SoftwareVersion,
  UpstreamId,
} from '@toucanrouter/common';
import type {SegmentHash} from '@toucanrouter/policy';
import type {ResultAsync} from 'neverthrow';
import type {GatewayConfig} from '../config/GatewayConfig.js';
import type {PeerEntry} from '../peers/PeerDirectory.js';
import type {StreamOrigin} from '../streams/StreamOrigins.js';
import type {UpstreamEntry} from '../upstreams/UpstreamEntry.js';

/** A verdict on a prompt segment that outlives the instances. */
export interface StoredVerdict {
  readonly segment: SegmentHash;
  /** Time for which requests with the segment are refused. */
  readonly durationMs: number;
  /** Time from the first crash on which the verdict rests to the verdict. */
  readonly evidenceAgeMs: number;
}

/** A change in the store. */
export type StateChange =
  | {readonly kind: 'config'; readonly config: GatewayConfig}
  | {readonly kind: 'upstream'; readonly entry: UpstreamEntry}
  | {readonly kind: 'upstream_removed'; readonly id: UpstreamId}
  | {readonly kind: 'peer'; readonly entry: PeerEntry}
  | {readonly kind: 'peer_removed'; readonly id: InstanceId}
  | {
      readonly kind: 'peer_domain';
      readonly id: InstanceId;
      readonly failureDomain: string | undefined;
    }
  | {readonly kind: 'verdict'; readonly verdict: StoredVerdict}
  | {readonly kind: 'verdict_removed'; readonly segment: SegmentHash}
  | {readonly kind: 'service_versions'; readonly list: VersionList}
  | {readonly kind: 'service_versions_removed'; readonly service: ServiceName}
  /** The instance that holds the duties; undefined if none does. */
  | {readonly kind: 'duty_owner'; readonly holder: InstanceId | undefined}
  /** A value that cannot be decoded; `id` is set for the entry of an upstream. */
  | {
      readonly kind: 'unreadable';
      readonly key: string;
      readonly reason: string;
      readonly id: UpstreamId | undefined;
    };

declare const brand: unique symbol;

/**
 * Number of a history of the store. It rises by one each time the store comes
 * back from a copy.
 */
export type StoreEra = number & {readonly [brand]: 'StoreEra'};

export const toStoreEra = (value: number): StoreEra => value as StoreEra;

/** An item of the store; its value is undefined if it was removed. */
export interface StoredItem {
  readonly key: string;
  readonly value: string | undefined;
}

/** Changed items, or a full snapshot, and the revision that they lead to. */
export interface StateUpdate {
  readonly revision: number;
  readonly items: readonly StoredItem[];
  /** The history that `revision` belongs to, if the store tells. */
  readonly era?: StoreEra | undefined;
}

/** Changes after a revision; `compacted` if the store no longer keeps them. */
export type WatchResult = StateUpdate | 'compacted';

/** The entry of this instance in the store. */
export interface InstanceEntry extends PeerEntry {
  readonly failureDomain: string;
}

/** Id of a lease in the store; another history may give it out again. */
export type LeaseId = number;

/** A lease and the history of the store that granted it. */
export interface Lease {
  readonly id: LeaseId;
  readonly era?: StoreEra | undefined;
}

/** The response to a renewal. */
export interface LeaseRenewal {
  /** False if the store knows no lease with the id. */
  readonly exists: boolean;
  readonly era?: StoreEra | undefined;
}

/**
 * The software versions of a service that may have begun streams which callers
 * can still resume.
 */
export interface VersionList {
  readonly service: ServiceName;
  readonly versions: readonly SoftwareVersion[];
  /**
   * The history of the store in which the list was confirmed to be complete. A
   * list of a copy may lack versions until it is confirmed again.
   */
  readonly era: StoreEra | undefined;
}

/** A version list as the store holds it; revision 0 if it holds none. */
export interface StoredVersionList extends VersionList {
  readonly revision: number;
}

/** All version lists at one time. */
export interface VersionLists {
  readonly lists: readonly StoredVersionList[];
  readonly era: StoreEra | undefined;
}

/** The response to a conditional write; a conflict changes nothing. */
export interface ConditionalWrite {
  readonly isWritten: boolean;
  readonly era: StoreEra | undefined;
}

/** Hash of the key of a stream. */
export type StreamHash = string & {readonly [brand]: 'StreamHash'};

export const toStreamHash = (value: string): StreamHash => value as StreamHash;

/** The origin of a stream; undefined if several streams share the key. */
export interface StreamRecord {
  readonly hash: StreamHash;
  readonly origin: StreamOrigin | undefined;
}

/** Records of streams that are written together. */
export interface StreamRecordBatch {
  readonly id: string;
  readonly records: readonly StreamRecord[];
}

/** All records of streams at one time. */
export interface StreamRecords {
  readonly records: readonly StreamRecord[];
  readonly era: StoreEra | undefined;
}

/** Keeps the origins of streams beyond the life of the instances. */
export interface StreamOriginStore {
  readVersionLists(timeoutMs: number): ResultAsync<VersionLists, PlatformError>;
  /** Writes a list unless it changed since `list.revision`. */
  writeVersionList(
    list: StoredVersionList,
    timeoutMs: number,
  ): ResultAsync<ConditionalWrite, PlatformError>;
  readStreamRecords(
    timeoutMs: number,
  ): ResultAsync<StreamRecords, PlatformError>;
  /** Replaces a batch, under a new lease of `leaseMs` unless one is given. */
  writeStreamRecords(
    batch: StreamRecordBatch,
    lease: Lease | undefined,
    leaseMs: number,
    timeoutMs: number,
  ): ResultAsync<Lease, PlatformError>;
}

/** Reads the platform's state and registers this instance. */
export interface StateStore extends StreamOriginStore {
  /** Decodes one item; undefined if the gateway does not use it. */
  decode(item: StoredItem): StateChange | undefined;
  readAll(timeoutMs: number): ResultAsync<StateUpdate, PlatformError>;
  /** Reads the configuration and the revision of its latest change. */
  readConfig(
    timeoutMs: number,
  ): ResultAsync<StateUpdate | undefined, PlatformError>;
  /** Reads the entry of one upstream; undefined if there is none to use. */
  readUpstream(
    id: UpstreamId,
    timeoutMs: number,
  ): ResultAsync<UpstreamEntry | undefined, PlatformError>;
  /** Waits up to `waitMs` for changes after `revision`. */
  readChanges(
    revision: number,
    waitMs: number,
    timeoutMs: number,
  ): ResultAsync<WatchResult, PlatformError>;
  /** Writes the entry of this instance under a new lease. */
  register(
    entry: InstanceEntry,
    leaseMs: number,
    timeoutMs: number,
  ): ResultAsync<Lease, PlatformError>;
  renew(
    lease: LeaseId,
    timeoutMs: number,
  ): ResultAsync<LeaseRenewal, PlatformError>;
  /** Writes a verdict, which the store removes when its time is over. */
  saveVerdict(
    verdict: StoredVerdict,
    timeoutMs: number,
  ): ResultAsync<void, PlatformError>;
  removeVerdict(
    segment: SegmentHash,
    timeoutMs: number,
  ): ResultAsync<void, PlatformError>;
}
