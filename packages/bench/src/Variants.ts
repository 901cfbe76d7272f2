/**
 * The scheduling variants that the benchmark compares. A variant decides which
 * scheduler serves an entry and which engines that scheduler uses.
 */
import type {PermitId, RandomSource} from '@toucanrouter/common';
import {toPermitId, toShardId} from '@toucanrouter/common';
import type {UpstreamTrackerParameters} from '@toucanrouter/policy';
import {
  createLengthModel,
  createShardScheduler,
  createUpstreamTracker,
} from '@toucanrouter/policy';
import type {SimulatedScheduler} from './FifoScheduler.js';
import {createFifoScheduler} from './FifoScheduler.js';
import type {Workload} from './Workload.js';
import {toServiceClass} from './Workload.js';

/** A scheduler with the indexes of the engines and entries that it serves. */
export interface ScheduledGroup {
  readonly scheduler: SimulatedScheduler;
  readonly engines: readonly number[];
  readonly entries: readonly number[];
}

/** A scheduling variant. */
export interface Variant {
  readonly name: string;
  readonly description: string;
  readonly createGroups: (
    workload: Workload,
    random: RandomSource,
  ) => readonly ScheduledGroup[];
}

/** Concurrency limit per engine of the variants without adaptive limits. */
const fixedJobsPerEngine = 24;

function indexRange(count: number): number[] {
  return Array.from({length: count}, (_, index) => index);
}

function createPermitIdGenerator(prefix: string): () => PermitId {
  let next = 0;
  return () => toPermitId(`${prefix}/${next++}`);
}

function createPolicyScheduler(
  name: string,
  workload: Workload,
  random: RandomSource,
  parameters: Partial<UpstreamTrackerParameters> = {},
): SimulatedScheduler {
  const scheduler = createShardScheduler({
    shardId: toShardId(name),
    tracker: createUpstreamTracker(parameters),
    lengths: createLengthModel(),
    random,
    createPermitId: createPermitIdGenerator(name),
  });
  scheduler.setClasses(workload.classes.map(toServiceClass), 0);
  return scheduler;
}

function createSharedGroup(
  workload: Workload,
  scheduler: SimulatedScheduler,
): ScheduledGroup[] {
  const engines = indexRange(workload.engines);
  return [{scheduler, engines, entries: indexRange(workload.entries)}];
}

function createGroupPerEntry(
  workload: Workload,
  random: RandomSource,
): ScheduledGroup[] {
  const engines = indexRange(workload.engines);
  return indexRange(workload.entries).map(entry => ({
    scheduler: createPolicyScheduler(`e${entry}`, workload, random, {
      // The entries share the engines; together they start from the initial
      // limit of a single scheduler.
      initialLimit: 2,
    }),
    engines,
    entries: [entry],
  }));
}

function createPartitionedGroups(
  workload: Workload,
  random: RandomSource,
): ScheduledGroup[] {
  const engines = indexRange(workload.engines);
  return indexRange(workload.entries).map(entry => ({
    scheduler: createPolicyScheduler(`e${entry}`, workload, random),
    engines: engines.filter(engine => engine % workload.entries === entry),
    entries: [entry],
  }));
}

/** All variants; the first is the production design. */
export const variants: readonly Variant[] = [
  {
    name: 'shard',
    description: 'production design: one scheduler per shard',
    createGroups: (workload, random) =>
      createSharedGroup(workload, createPolicyScheduler('s', workload, random)),
  },
  {
    name: 'per-entry',
    description: '(a) each entry schedules alone over all engines',
    createGroups: createGroupPerEntry,
  },
  {
    name: 'partitioned',
    description:
      '(c) each entry schedules alone over its own partition of the engines',
    createGroups: createPartitionedGroups,
  },
  {
    name: 'fixed-limits',
    description: `the design with ${fixedJobsPerEngine} jobs per engine`,
    createGroups: (workload, random) =>
      createSharedGroup(
        workload,
        createPolicyScheduler('s', workload, random, {
          initialLimit: fixedJobsPerEngine,
          minLimit: fixedJobsPerEngine,
          maxLimit: fixedJobsPerEngine,
        }),
      ),
  },
  {
    name: 'fifo',
    description: `one FIFO queue, ${fixedJobsPerEngine} jobs per engine`,
    createGroups: workload =>
      createSharedGroup(
        workload,
        createFifoScheduler({
          jobsPerUpstream: fixedJobsPerEngine,
          createPermitId: createPermitIdGenerator('s'),
        }),
      ),
  },
];
