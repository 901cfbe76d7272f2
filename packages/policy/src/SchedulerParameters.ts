/**
 * Parameters of the shard scheduler and their defaults.
 */

/** Parameters of the scheduling policy. */
export interface SchedulerParameters {
  /** Requests that may be queued in one shard before one of them is refused. */
  readonly maxQueued: number;
  /** Shortest interval between two reviews of all queued requests. */
  readonly reviewIntervalMs: number;
  /** Maximum wait of requests whose class is unknown to the scheduler. */
  readonly unknownClassMaxWaitMs: number;
  /**
   * Share of the class's maximum wait after which a request is overdue and is
   * granted a slot before higher tiers. The remaining share leaves time for a
   * slot to become free; at the maximum wait the request is refused.
   */
  readonly overdueShare: number;
  /**
   * Smallest number of grants between two overdue grants of one class. Without
   * it, a backlog of overdue requests would take every slot from higher tiers.
   */
  readonly overdueGrantInterval: number;
  /**
   * Time before its deadline at which a request preempts a lower tier, so that
   * the slot is free in time.
   */
  readonly deadlineLeadMs: number;
  /** Fraction of its target after which a queued request preempts jobs. */
  readonly targetRiskFraction: number;
  /** Run time before which a job is not preempted for a target. */
  readonly minimumRunMs: number;
  /** Refill rate of the target preemption budget, per slot and second. */
  readonly preemptionsPerSlotSecond: number;
  /** Burst size of the target preemption budget, per slot of the shard. */
  readonly preemptionBurstPerSlot: number;
  /** Interval at which a preemption without a response is sent again. */
  readonly preemptResendIntervalMs: number;
  /** Interval at which a holder is notified again of a suspect upstream. */
  readonly suspectResendIntervalMs: number;
  /** Quantile of output length above which a job counts as long. */
  readonly longJobLengthQuantile: number;
  /** Share of the slots that long jobs may hold while short jobs are queued. */
  readonly longJobSlotShare: number;
  /**
   * The lowest tier is refused early when its estimated wait exceeds its target
   * multiplied by this factor, or its maximum wait.
   */
  readonly shedTargetFactor: number;
  /** Expected slot time of a job until the first job has completed. */
  readonly defaultSlotMs: number;
  /** Time constant of the averages of arriving work by tier. */
  readonly arrivalPeriodMs: number;
  /** Share of the slots that wait estimates always assume for a lower tier. */
  readonly minimumTierShare: number;
  /** Lower bound of Retry-After values. */
  readonly retryAfterMinMs: number;
  /** Upper bound of Retry-After values. */
  readonly retryAfterMaxMs: number;
  /** Ended attempts and permits that are kept to detect late messages. */
  readonly maxEndedRecords: number;
  /** Prompt prefixes whose last upstream is kept. */
  readonly maxTrackedPrefixes: number;
  /** Pairs of class and workspace whose slot usage is kept. */
  readonly maxTrackedWorkspaces: number;
}

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
