/**
 * Intervals and timeouts of the permit exchange between the instances that
 * hold permits and the schedulers that grant them.
 */

/** Interval at which hosted schedulers process timeouts and queued requests. */
export const schedulerTickMs = 20;

/**
 * A new scheduler grants nothing for this long, so that holders can announce
 * the slots that their permits already occupy.
 */
export const shardWarmUpMs = 200;

/** A holder without a heartbeat for this long loses its permits and requests. */
export const holderTimeoutMs = 2_000;

/** A permit that its holder has not reported for this long is reclaimed. */
export const unreportedPermitTimeoutMs = 4_000;

/** A shard that another instance owns is removed after this time without use. */
export const idleShardTimeoutMs = 60_000;

/** Interval at which a holder checks which progress reports are due. */
export const progressTickMs = 100;

/** Longest interval between two progress reports of a running job. */
export const progressIntervalMs = 1_000;

/** A job without a new token for this long is reported on each tick. */
export const stalledAfterMs = 150;

/** Request rates are reported this often while requests are sent. */
export const rateReportIntervalMs = 200;

/** A pending request is resent at this interval, as a broken link may lose it. */
export const acquireResendIntervalMs = 1_000;
