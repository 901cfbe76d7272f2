/**
 * Timeouts and limits of links between instances.
 */

/**
 * A link without received messages for longer is closed, so that messages to a
 * paused instance do not accumulate in memory.
 */
export const linkIdleTimeoutMs = 2_000;

/** Minimum time between connection attempts to one address. */
export const minRedialIntervalMs = 300;

/**
 * Head start of the instance with the lower id when both instances would dial,
 * to avoid duplicate links.
 */
export const dialHeadStartMs = 600;

/** Leaves room for a configuration, which may take up to one megabyte. */
export const maxMessageBytes = 2 * 1024 * 1024;
