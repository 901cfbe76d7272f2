/**
 * State of one shard scheduler, shared by the functions that act on it.
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
import type {TokenBucket} from './SchedulerTokenBucket.js';
import {createTokenBucket} from './SchedulerTokenBucket.js';
import type {QueuedRequest, RunningJob} from './SchedulerTypes.js';
import type {UpstreamTracker} from './UpstreamTracker.js';

/** What a shard scheduler is created from. */
export interface ShardSchedulerOptions {
  readonly shardId: ShardId;
  readonly tracker: UpstreamTracker;
  readonly lengths: LengthModel;
  /** Spreads out Retry-After values. */
  readonly random: RandomSource;
  readonly createPermitId: () => PermitId;
  /** Replaces some of the default parameters. */
  readonly parameters?: Partial<SchedulerParameters>;
}

/** Counters while they are counted. */
export interface MutableCounters {
  granted: number;
  refused: number;
  preempted: number;
  hedged: number;
  tokens: number;
  wastedTokens: number;
}

/** What an acquire of an ended attempt is answered with, if anything. */
export type AttemptResponse = SchedulerEffect | 'nothing';

/** Everything that a shard scheduler remembers. */
export interface SchedulerState {
  readonly options: ShardSchedulerOptions;
  readonly parameters: SchedulerParameters;
  readonly tracker: UpstreamTracker;
  readonly classes: SchedulerClasses;
  readonly queue: Queue;
  readonly jobs: Map<PermitId, RunningJob>;
  /** Permits of attempts that run now, by attempt key. */
  readonly permitOfAttempt: Map<string, PermitId>;
  readonly endedAttempts: BoundedMap<string, AttemptResponse>;
  readonly endedPermits: BoundedMap<PermitId, true>;
  readonly counters: MutableCounters;
  readonly usage: SlotUsage;
  readonly estimates: SchedulerEstimates;
  readonly preemptionBudget: TokenBucket;
  /** Upstream that last served each prompt prefix. */
  readonly upstreamOfPrefix: BoundedMap<string, UpstreamId>;
  /** Count of grants when each class last took a slot from a higher tier. */
  readonly grantCountAtOverdue: BoundedMap<ClassId, number>;
  /** Effects of the call in progress. */
  effects: SchedulerEffect[];
  nextSequence: number;
  /** When a tick last looked at every waiting request. */
  reviewedAtMs: number;
}

/** Creates the state of a scheduler that knows no upstreams and no classes. */
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
    upstreamOfPrefix: createBoundedMap(parameters.maxTrackedPrefixes),
    grantCountAtOverdue: createBoundedMap(parameters.maxTrackedWorkspaces),
    effects: [],
    nextSequence: 0,
    reviewedAtMs: -Infinity,
  };
}

/** The tier that a class has now. */
export function tierOf(state: SchedulerState, reference: ClassReference): Tier {
  return state.classes.policyOf(reference).tier;
}

/** Waiting requests that match, grouped by tier from the highest down. */
export function waitingByTier(
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

/** Jobs that an instance holds. */
export function jobsOf(
  state: SchedulerState,
  holder: InstanceId,
): readonly RunningJob[] {
  return [...state.jobs.values()].filter(job => job.holder === holder);
}

/** Slot time that a job of a class is expected to need. */
export function expectedSlotMs(
  state: SchedulerState,
  classId: ClassId,
): number {
  return state.estimates.slotMs(classId) ?? state.parameters.defaultSlotMs;
}
