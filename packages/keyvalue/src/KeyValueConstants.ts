/**
 * Limits and intervals of the key-value client.
 */

/**
 * With values of at most 1 MiB, a page of 64 keys fits into `maxReceiveBytes`.
 */
export const keysPerListPage = 64;

/** Room for one full page of a list and its overhead. */
export const maxReceiveBytes = 72 * 1024 * 1024;

/**
 * Bounds memory: all pages of a list are held until the last one is read. More
 * than a full page fits, and less than the memory limit of a process.
 */
export const maxListBytes = 128 * 1024 * 1024;
export const maxListEntries = 100_000;

/** Delay before a reconnection attempt. It doubles up to the maximum. */
export const minReconnectBackoffMs = 100;
export const maxReconnectBackoffMs = 2000;

/**
 * Interval of pings on an idle connection, and the timeout of a response to
 * them. Servers of the protocol close connections that ping more often than
 * every 5 s.
 */
export const keepaliveIntervalMs = 10_000;
export const keepaliveTimeoutMs = 3000;
