/**
 * Constants of claims.
 */

/**
 * Number of claim shards. At 40 writes per second each they stay within the
 * several hundred writes per second of the key-value service. Changing the
 * number moves keys between shards, so it requires that all claims expired.
 */
export const claimShardCount = 4;

/** Keys of all claim shards start with this. */
export const claimsKeyPrefix = '/toucanrouter/claims/';

/** Digits of a segment number in its key, so that keys sort by number. */
export const segmentKeyDigits = 10;

/** A segment is closed before it exceeds this size. */
export const maxSegmentBytes = 64 * 1024;

/** A segment is closed at this age, so that its claims expire together. */
export const maxSegmentAgeMs = 3_600_000;

/** A closed segment is deleted this long after its last write. */
export const retentionMs = 24 * 3_600_000;

/**
 * Records of one write. A batch fits an empty segment together with one record
 * of the largest size.
 */
export const maxBatchBytes = 48 * 1024;

/** Segments deleted with one write; servers limit a transaction to 128 steps. */
export const maxSegmentDeletesPerWrite = 32;

/** Answers with a larger body are not stored. */
export const maxOutcomeBodyBytes = 8 * 1024;

/** Least time between the starts of two writes: at most 40 per second. */
export const minWriteSpacingMs = 25;

/** Time after which an operation that was not settled fails. */
export const defaultOperationTimeoutMs = 5000;

/** Delay after a failed platform call; doubles up to the maximum. */
export const minRetryDelayMs = 50;
export const maxRetryDelayMs = 1000;
