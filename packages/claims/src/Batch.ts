/**
 * Group commit: plans queued operations in order until their records fill one
 * write. Each operation is decided on the records of the operations before it.
 */
import {maxBatchBytes} from './ClaimConstants.js';
import type {ClaimView} from './ClaimIndex.js';
import {createStagedClaims} from './ClaimIndex.js';
import type {ClaimRecord} from './ClaimRecords.js';
import {encodeRecord} from './ClaimRecords.js';
import type {Operation, PreparedOperation} from './Operation.js';

/** Operations that complete with the same write. */
export interface Batch {
  readonly prepared: readonly PreparedOperation[];
  /** Records to store before the operations complete; may be empty. */
  readonly records: readonly ClaimRecord[];
}

/** Prepares operations from the front of the queue, up to `maxBatchBytes`. */
export function planBatch(
  claims: ClaimView,
  queue: readonly Operation[],
): Batch {
  const staged = createStagedClaims(claims);
  const prepared: PreparedOperation[] = [];
  const records: ClaimRecord[] = [];
  let sizeBytes = 0;
  for (const operation of queue) {
    const next = operation.prepare(staged);
    prepared.push(next);
    if (next.record === undefined) continue;
    staged.add(next.record);
    records.push(next.record);
    sizeBytes += Buffer.byteLength(encodeRecord(next.record));
    if (sizeBytes >= maxBatchBytes) break;
  }
  return {prepared, records};
}

/** Returns records from the front, up to `maxBatchBytes` and at least one. */
export function takeBatch(
  records: readonly ClaimRecord[],
): readonly ClaimRecord[] {
  let sizeBytes = 0;
  const full = records.findIndex(record => {
    sizeBytes += Buffer.byteLength(encodeRecord(record));
    return sizeBytes >= maxBatchBytes;
  });
  return full < 0 ? records : records.slice(0, full + 1);
}
