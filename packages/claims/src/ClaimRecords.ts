/**
 * What the platform stores for a claim shard: a head and numbered segments.
 * Segments form a log of batches; each batch is one write. JSON with short
 * field names, checked when it is read. With UUIDs as key and claim id a claim
 * takes 184 bytes, its release 117, and its end 503 with an answer of 200 bytes.
 */
import type {
  ClaimId,
  InstanceId,
  StoredResponse,
  WorkspaceId,
} from '@toucanrouter/common';
import {toClaimId, toInstanceId, toWorkspaceId} from '@toucanrouter/common';
import {z} from 'zod';
import {claimsPrefix, segmentKeyDigits} from './ClaimConstants.js';

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
      /** Repeats the request hash, because it may outlive the claim's record. */
      readonly kind: 'ended';
      readonly workspaceId: WorkspaceId;
      readonly idempotencyKey: string;
      readonly claimId: ClaimId;
      readonly requestHash: string;
      /** Undefined when the outcome is unknown or too large to store. */
      readonly outcome: StoredResponse | undefined;
    }
  | {
      /** Also written for a claim that never arrived, to refuse it later. */
      readonly kind: 'released';
      readonly workspaceId: WorkspaceId;
      readonly idempotencyKey: string;
      readonly claimId: ClaimId;
    };

/** The records of one write. */
export interface ClaimBatch {
  /**
   * Revision of the head that the write replaced, which is the revision of the
   * batch before. The batch's own revision is not known when it is written.
   */
  readonly afterRevision: number;
  readonly records: readonly ClaimRecord[];
}

/** A numbered part of the log. */
export interface ClaimSegment {
  readonly startedAtWallMs: number;
  readonly writtenAtWallMs: number;
  readonly batches: readonly ClaimBatch[];
}

/** The numbers of the first and the last live segment. */
export interface ClaimHead {
  readonly first: number;
  readonly last: number;
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
});

/** Returns the prefix of all keys of a shard. */
export function shardPrefix(shard: number): string {
  return `${claimsPrefix}${shard}/`;
}

/** Returns the key of a shard's head. */
export function headKey(shard: number): string {
  return `${shardPrefix(shard)}head`;
}

/** Returns the key of a segment. */
export function segmentKey(shard: number, segment: number): string {
  const digits = String(segment).padStart(segmentKeyDigits, '0');
  return `${shardPrefix(shard)}segments/${digits}`;
}

/** Encodes a head. */
export function encodeHead(head: ClaimHead): Uint8Array {
  return Buffer.from(JSON.stringify(head));
}

/** Encodes a record as a part of a batch. */
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

/** Encodes a batch of encoded records. */
export function encodeBatch(
  afterRevision: number,
  encodedRecords: readonly string[],
): string {
  return `{"after":${afterRevision},"records":[${encodedRecords.join(',')}]}`;
}

/** Encodes a segment of encoded batches. */
export function encodeSegment(
  startedAtWallMs: number,
  writtenAtWallMs: number,
  encodedBatches: readonly string[],
): Uint8Array {
  const times = `"startedAtWallMs":${startedAtWallMs},"writtenAtWallMs":${writtenAtWallMs}`;
  return Buffer.from(`{${times},"batches":[${encodedBatches.join(',')}]}`);
}

/** Decodes a head; undefined when it is malformed. */
export function decodeHead(value: Uint8Array): ClaimHead | undefined {
  return headSchema.safeParse(parseJson(value)).data;
}

/** Decodes a segment; undefined when it is malformed. */
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
