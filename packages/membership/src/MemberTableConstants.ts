/**
 * Times of failure detection.
 */

/** A link that is silent for longer belongs to an instance considered down. */
export const suspectAfterMs = 500;

/**
 * Hearsay about an instance without a link is older than a heartbeat by the
 * rounds it takes to spread, so it counts for longer.
 */
export const hearsayValidMs = 3_000;

/** An instance that nobody has heard for this long is forgotten. */
export const forgetAfterMs = 60_000;

/** Member entries in one heartbeat. */
export const gossipEntriesPerHeartbeat = 4;
