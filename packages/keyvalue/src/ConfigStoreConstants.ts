/**
 * Keys, limits and intervals of the configuration store.
 */

export const configKey = '/toucanrouter/config';

/** Prefix of the history, which includes the current version. */
export const historyPrefix = `${configKey}/history/`;

/** Versions are zero-padded in keys, so that keys sort by version. */
export const historyKeyDigits = 10;

/** Each change deletes the version that falls out of the history. */
export const maxHistoryVersions = 200;

/** The key-value service accepts values of up to 1 MiB. */
export const maxConfigBytes = 1_000_000;

/**
 * Time limit for finding out whether a write without a response took effect.
 */
export const defaultResolveTimeoutMs = 5000;

/** Delay before a change retries its write. It doubles up to the maximum. */
export const minRetryDelayMs = 50;
export const maxRetryDelayMs = 1000;

/**
 * Interval of polls in addition to the watch, doubling from the minimum to the
 * maximum. Early polls find a change made while the watch was being
 * established. Later ones find changes that the watch fails to report.
 */
export const minPollIntervalMs = 1000;
export const maxPollIntervalMs = 300_000;
