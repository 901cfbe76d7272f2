/**
 * Intervals and limits of the exchange between the instances of the fleet.
 */

/** The idle timeout of a link covers three heartbeats. */
export const heartbeatIntervalMs = 150;

/** Interval at which the view of the members is refreshed. */
export const viewRefreshIntervalMs = 50;

/** Minimum interval between two pushes of a configuration to the same peer. */
export const configPushIntervalMs = 500;

/** Maximum number of leaving upstreams that a heartbeat contains. */
export const leavingUpstreamsPerHeartbeat = 8;

/** Maximum number of leaving upstreams that are kept; the oldest is evicted. */
export const maxLeavingUpstreams = 1_000;
