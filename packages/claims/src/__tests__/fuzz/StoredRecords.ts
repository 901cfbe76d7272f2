/**
 * Tracks the records that a shard's writers store, independently of the code
 * under test, and reports records that contradict earlier ones.
 */
import type {Clock} from '@toucanrouter/common';

interface StoredEntry {
  readonly key: string;
  readonly value: Buffer;
  readonly modRevision: number;
}

interface StoredRecord {
  readonly t: string;
  readonly i: string;
  readonly k: string;
  readonly a?: {readonly bodyBase64: string};
}

interface StoredSegment {
  readonly writtenAtWallMs: number;
  readonly batches: readonly {
    readonly records: readonly StoredRecord[];
  }[];
}

/** Stored state of one claim. */
export interface StoredClaim {
  /** Revision of the first record. */
  readonly revision: number;
  /** When the write of the first record was sent. The retention starts then. */
  readonly sentAtMs: number;
  ended: boolean;
  /** Base64 body of the stored outcome; undefined unless one is stored. */
  outcome?: string;
  released: boolean;
}

export interface StoredRecords {
  observeCommit(entries: readonly StoredEntry[]): void;
  find(claimId: string): StoredClaim | undefined;
  /** Whether a claim's records may have been deleted after their retention. */
  isExpired(claimId: string): boolean;
}

export function createStoredRecords(
  clock: Clock,
  retentionMs: number,
  onViolation: (message: string) => void,
): StoredRecords {
  const claims = new Map<string, StoredClaim>();
  const holders = new Map<string, string>();

  function isExpired(claimId: string): boolean {
    const claim = claims.get(claimId);
    if (claim === undefined) return false;
    return clock.wallMs() - claim.sentAtMs >= retentionMs;
  }

  function observeClaim({i: id, k: key}: StoredRecord): void {
    const holder = holders.get(key);
    holders.set(key, id);
    if (holder === undefined || isExpired(holder)) return;
    const isFree = claims.get(holder)?.released === true;
    if (!isFree) onViolation(`${id} claims ${key}, which ${holder} holds`);
  }

  function observe(record: StoredRecord, first: StoredClaim): void {
    const {t: type, i: id} = record;
    const claim = claims.get(id) ?? first;
    claims.set(id, claim);
    const isFinal = claim.ended || claim.released;
    if (isFinal && !isExpired(id)) {
      onViolation(
        `claim ${id} has ended or was released, but a record "${type}" follows`,
      );
    }
    if (type === 'c') observeClaim(record);
    if (type === 'e') {
      claim.ended = true;
      claim.outcome = record.a?.bodyBase64;
    }
    if (type === 'r') claim.released = true;
  }

  return {
    isExpired,
    find: claimId => claims.get(claimId),
    observeCommit: entries => {
      for (const {key, value, modRevision} of entries) {
        if (key.endsWith('/head') || value.length === 0) continue;
        const segment = JSON.parse(value.toString()) as StoredSegment;
        const sentAtMs = segment.writtenAtWallMs;
        for (const record of segment.batches.at(-1)?.records ?? []) {
          const first = {revision: modRevision, sentAtMs};
          observe(record, {...first, ended: false, released: false});
        }
      }
    },
  };
}
