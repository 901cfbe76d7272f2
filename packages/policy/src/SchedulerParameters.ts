/**
 * Parameters of the shard scheduler's policy, with their defaults.
 */

/** What the policy of a shard scheduler depends on. */
export interface SchedulerParameters {
  /** Requests that may wait in one shard before one of them is refused. */
  readonly maxQueued: number;
  /** Maximum wait of requests whose class the scheduler does not know. */
  readonly unknownClassMaxWaitMs: number;
  /** Retry-After values are at least this long. */
  readonly retryAfterMinMs: number;
  /** Retry-After values are at most this long. */
  readonly retryAfterMaxMs: number;
  /** Ended attempts and permits that are remembered to recognise late messages. */
  readonly maxRememberedEnds: number;
}

/** Defaults of all parameters. */
export const defaultSchedulerParameters: SchedulerParameters = {
  maxQueued: 1000,
  unknownClassMaxWaitMs: 10_000,
  retryAfterMinMs: 500,
  retryAfterMaxMs: 30_000,
  maxRememberedEnds: 10_000,
};
