/**
 * Times of the permit exchange between holders and schedulers.
 */

/** How often a hosted scheduler applies the passage of time. */
export const schedulerTickMs = 20;

/**
 * A new scheduler waits this long for the permits that holders announce, so
 * that it does not grant slots that are taken.
 */
export const shardWarmUpMs = 200;

/** A holder that is silent for longer loses its permits and its queue places. */
export const holderTimeoutMs = 2_000;

/** A permit that its holder no longer reports is given back after this time. */
export const unreportedPermitTimeoutMs = 4_000;

/** A hosted shard that nobody used for this long is discarded. */
export const idleShardTimeoutMs = 60_000;

/** How often a holder looks for reports that are due. */
export const progressTickMs = 100;

/** A running job without news is reported this often. */
export const progressIntervalMs = 1_000;

/** A job without a token for this long is reported on each tick. */
export const stalledAfterMs = 150;

/** An unanswered request is sent again after this time; a link may have broken. */
export const acquireResendIntervalMs = 1_000;
