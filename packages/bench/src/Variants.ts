/**
 * The ways of scheduling that are compared: which scheduler an entry asks, and
 * which engines that scheduler knows.
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

/** One way of scheduling. */
export interface Variant {
  readonly name: string;
  readonly description: string;
  readonly createGroups: (
    workload: Workload,
    random: RandomSource,
  ) => readonly ScheduledGroup[];
}

/** Jobs per engine of the variants with fixed limits. */
const fixedLimit = 24;

function indexes(count: number): number[] {
  return Array.from({length: count}, (_, index) => index);
}

function createPermitIds(prefix: string): () => PermitId {
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
    createPermitId: createPermitIds(name),
  });
  scheduler.setClasses(workload.classes.map(toServiceClass), 0);
  return scheduler;
}

function createWhole(
  workload: Workload,
  scheduler: SimulatedScheduler,
): ScheduledGroup[] {
  const engines = indexes(workload.engines);
  return [{scheduler, engines, entries: indexes(workload.entries)}];
}

function createPerEntry(
  workload: Workload,
  random: RandomSource,
): ScheduledGroup[] {
  const engines = indexes(workload.engines);
  return indexes(workload.entries).map(entry => ({
    scheduler: createPolicyScheduler(`e${entry}`, workload, random, {
      // The entries together start from the limit of a single scheduler.
      initialLimit: 2,
    }),
    engines,
    entries: [entry],
  }));
}

function createPartitioned(
  workload: Workload,
  random: RandomSource,
): ScheduledGroup[] {
  const engines = indexes(workload.engines);
  return indexes(workload.entries).map(entry => ({
    scheduler: createPolicyScheduler(`e${entry}`, workload, random),
    engines: engines.filter(engine => engine % workload.entries === entry),
    entries: [entry],
  }));
}

/** All variants, the design first. */
export const variants: readonly Variant[] = [
  {
    name: 'shard',
    description: 'the design: one scheduler per shard',
    createGroups: (workload, random) =>
      createWhole(workload, createPolicyScheduler('s', workload, random)),
  },
  {
    name: 'per-entry',
    description: '(a) each entry schedules alone over all engines',
    createGroups: createPerEntry,
  },
  {
    name: 'partitioned',
    description: '(c) engines are divided among the entries',
    createGroups: createPartitioned,
  },
  {
    name: 'fixed-limits',
    description: `the design with ${fixedLimit} jobs per engine`,
    createGroups: (workload, random) =>
      createWhole(
        workload,
        createPolicyScheduler('s', workload, random, {
          initialLimit: fixedLimit,
          minLimit: fixedLimit,
          maxLimit: fixedLimit,
        }),
      ),
  },
  {
    name: 'fifo',
    description: `one queue in order of arrival, ${fixedLimit} jobs per engine`,
    createGroups: workload =>
      createWhole(
        workload,
        createFifoScheduler({
          jobsPerUpstream: fixedLimit,
          createPermitId: createPermitIds('s'),
        }),
      ),
  },
];
