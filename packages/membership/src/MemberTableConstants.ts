/**
 * Parameters of failure detection and gossip.
 */

/** An instance without a direct heartbeat for longer is considered down. */
export const suspectAfterMs = 500;

/**
 * Gossip about an instance without a link stays valid for longer than a direct
 * heartbeat, because it takes several rounds to spread.
 */
export const minGossipTtlMs = 3_000;

/**
 * Heartbeats gossip about members in rotation, so that the time between two
 * entries for a member grows with the fleet. A rotation takes 150 ms for each
 * four members; gossip stays valid for two rotations.
 */
export const gossipTtlMsPerMember = 75;

/** An instance without evidence of liveness for longer is evicted. */
export const evictAfterMs = 60_000;

/** Maximum number of member entries in one heartbeat. */
export const gossipEntriesPerHeartbeat = 4;

/** Rotations start at an index below this, derived from the instance id. */
export const gossipStartRange = 1_024;
