/**
 * Times and sizes of links between instances.
 */

/**
 * A link that is silent for longer is closed, so that messages to a paused
 * instance do not pile up in memory.
 */
export const linkIdleTimeoutMs = 2_000;

/** Pause between attempts to reach one address. */
export const minRedialIntervalMs = 300;

/** Head start of the instance with the lower id when both would dial. */
export const dialHeadStartMs = 600;

/** Largest message; a configuration value may take up to one megabyte. */
export const maxMessageBytes = 2 * 1024 * 1024;
