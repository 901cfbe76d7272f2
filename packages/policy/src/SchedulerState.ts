/**
 * State of one shard scheduler and the queries that its modules share.
 */
import type {
  ClassId,
  InstanceId,
  PermitId,
  RandomSource,
  ShardId,
  SchedulerEffect,
  Tier,
  UpstreamId,
} from '@toucanrouter/common';
import type {BoundedMap} from './BoundedMap.js';
import {createBoundedMap} from './BoundedMap.js';
import type {LengthModel} from './LengthModel.js';
import type {Queue} from './Queue.js';
import {createQueue} from './Queue.js';
import type {ClassReference, SchedulerClasses} from './SchedulerClasses.js';
import {createSchedulerClasses} from './SchedulerClasses.js';
import type {SchedulerEstimates} from './SchedulerEstimates.js';
import {createSchedulerEstimates} from './SchedulerEstimates.js';
import type {SlotUsage} from './SchedulerFairness.js';
import {createSlotUsage} from './SchedulerFairness.js';
import type {SchedulerParameters} from './SchedulerParameters.js';
import {defaultSchedulerParameters} from './SchedulerParameters.js';
import type {RateSharing, SchedulerRates} from './SchedulerRates.js';
import {createSchedulerRates} from './SchedulerRates.js';
import type {TokenBucket} from './SchedulerTokenBucket.js';
import {createTokenBucket} from './SchedulerTokenBucket.js';
import type {QueuedRequest, RunningJob} from './SchedulerTypes.js';
import type {UpstreamTracker} from './UpstreamTracker.js';

/** Dependencies and settings of a shard scheduler. */
export interface ShardSchedulerOptions {
  readonly shardId: ShardId;
  readonly tracker: UpstreamTracker;
  readonly lengths: LengthModel;
  /** Source of the jitter of Retry-After values. */
  readonly random: RandomSource;
  readonly createPermitId: () => PermitId;
  /** Overrides of the default parameters. */
  readonly parameters?: Partial<SchedulerParameters>;
  /** The other schedulers of the shard's upstreams; none by default. */
  readonly rateSharing?: RateSharing;
}

/** Totals since the scheduler was created. */
export interface MutableCounters {
  granted: number;
  refused: number;
  preempted: number;
  hedged: number;
  tokens: number;
  wastedTokens: number;
}

/** Response to an acquire of an attempt that has ended, if any. */
export type AttemptResponse = SchedulerEffect | 'nothing';

/** State of a shard scheduler between and during its calls. */
export interface SchedulerState {
  readonly options: ShardSchedulerOptions;
  readonly parameters: SchedulerParameters;
  readonly tracker: UpstreamTracker;
  readonly classes: SchedulerClasses;
  readonly queue: Queue;
  readonly jobs: Map<PermitId, RunningJob>;
  /** Permits of running attempts, by attempt key. */
  readonly permitOfAttempt: Map<string, PermitId>;
  readonly endedAttempts: BoundedMap<string, AttemptResponse>;
  readonly endedPermits: BoundedMap<PermitId, true>;
  readonly counters: MutableCounters;
  readonly usage: SlotUsage;
  readonly estimates: SchedulerEstimates;
  readonly preemptionBudget: TokenBucket;
  readonly rates: SchedulerRates;
  /** Upstream that last served each prompt prefix, by prefix hash. */
  readonly upstreamOfPrefix: BoundedMap<string, UpstreamId>;
  /** Value of the grant counter at the last overdue grant of each class. */
  readonly grantCountAtOverdue: BoundedMap<ClassId, number>;
  /** Effects of the call in progress. */
  effects: SchedulerEffect[];
  nextSequence: number;
  /** Requests that waited because a rate was used up. */
  heldBackCount: number;
  /** Time of the last review of all queued requests. */
  reviewedAtMs: number;
}

/** Creates the state of a scheduler without upstreams and classes. */
export function createSchedulerState(
  options: ShardSchedulerOptions,
): SchedulerState {
  const parameters = {...defaultSchedulerParameters, ...options.parameters};
  const usage = createSlotUsage(parameters.maxTrackedWorkspaces);
  return {
    options,
    parameters,
    tracker: options.tracker,
    classes: createSchedulerClasses(parameters.unknownClassMaxWaitMs),
    queue: createQueue(usage),
    jobs: new Map(),
    permitOfAttempt: new Map(),
    endedAttempts: createBoundedMap(parameters.maxEndedRecords),
    endedPermits: createBoundedMap(parameters.maxEndedRecords),
    counters: {
      granted: 0,
      refused: 0,
      preempted: 0,
      hedged: 0,
      tokens: 0,
      wastedTokens: 0,
    },
    usage,
    estimates: createSchedulerEstimates(parameters.arrivalPeriodMs),
    preemptionBudget: createTokenBucket(),
    rates: createSchedulerRates(options.rateSharing),
    upstreamOfPrefix: createBoundedMap(parameters.maxTrackedPrefixes),
    grantCountAtOverdue: createBoundedMap(parameters.maxTrackedWorkspaces),
    effects: [],
    nextSequence: 0,
    heldBackCount: 0,
    reviewedAtMs: -Infinity,
  };
}

/** Returns the current tier of a class. */
export function tierOf(state: SchedulerState, reference: ClassReference): Tier {
  return state.classes.policyOf(reference).tier;
}

/** Returns the queued requests that match, from the highest tier down. */
export function queuedByTier(
  state: SchedulerState,
  matches: (entry: QueuedRequest) => boolean,
): readonly QueuedRequest[] {
  const groups: QueuedRequest[][] = [];
  for (const entry of state.queue.entries()) {
    if (!matches(entry)) continue;
    const tier = tierOf(state, entry.request);
    (groups[tier] ??= []).push(entry);
  }
  return groups.flat();
}

/** Returns the jobs whose permits an instance holds. */
export function jobsOf(
  state: SchedulerState,
  holder: InstanceId,
): readonly RunningJob[] {
  return [...state.jobs.values()].filter(job => job.holder === holder);
}

/** Returns the slot time that a job of a class is expected to need. */
export function expectedSlotMs(
  state: SchedulerState,
  classId: ClassId,
): number {
  return state.estimates.slotMs(classId) ?? state.parameters.defaultSlotMs;
}
