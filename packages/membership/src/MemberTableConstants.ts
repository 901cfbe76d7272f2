/**
 * Times of failure detection.
 */

/** A link that is silent for longer belongs to an instance considered down. */
export const suspectAfterMs = 500;

/**
 * Hearsay about an instance without a link is older than a heartbeat by the
 * rounds it takes to spread, so it counts for longer.
 */
export const minGossipTtlMs = 3_000;

/**
 * Heartbeats name each member in rotation, so that the time between two
 * mentions grows with the fleet. Two rounds of 150 ms for each four members
 * may pass before a mention that is missing counts.
 */
export const gossipTtlMsPerMember = 75;

/** An instance that nobody has heard for this long is forgotten. */
export const evictAfterMs = 60_000;

/** Member entries in one heartbeat. */
export const gossipEntriesPerHeartbeat = 4;

/** Range of the members at which the rotation of an instance starts. */
export const gossipStartRange = 1_024;
