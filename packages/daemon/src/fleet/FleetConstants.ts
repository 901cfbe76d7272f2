/**
 * Intervals of the work that keeps the fleet together.
 */

/** Three heartbeats fit into the time after which a link counts as silent. */
export const heartbeatIntervalMs = 150;

/** How often the view of the members is computed anew. */
export const viewRefreshIntervalMs = 50;

/** Shortest time between two pushes of a configuration to one peer. */
export const configPushIntervalMs = 500;

/** Upstreams known to be leaving that one heartbeat names. */
export const leavingUpstreamsPerHeartbeat = 8;

/** Incarnations of leaving upstreams that are remembered. */
export const maxLeavingUpstreams = 1_000;
