/**
 * A shard scheduler with a given number of running jobs and queued requests, in
 * simulated time.
 */
import type {PermitId, ServiceClass} from '@toucanrouter/common';
import {createSeededRandom, toPermitId} from '@toucanrouter/common';
import type {ShardScheduler} from '@toucanrouter/policy';
import {
  createLengthModel,
  createShardScheduler,
  createUpstreamTracker,
} from '@toucanrouter/policy';
import {
  sampleAcquire,
  sampleClassId,
  sampleRelease,
  sampleShardId,
  sampleUpstreams,
} from './SampleRequests.js';

/** Load of a scheduler. */
export interface SchedulerLoad {
  readonly upstreams: number;
  readonly jobsPerUpstream: number;
  readonly queued: number;
  readonly workspaces: number;
}

/** A scheduler under a steady load. */
export interface LoadedScheduler {
  /** Completes the oldest job, so that a queued one starts; queues another. */
  replaceOldestJob(): void;
  tick(): void;
  running(): number;
  queued(): number;
}

const maxQueued = 1_000_000;
const stepMs = 0.5;
const tickMs = 20;
const seed = 1;

const sampleClass: ServiceClass = {
  id: sampleClassId,
  tier: 2,
  target: {totalMs: 1e9},
  idempotent: true,
  maxWaitMs: 1e9,
  match: {models: ['general-large'], services: [], methods: [], paths: []},
};

/** Creates a scheduler with a fixed limit of `jobsPerUpstream` per engine. */
export function createSampleScheduler(
  upstreams: number,
  jobsPerUpstream: number,
): ShardScheduler {
  let lastPermit = 0;
  const scheduler = createShardScheduler({
    shardId: sampleShardId,
    tracker: createUpstreamTracker({
      initialLimit: jobsPerUpstream,
      minLimit: jobsPerUpstream,
      maxLimit: jobsPerUpstream,
      headroomByTier: {1: 0, 2: 0, 3: 0, 4: 0},
    }),
    lengths: createLengthModel(),
    random: createSeededRandom(seed),
    createPermitId: () =>
      toPermitId(`router-201.mirsq7ow.${(++lastPermit).toString(36)}`),
    parameters: {maxQueued},
  });
  scheduler.setClasses([sampleClass], 0);
  scheduler.setUpstreams(sampleUpstreams(upstreams), 0);
  return scheduler;
}

/** Creates a scheduler with all slots in use and `queued` requests waiting. */
export function createLoadedScheduler(load: SchedulerLoad): LoadedScheduler {
  const {jobsPerUpstream, queued, upstreams, workspaces} = load;
  const scheduler = createSampleScheduler(upstreams, jobsPerUpstream);
  const permits: PermitId[] = [];
  let nextRequest = 0;
  let nowMs = 0;

  function recordGrants(effects: ReturnType<ShardScheduler['tick']>): void {
    for (const effect of effects) {
      if (effect.kind === 'grant') permits.push(effect.permitId);
    }
  }

  function acquireOne(): void {
    const request = sampleAcquire(nextRequest, nextRequest % workspaces, nowMs);
    nextRequest += 1;
    recordGrants(scheduler.acquire(request, nowMs));
  }

  function replaceOldestJob(): void {
    nowMs += stepMs;
    const permitId = permits.shift();
    if (permitId !== undefined) {
      recordGrants(scheduler.release(sampleRelease(permitId), nowMs));
    }
    acquireOne();
  }

  for (let i = 0; i < upstreams * jobsPerUpstream + queued; i++) acquireOne();
  return {
    replaceOldestJob,
    tick: () => {
      nowMs += tickMs;
      recordGrants(scheduler.tick(nowMs));
    },
    running: () => permits.length,
    queued: () =>
      scheduler
        .snapshot(nowMs)
        .queues.reduce((sum, queue) => sum + queue.queued, 0),
  };
}
