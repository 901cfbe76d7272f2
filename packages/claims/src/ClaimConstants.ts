/**
 * Limits, timeouts and storage keys of claims.
 */

/**
 * At 40 writes per second each, 4 shards stay within the several hundred writes
 * per second that the key-value service handles. A different number maps keys
 * to other shards, so it can only change after all claims have expired.
 */
export const claimShardCount = 4;

export const claimsKeyPrefix = '/toucanrouter/claims/';

/** Segment numbers are zero-padded in keys, so that keys sort by number. */
export const segmentKeyDigits = 10;

/** Length of the base64 digest of a log: 144 bits. */
export const digestCharacters = 24;

/** A batch that would exceed this size starts a new segment. */
export const maxSegmentBytes = 64 * 1024;

/** Bounds the age of a segment, because its claims expire together. */
export const maxSegmentAgeMs = 3_600_000;

/** Minimum time from the last write to a closed segment until its deletion. */
export const retentionMs = 24 * 3_600_000;

/**
 * A batch takes no further records once it has reached this size. With a last
 * record of the largest size it still fits into an empty segment.
 */
export const maxBatchBytes = 48 * 1024;

/** Key-value servers limit a transaction to 128 operations. */
export const maxSegmentDeletesPerWrite = 32;

/** Responses with a larger body are stored as an unknown outcome. */
export const maxOutcomeBodyBytes = 8 * 1024;

/** Limits a writer to 40 writes per second. */
export const minWriteSpacingMs = 25;

/** An operation that has not completed by then fails. */
export const defaultOperationTimeoutMs = 5000;

/** Delay after a failed platform call. It doubles up to the maximum. */
export const minRetryDelayMs = 50;
export const maxRetryDelayMs = 1000;
