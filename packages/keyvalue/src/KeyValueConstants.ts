/**
 * Constants of the key-value client.
 */

/** Keys per page of a list; with values of at most 1 MiB a page fits a message. */
export const keysPerListPage = 64;

/** Largest message that the client accepts: one full page and its overhead. */
export const maxReceiveBytes = 72 * 1024 * 1024;

/** Delay before the first reconnection, which doubles up to the maximum. */
export const minReconnectBackoffMs = 100;
export const maxReconnectBackoffMs = 2000;

/**
 * Interval of pings on an idle connection and the wait for their answer. The
 * protocol's servers close connections that ping more often than every 5 s.
 */
export const keepaliveIntervalMs = 10_000;
export const keepaliveTimeoutMs = 3000;
