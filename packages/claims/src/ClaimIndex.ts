/**
 * The claims of a shard as the log's records leave them. An index can be
 * layered over another one to try out records before they are stored.
 */
import type {ClaimId, StoredResponse, WorkspaceId} from '@toucanrouter/common';
import type {ClaimRecord} from './ClaimRecords.js';

/** The claim that holds a key. */
export interface ClaimEntry {
  readonly claimId: ClaimId;
  readonly requestHash: string;
  readonly state: 'claimed' | 'completed' | 'outcome_unknown';
  /** Set when the state is `completed`. */
  readonly outcome?: StoredResponse;
  /**
   * Platform revision of the claim, which is its fencing token; undefined while
   * the claim is not stored.
   */
  readonly revision: number | undefined;
  /** Segment of the newest record of this claim. */
  readonly segment: number;
}

/** Names an idempotency key of a workspace. */
export interface ClaimKey {
  readonly workspaceId: WorkspaceId;
  readonly idempotencyKey: string;
}

/** Where a record is stored. */
export interface RecordPosition {
  readonly segment: number;
  /** Undefined while the record is not stored. */
  readonly revision: number | undefined;
}

/** The claims of a shard. */
export interface ClaimIndex {
  find(key: ClaimKey): ClaimEntry | undefined;
  /** Tells whether a claim was released; it can never be claimed again. */
  isReleased(claimId: ClaimId): boolean;
  apply(record: ClaimRecord, position: RecordPosition): void;
  /** Forgets what segments up to this number hold, as they were deleted. */
  dropThrough(segment: number): void;
  readonly size: number;
}

/** Creates an empty index. */
export function createClaimIndex(): ClaimIndex {
  const entries = new Map<string, ClaimEntry>();
  const released = new Map<ClaimId, number>();

  return {
    find: key => entries.get(toMapKey(key)),
    isReleased: claimId => released.has(claimId),
    apply: (record, position) => {
      const mapKey = toMapKey(record);
      const before = entries.get(mapKey);
      if (record.kind === 'released') {
        released.set(record.claimId, position.segment);
        if (before?.claimId === record.claimId) entries.delete(mapKey);
      } else entries.set(mapKey, toEntry(record, position, before));
    },
    dropThrough: segment => {
      for (const [key, entry] of entries) {
        if (entry.segment <= segment) entries.delete(key);
      }
      for (const [claimId, position] of released) {
        if (position <= segment) released.delete(claimId);
      }
    },
    get size() {
      return entries.size;
    },
  };
}

/** What rules read of an index. */
export type ClaimView = Pick<ClaimIndex, 'find' | 'isReleased'>;

/** An index that shows records which are not stored yet. */
export interface StagedClaims extends ClaimView {
  add(record: ClaimRecord): void;
}

/** Creates a layer over `base`, which it leaves unchanged. */
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
    return {claimId, requestHash, state: 'claimed', revision, segment};
  }
  const {outcome} = record;
  const state = outcome === undefined ? 'outcome_unknown' : 'completed';
  const revision = before?.revision ?? position.revision;
  return {claimId, requestHash, state, outcome, revision, segment};
}
