/**
 * Log of a claim shard: decodes it and plans the transactions that append to
 * it. Every transaction compares the revision and the value of the head, so that
 * a writer with an outdated copy changes nothing, also when the service gave the
 * revision out again after it came back from a copy.
 */
import type {KeyValue, KeyValueTransaction} from '@toucanrouter/common';
import {PlatformError} from '@toucanrouter/common';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import {maxSegmentDeletesPerWrite} from './ClaimConstants.js';
import type {ClaimIndex} from './ClaimIndex.js';
import {createClaimIndex} from './ClaimIndex.js';
import type {ClaimHead, ClaimRecord, ClaimSegment} from './ClaimRecords.js';
import {
  decodeHead,
  decodeSegment,
  encodeBatch,
  encodeHead,
  encodeRecord,
  encodeSegment,
  extendDigest,
  headKey,
  segmentKey,
} from './ClaimRecords.js';

export interface SegmentLimits {
  readonly maxSegmentBytes: number;
  readonly maxSegmentAgeMs: number;
  readonly retentionMs: number;
}

/** The last segment, to which batches are appended. */
export interface OpenSegment {
  readonly number: number;
  readonly startedAtWallMs: number;
  readonly writtenAtWallMs: number;
  readonly encodedBatches: readonly string[];
  readonly sizeBytes: number;
}

/** A segment that takes no more batches. */
export interface ClosedSegment {
  readonly number: number;
  readonly writtenAtWallMs: number;
}

/** State of the log as of one revision of the head. */
export interface LogState {
  /** Revision of the head; 0 while the shard is empty. */
  readonly headRevision: number;
  /** Value of the head, which names this log; undefined while it is empty. */
  readonly headValue: Uint8Array | undefined;
  readonly digest: string;
  readonly closedSegments: readonly ClosedSegment[];
  /** Undefined while the shard is empty. */
  readonly openSegment: OpenSegment | undefined;
}

/** The log of a shard and the claims that result from it. */
export interface LoadedShard {
  readonly log: LogState;
  readonly claims: ClaimIndex;
}

/** A transaction that appends a batch, and its effects. */
export interface AppendPlan {
  readonly transaction: KeyValueTransaction;
  /** Segment that receives the batch. */
  readonly segment: number;
  /** Number of the last segment that the transaction deletes; 0 for none. */
  readonly deletedThrough: number;
  /** Returns the state after the transaction succeeds at `revision`. */
  readonly logStateAt: (revision: number) => LogState;
}

/**
 * Plans the transaction that appends `records` as one batch and deletes expired
 * segments.
 */
export function planAppend(
  shard: number,
  log: LogState,
  records: readonly ClaimRecord[],
  limits: SegmentLimits,
  wallMs: number,
): AppendPlan {
  const batch = encodeBatch(log.headRevision, records.map(encodeRecord));
  const startsSegment = mustStartSegment(
    log.openSegment,
    batch,
    limits,
    wallMs,
  );
  const openSegment = appendBatch(
    startsSegment ? undefined : log.openSegment,
    batch,
    wallMs,
    log.openSegment,
  );
  const allClosed =
    startsSegment && log.openSegment
      ? [...log.closedSegments, log.openSegment]
      : log.closedSegments;
  const expired = findExpiredSegments(allClosed, limits, wallMs);
  const closedSegments = allClosed.slice(expired.length);
  const head = {
    first: closedSegments[0]?.number ?? openSegment.number,
    last: openSegment.number,
    digest: extendDigest(log.digest, batch),
  };
  const headValue = encodeHead(head);
  return {
    transaction: {
      compares: [
        {
          key: headKey(shard),
          modRevision: log.headRevision,
          ...(log.headValue && {value: log.headValue}),
        },
      ],
      puts: [
        {key: headKey(shard), value: headValue},
        {
          key: segmentKey(shard, openSegment.number),
          value: encodeSegment(
            openSegment.startedAtWallMs,
            openSegment.writtenAtWallMs,
            openSegment.encodedBatches,
          ),
        },
      ],
      deletes: expired.map(segment => segmentKey(shard, segment.number)),
    },
    segment: openSegment.number,
    deletedThrough: expired.at(-1)?.number ?? 0,
    logStateAt: headRevision => ({
      headRevision,
      headValue,
      digest: head.digest,
      closedSegments,
      openSegment,
    }),
  };
}

function mustStartSegment(
  open: OpenSegment | undefined,
  batch: string,
  limits: SegmentLimits,
  wallMs: number,
): boolean {
  if (open === undefined) return true;
  const sizeBytes = open.sizeBytes + Buffer.byteLength(batch);
  if (sizeBytes > limits.maxSegmentBytes) return true;
  return wallMs - open.startedAtWallMs >= limits.maxSegmentAgeMs;
}

/**
 * Appends to `open`, or starts the segment after `previous` if there is none.
 */
