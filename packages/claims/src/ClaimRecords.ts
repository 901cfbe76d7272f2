/**
 * Storage format of a claim shard: a head and numbered segments. The segments
 * form a log of batches, and each write appends one batch. Values are JSON with
 * short field names, validated on read. With UUIDs as key and claim id, a claim
 * takes 184 bytes, its release 117, and its end 503 with a response of 200
 * bytes.
 */
import {createHash} from 'node:crypto';
import type {
  ClaimId,
  InstanceId,
  StoredResponse,
  WorkspaceId,
} from '@toucanrouter/common';
import {toClaimId, toInstanceId, toWorkspaceId} from '@toucanrouter/common';
import {z} from 'zod';
import {
  claimsKeyPrefix,
  digestCharacters,
  segmentKeyDigits,
} from './ClaimConstants.js';

/** One entry of the log. */
export type ClaimRecord =
  | {
      readonly kind: 'claimed';
      readonly workspaceId: WorkspaceId;
      readonly idempotencyKey: string;
      readonly claimId: ClaimId;
      readonly requestHash: string;
      readonly owner: InstanceId;
    }
  | {
      /**
       * Includes the request hash, because this record may outlive the claim's.
       */
      readonly kind: 'ended';
      readonly workspaceId: WorkspaceId;
      readonly idempotencyKey: string;
      readonly claimId: ClaimId;
      readonly requestHash: string;
      /** Undefined when the outcome is unknown or too large to store. */
      readonly outcome: StoredResponse | undefined;
    }
  | {
      /**
       * Also stored for a claim that has not arrived, to reject it if it does.
       */
      readonly kind: 'released';
      readonly workspaceId: WorkspaceId;
      readonly idempotencyKey: string;
      readonly claimId: ClaimId;
    };

/** The records of one write. */
export interface ClaimBatch {
  /**
   * Revision of the head that the write replaced, which is the revision of the
   * previous batch. The revision of the batch itself is assigned by the write.
   */
  readonly afterRevision: number;
  readonly records: readonly ClaimRecord[];
}

export interface ClaimSegment {
  readonly startedAtWallMs: number;
  readonly writtenAtWallMs: number;
  readonly batches: readonly ClaimBatch[];
}

/** Numbers of the first and last segment that are not deleted. */
export interface ClaimHead {
  readonly first: number;
  readonly last: number;
  /**
   * Digest of all batches up to this head. A revision of the head is given out
   * again when the service comes back from a copy; a digest stands for one log.
   */
  readonly digest: string;
}

const identity = {
  w: z.string().transform(toWorkspaceId),
  k: z.string(),
  i: z.string().transform(toClaimId),
};

const outcomeSchema = z.object({
  status: z.number(),
  contentType: z.string(),
  bodyBase64: z.string(),
});

const recordSchema = z.discriminatedUnion('t', [
  z
    .object({
      ...identity,
      t: z.literal('c'),
      h: z.string(),
      o: z.string().transform(toInstanceId),
    })
    .transform(r => ({
      kind: 'claimed' as const,
      workspaceId: r.w,
      idempotencyKey: r.k,
      claimId: r.i,
      requestHash: r.h,
      owner: r.o,
    })),
  z
    .object({
      ...identity,
      t: z.literal('e'),
      h: z.string(),
      a: outcomeSchema.optional(),
    })
    .transform(r => ({
      kind: 'ended' as const,
      workspaceId: r.w,
      idempotencyKey: r.k,
      claimId: r.i,
      requestHash: r.h,
      outcome: r.a,
    })),
  z.object({...identity, t: z.literal('r')}).transform(r => ({
    kind: 'released' as const,
    workspaceId: r.w,
    idempotencyKey: r.k,
    claimId: r.i,
  })),
]);

const batchSchema = z
  .object({after: z.number(), records: z.array(recordSchema)})
  .transform(b => ({afterRevision: b.after, records: b.records}));

const segmentSchema = z.object({
  startedAtWallMs: z.number(),
  writtenAtWallMs: z.number(),
  batches: z.array(batchSchema),
});

const headSchema = z.object({
  first: z.number().int().positive(),
  last: z.number().int().positive(),
  // Heads of earlier releases have none.
  digest: z.string().default(''),
});

export function shardPrefix(shard: number): string {
  return `${claimsKeyPrefix}${shard}/`;
}

export function headKey(shard: number): string {
  return `${shardPrefix(shard)}head`;
}

export function segmentKey(shard: number, segment: number): string {
  const digits = String(segment).padStart(segmentKeyDigits, '0');
  return `${shardPrefix(shard)}segments/${digits}`;
}

export function encodeHead(head: ClaimHead): Uint8Array {
  return Buffer.from(JSON.stringify(head));
}

/** Encodes a record for `encodeBatch`. */
export function encodeRecord(record: ClaimRecord): string {
  const {workspaceId: w, idempotencyKey: k, claimId: i} = record;
  switch (record.kind) {
    case 'claimed':
      return JSON.stringify({
        t: 'c',
        w,
        k,
        i,
        h: record.requestHash,
        o: record.owner,
      });
    case 'ended':
      return JSON.stringify({
        t: 'e',
        w,
        k,
        i,
        h: record.requestHash,
        a: record.outcome,
      });
    case 'released':
      return JSON.stringify({t: 'r', w, k, i});
  }
}

/**
 * Encodes a batch for `encodeSegment`, from records that are already encoded.
 */
export function encodeBatch(
  afterRevision: number,
  encodedRecords: readonly string[],
): string {
  return `{"after":${afterRevision},"records":[${encodedRecords.join(',')}]}`;
}

/** Returns the digest of the log that `batch` extends. */
export function extendDigest(digest: string, batch: string): string {
  const hash = createHash('sha256').update(digest).update(batch);
  return hash.digest('base64').slice(0, digestCharacters);
}

/** Encodes a segment from batches that are already encoded. */
export function encodeSegment(
  startedAtWallMs: number,
  writtenAtWallMs: number,
  encodedBatches: readonly string[],
): Uint8Array {
  const times = `"startedAtWallMs":${startedAtWallMs},"writtenAtWallMs":${writtenAtWallMs}`;
  return Buffer.from(`{${times},"batches":[${encodedBatches.join(',')}]}`);
}

/** Returns undefined when the value is malformed. */
export function decodeHead(value: Uint8Array): ClaimHead | undefined {
  return headSchema.safeParse(parseJson(value)).data;
}

/** Returns undefined when the value is malformed. */
export function decodeSegment(value: Uint8Array): ClaimSegment | undefined {
  return segmentSchema.safeParse(parseJson(value)).data;
}

function parseJson(value: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(value).toString('utf8'));
  } catch {
    return undefined;
  }
}
