/**
 * Index of a shard's claims, built by applying the records of its log. A staged
 * layer over an index applies records that are not stored yet.
 */
import type {ClaimId, StoredResponse, WorkspaceId} from '@toucanrouter/common';
import type {ClaimRecord} from './ClaimRecords.js';

/** The claim that currently holds an idempotency key. */
export interface ClaimEntry {
  readonly claimId: ClaimId;
  readonly requestHash: string;
  readonly state: 'claimed' | 'completed' | 'outcome_unknown';
  /** Set when the state is `completed`. */
  readonly outcome?: StoredResponse;
  /**
   * Key-value revision of the write that stored the claim. It is the fencing
   * token. Undefined until the claim is stored.
   */
  readonly revision: number | undefined;
  /** Number of the segment that holds the claim's newest record. */
  readonly segment: number;
  /** The claim's newest record. */
  readonly record: ClaimRecord;
}

/** A claim that was released. */
export interface KnownRelease {
  /** Number of the segment that holds the release. */
  readonly segment: number;
  readonly record: ClaimRecord;
}

/** Idempotency keys are unique within a workspace. */
export interface ClaimKey {
  readonly workspaceId: WorkspaceId;
  readonly idempotencyKey: string;
}

/** Where a record is stored. */
export interface RecordPosition {
  readonly segment: number;
  /** Undefined until the record is stored. */
  readonly revision: number | undefined;
}

export interface ClaimIndex {
  find(key: ClaimKey): ClaimEntry | undefined;
  /** Whether a claim was released. A released claim id can't claim again. */
  isReleased(claimId: ClaimId): boolean;
  apply(record: ClaimRecord, position: RecordPosition): void;
  /**
   * Drops claims and releases of deleted segments, up to and including
   * `segment`.
   */
  dropThrough(segment: number): void;
  entries(): readonly ClaimEntry[];
  releases(): readonly KnownRelease[];
  readonly size: number;
}

export function createClaimIndex(): ClaimIndex {
  const entries = new Map<string, ClaimEntry>();
  const released = new Map<ClaimId, KnownRelease>();

  return {
    find: key => entries.get(toMapKey(key)),
    isReleased: claimId => released.has(claimId),
    apply: (record, position) => {
      const mapKey = toMapKey(record);
      const before = entries.get(mapKey);
      if (record.kind === 'released') {
        released.set(record.claimId, {segment: position.segment, record});
        if (before?.claimId === record.claimId) entries.delete(mapKey);
      } else entries.set(mapKey, toEntry(record, position, before));
    },
    dropThrough: segment => {
      for (const [key, entry] of entries) {
        if (entry.segment <= segment) entries.delete(key);
      }
      for (const [claimId, release] of released) {
        if (release.segment <= segment) released.delete(claimId);
      }
    },
    entries: () => [...entries.values()],
    releases: () => [...released.values()],
    get size() {
      return entries.size;
    },
  };
}

/** Read-only view of an index. */
export type ClaimView = Pick<ClaimIndex, 'find' | 'isReleased'>;

/** A view that includes records which are not stored yet. */
export interface StagedClaims extends ClaimView {
  add(record: ClaimRecord): void;
}

/** Creates a layer over `base`. Added records don't change `base`. */
export function createStagedClaims(base: ClaimView): StagedClaims {
  const entries = new Map<string, ClaimEntry | undefined>();
  const released = new Set<ClaimId>();
  const position = {segment: 0, revision: undefined};

  function find(key: ClaimKey): ClaimEntry | undefined {
    const mapKey = toMapKey(key);
    return entries.has(mapKey) ? entries.get(mapKey) : base.find(key);
  }

  return {
    find,
    isReleased: claimId => released.has(claimId) || base.isReleased(claimId),
    add: record => {
      const mapKey = toMapKey(record);
      const before = find(record);
      if (record.kind === 'released') {
        released.add(record.claimId);
        if (before?.claimId === record.claimId) entries.set(mapKey, undefined);
      } else entries.set(mapKey, toEntry(record, position, before));
    },
  };
}

function toMapKey(key: ClaimKey): string {
  return `${key.workspaceId}\0${key.idempotencyKey}`;
}

function toEntry(
  record: Exclude<ClaimRecord, {kind: 'released'}>,
  position: RecordPosition,
  before: ClaimEntry | undefined,
): ClaimEntry {
  const {claimId, requestHash} = record;
  const {segment} = position;
  if (record.kind === 'claimed') {
    const {revision} = position;
    return {claimId, requestHash, state: 'claimed', revision, segment, record};
  }
  const {outcome} = record;
  const state = outcome === undefined ? 'outcome_unknown' : 'completed';
  const revision = before?.revision ?? position.revision;
  return {claimId, requestHash, state, outcome, revision, segment, record};
}