function appendBatch(
  open: OpenSegment | undefined,
  batch: string,
  wallMs: number,
  previous: OpenSegment | undefined,
): OpenSegment {
  return {
    number: open?.number ?? (previous?.number ?? 0) + 1,
    startedAtWallMs: open?.startedAtWallMs ?? wallMs,
    writtenAtWallMs: wallMs,
    encodedBatches: [...(open?.encodedBatches ?? []), batch],
    sizeBytes: (open?.sizeBytes ?? 0) + Buffer.byteLength(batch),
  };
}

/**
 * Returns the oldest expired segments, at most `maxSegmentDeletesPerWrite`.
 * Stops at the first segment that has not expired, so that the log has no gaps.
 */
function findExpiredSegments(
  closed: readonly ClosedSegment[],
  limits: SegmentLimits,
  wallMs: number,
): readonly ClosedSegment[] {
  const firstLiveIndex = closed.findIndex(
    segment => wallMs - segment.writtenAtWallMs < limits.retentionMs,
  );
  const count = firstLiveIndex < 0 ? closed.length : firstLiveIndex;
  return closed.slice(0, Math.min(count, maxSegmentDeletesPerWrite));
}

/** Whether the service still has the head that `log` was read or written at. */
export function isHeadOf(log: LogState, entry: KeyValue | undefined): boolean {
  if (entry === undefined) return log.headRevision === 0;
  return (
    entry.modRevision === log.headRevision &&
    log.headValue !== undefined &&
    Buffer.compare(entry.value, log.headValue) === 0
  );
}

/** Returns the number of the first segment that is not deleted. */
export function firstSegmentOf({
  closedSegments,
  openSegment,
}: LogState): number {
  return closedSegments[0]?.number ?? openSegment?.number ?? 0;
}

/** Decodes a shard from all of its entries, read at one revision. */
export function decodeShard(
  shard: number,
  entries: readonly KeyValue[],
): Result<LoadedShard, PlatformError> {
  const values = new Map(entries.map(entry => [entry.key, entry]));
  const headEntry = values.get(headKey(shard));
  if (headEntry === undefined) return decodeEmptyShard(shard, entries);
  const head = decodeHead(headEntry.value);
  if (head === undefined) return malformedError(headEntry.key);
  return decodeSegments(shard, head, values).map(segments => ({
    log: toLogState(head, headEntry, segments),
    claims: replay(head, headEntry.modRevision, segments),
  }));
}

function decodeEmptyShard(
  shard: number,
  entries: readonly KeyValue[],
): Result<LoadedShard, PlatformError> {
  // Segments without a head may be an incomplete log.
  if (entries.length > 0) return malformedError(headKey(shard));
  const log = {
    headRevision: 0,
    headValue: undefined,
    digest: '',
    closedSegments: [],
    openSegment: undefined,
  };
  return ok({log, claims: createClaimIndex()});
}

function decodeSegments(
  shard: number,
  head: ClaimHead,
  values: ReadonlyMap<string, KeyValue>,
): Result<readonly ClaimSegment[], PlatformError> {
  const segments: ClaimSegment[] = [];
  for (let number = head.first; number <= head.last; number++) {
    const key = segmentKey(shard, number);
    const entry = values.get(key);
    const segment = entry && decodeSegment(entry.value);
    if (segment === undefined) return malformedError(key);
    segments.push(segment);
  }
  return ok(segments);
}

function toLogState(
  head: ClaimHead,
  headEntry: KeyValue,
  segments: readonly ClaimSegment[],
): LogState {
  const closedSegments = segments.slice(0, -1).map((segment, i) => ({
    number: head.first + i,
    writtenAtWallMs: segment.writtenAtWallMs,
  }));
  const last = segments.at(-1);
  return {
    headRevision: headEntry.modRevision,
    headValue: headEntry.value,
    digest: head.digest,
    closedSegments,
    openSegment: last && toOpenSegment(head.last, last),
  };
}

function toOpenSegment(number: number, segment: ClaimSegment): OpenSegment {
  const encodedBatches = segment.batches.map(batch =>
    encodeBatch(batch.afterRevision, batch.records.map(encodeRecord)),
  );
  const sizeBytes = encodedBatches.reduce(
    (sum, batch) => sum + Buffer.byteLength(batch),
    0,
  );
  const {startedAtWallMs, writtenAtWallMs} = segment;
  return {number, startedAtWallMs, writtenAtWallMs, encodedBatches, sizeBytes};
}

/**
 * Applies all records in order. The revision of a batch is the `afterRevision`
 * of the next batch, or the revision of the head for the last batch.
 */
function replay(
  head: ClaimHead,
  headRevision: number,
  segments: readonly ClaimSegment[],
): ClaimIndex {
  const claims = createClaimIndex();
  const batches = segments.flatMap((segment, i) =>
    segment.batches.map(batch => ({batch, segment: head.first + i})),
  );
  batches.forEach(({batch, segment}, i) => {
    const next = batches[i + 1];
    const revision = next?.batch.afterRevision ?? headRevision;
    for (const record of batch.records) {
      claims.apply(record, {segment, revision});
    }
  });
  return claims;
}

function malformedError(key: string): Result<never, PlatformError> {
  const message = `claims: ${key} is missing or malformed`;
  return err(new PlatformError(message, false));
}
