/**
 * Parameters of the shard scheduler's policy, with their defaults.
 */

/** What the policy of a shard scheduler depends on. */
export interface SchedulerParameters {
  /** Requests that may wait in one shard before one of them is refused. */
  readonly maxQueued: number;
  /** Ticks look at every waiting request at most this often. */
  readonly reviewIntervalMs: number;
  /** Maximum wait of requests whose class the scheduler does not know. */
  readonly unknownClassMaxWaitMs: number;
  /**
   * Share of its class's maximum wait after which a request takes a slot from
   * higher tiers. The rest of the wait leaves time for that slot to come;
   * at the maximum wait the request is refused.
   */
  readonly overdueShare: number;
  /**
   * Grants between two slots that one class takes from higher tiers because
   * its oldest request exceeded the maximum wait. Without an interval, a
   * backlog of overdue requests would take every slot from higher tiers.
   */
  readonly overdueGrantInterval: number;
  /**
   * A lower tier is preempted for a request this long before its deadline, so
   * that the slot is free in time.
   */
  readonly deadlineLeadMs: number;
  /** Fraction of its target that a request waits before others are preempted. */
  readonly targetRiskFraction: number;
  /** A job runs at least this long before it is preempted for a target. */
  readonly minimumRunMs: number;
  /** Preemptions for targets, per slot of the shard and second. */
  readonly preemptionsPerSlotSecond: number;
  /** Preemptions for targets that may come together, per slot of the shard. */
  readonly preemptionBurstPerSlot: number;
  /** A preemption that its holder has not answered is repeated after this. */
  readonly preemptResendIntervalMs: number;
  /** A holder is told again that its upstream is suspect after this. */
  readonly suspectResendIntervalMs: number;
  /** Quantile of output length past which a job counts as long. */
  readonly longJobLengthQuantile: number;
  /** Share of the slots that long jobs hold while short jobs wait. */
  readonly longJobSlotShare: number;
  /**
   * The lowest tier is refused early when its estimated wait exceeds its
   * target this many times, or the maximum wait.
   */
  readonly shedTargetFactor: number;
  /** Slot time that a job is assumed to need before one of its class ended. */
  readonly defaultSlotMs: number;
  /** Period over which the arriving work of each tier is averaged. */
  readonly arrivalPeriodMs: number;
  /** Share of capacity that wait estimates always leave to a lower tier. */
  readonly minimumTierShare: number;
  /** Retry-After values are at least this long. */
  readonly retryAfterMinMs: number;
  /** Retry-After values are at most this long. */
  readonly retryAfterMaxMs: number;
  /** Ended attempts and permits that are remembered to recognise late messages. */
  readonly maxEndedRecords: number;
  /** Prompt prefixes whose upstream is remembered. */
  readonly maxTrackedPrefixes: number;
  /** Pairs of class and workspace whose use of slots is remembered. */
  readonly maxTrackedWorkspaces: number;
}

/** Defaults of all parameters. */
export const defaultSchedulerParameters: SchedulerParameters = {
  maxQueued: 1000,
  reviewIntervalMs: 100,
  unknownClassMaxWaitMs: 10_000,
  overdueShare: 0.8,
  overdueGrantInterval: 10,
  deadlineLeadMs: 300,
  targetRiskFraction: 0.25,
  minimumRunMs: 1000,
  preemptionsPerSlotSecond: 0.1,
  preemptionBurstPerSlot: 0.5,
  preemptResendIntervalMs: 1000,
  suspectResendIntervalMs: 500,
  longJobLengthQuantile: 0.9,
  longJobSlotShare: 0.3,
  shedTargetFactor: 1,
  defaultSlotMs: 1000,
  arrivalPeriodMs: 10_000,
  minimumTierShare: 0.1,
  retryAfterMinMs: 500,
  retryAfterMaxMs: 30_000,
  maxEndedRecords: 10_000,
  maxTrackedPrefixes: 10_000,
  maxTrackedWorkspaces: 10_000,
};
