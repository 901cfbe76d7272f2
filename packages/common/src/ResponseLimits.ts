/**
 * Limits of the responses of upstreams, the same in both request paths.
 */

/** A response that is not streamed is held as a whole, so its size costs memory. */
export const maxBufferedBodyBytes = 8 * 1024 * 1024;
/**
 * Bytes that a stream may bring without a complete event, comments included. An
 * upstream that sends more makes no progress.
 */
export const maxBytesWithoutEvent = 1024 * 1024;
/**
 * The body of a rejection is read this far, so that its connection can be used
 * again if it ends there.
 */
export const maxRejectionBodyBytes = 64 * 1024;
