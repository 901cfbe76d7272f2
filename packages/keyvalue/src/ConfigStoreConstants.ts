/**
 * Constants of the configuration store.
 */

/** Key of the current configuration. */
export const configKey = '/toucanrouter/config';

/** Keys of earlier and current versions start with this. */
export const historyPrefix = `${configKey}/history/`;

/** Digits of a version in a history key, so that keys sort by version. */
export const historyKeyDigits = 10;

/** Versions kept in the history; older ones are deleted with each change. */
export const maxHistoryVersions = 200;

/** Largest stored configuration; the service takes values up to 1 MiB. */
export const maxConfigBytes = 1_000_000;

/** Time within which a change looks for the effect of an unanswered write. */
export const defaultResolveTimeoutMs = 5000;

/** Delay before a change tries again; doubles up to the maximum. */
export const minRetryDelayMs = 50;
export const maxRetryDelayMs = 1000;

/**
 * Interval of reads beside the watch, doubling from the first to the last. The
 * first one finds a change made while the watch was being set up, the later
 * ones guard against a watch that stays silent.
 */
export const minPollIntervalMs = 1000;
export const maxPollIntervalMs = 300_000;
