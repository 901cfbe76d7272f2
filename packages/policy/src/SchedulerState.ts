/**
 * State of one shard scheduler, shared by the functions that act on it.
 */
import type {
  InstanceId,
  PermitId,
  RandomSource,
  ShardId,
  SchedulerEffect,
  Tier,
} from '@toucanrouter/common';
import type {LengthModel} from './LengthModel.js';
import type {Queue} from './Queue.js';
import {createQueue} from './Queue.js';
import type {ClassReference, SchedulerClasses} from './SchedulerClasses.js';
import {createSchedulerClasses} from './SchedulerClasses.js';
import type {BoundedMemory} from './SchedulerEnds.js';
import {createBoundedMemory} from './SchedulerEnds.js';
import type {SchedulerParameters} from './SchedulerParameters.js';
import {defaultSchedulerParameters} from './SchedulerParameters.js';
import type {RunningJob} from './SchedulerTypes.js';
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

/** How an attempt ended; refusals are repeated when the attempt is. */
export type AttemptEnd = 'canceled' | 'granted' | SchedulerEffect;

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
  readonly endedAttempts: BoundedMemory<string, AttemptEnd>;
  readonly endedPermits: BoundedMemory<PermitId, true>;
  readonly counters: MutableCounters;
  /** Effects of the call in progress. */
  effects: SchedulerEffect[];
  nextOrder: number;
}

/** Creates the state of a scheduler that knows no upstreams and no classes. */
export function createSchedulerState(
  options: ShardSchedulerOptions,
): SchedulerState {
  const parameters = {...defaultSchedulerParameters, ...options.parameters};
  return {
    options,
    parameters,
    tracker: options.tracker,
    classes: createSchedulerClasses(parameters.unknownClassMaxWaitMs),
    queue: createQueue(),
    jobs: new Map(),
    permitOfAttempt: new Map(),
    endedAttempts: createBoundedMemory(parameters.maxRememberedEnds),
    endedPermits: createBoundedMemory(parameters.maxRememberedEnds),
    counters: {
      granted: 0,
      refused: 0,
      preempted: 0,
      hedged: 0,
      tokens: 0,
      wastedTokens: 0,
    },
    effects: [],
    nextOrder: 0,
  };
}

/** The tier that a class has now. */
export function tierOf(state: SchedulerState, reference: ClassReference): Tier {
  return state.classes.policyOf(reference).tier;
}

/** Jobs that an instance holds. */
export function jobsOf(
  state: SchedulerState,
  holder: InstanceId,
): readonly RunningJob[] {
  return [...state.jobs.values()].filter(job => job.holder === holder);
}
