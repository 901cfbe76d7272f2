/**
 * Decides waiting operations one after the other, each seeing the records of
 * those before it, until the records fill one write.
 */
import {maxBatchBytes} from './ClaimConstants.js';
import type {ClaimView} from './ClaimIndex.js';
import {createStagedClaims} from './ClaimIndex.js';
import type {ClaimRecord} from './ClaimRecords.js';
import {encodeRecord} from './ClaimRecords.js';
import type {Operation, PreparedOperation} from './Operation.js';

/** Operations that are answered together. */
export interface Batch {
  readonly prepared: readonly PreparedOperation[];
  /** What has to be stored first; may be empty. */
  readonly records: readonly ClaimRecord[];
}

/** Decides operations from the front of the queue. */
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
