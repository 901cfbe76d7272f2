/**
 * Measures the CPU time of scheduling decisions and ticks by queue length,
 * upstreams, workspaces and running jobs.
 */
import {measureMicrosPerCall} from './Cost.js';
import type {Point} from './Fit.js';
import type {LoadedScheduler, SchedulerLoad} from './LoadedScheduler.js';
import {createLoadedScheduler} from './LoadedScheduler.js';
import type {Measurement, Series} from './Series.js';
import {measurePoints} from './Series.js';

const decisionCalls = 2_000;
const tickCalls = 300;

const usualLoad: SchedulerLoad = {
  upstreams: 8,
  jobsPerUpstream: 8,
  queued: 100,
  workspaces: 16,
};

type Vary = (size: number) => Partial<SchedulerLoad>;

interface Variation {
  readonly name: string;
  readonly x: string;
  readonly sizes: readonly number[];
  readonly vary: Vary;
}

const variations: readonly Variation[] = [
  {
    name: 'queue',
    x: 'queued requests',
    sizes: [0, 100, 200, 400, 800],
    vary: queued => ({queued}),
  },
  {
    name: 'upstreams',
    x: 'upstreams of 8 running jobs each, 100 queued',
    sizes: [4, 8, 16, 32, 64],
    vary: upstreams => ({upstreams}),
  },
  {
    name: 'workspaces',
    x: 'workspaces, 1,300 queued',
    sizes: [1, 300, 650, 1300],
    vary: workspaces => ({workspaces, queued: 1300}),
  },
  {
    name: 'jobs',
    x: 'running jobs on 32 upstreams, none queued',
    sizes: [512, 1024, 2048, 4096],
    vary: jobs => ({upstreams: 32, jobsPerUpstream: jobs / 32, queued: 0}),
  },
];

function measureAt(
  vary: Vary,
  size: number,
  calls: number,
  run: (scheduler: LoadedScheduler) => void,
): Point {
  const scheduler = createLoadedScheduler({...usualLoad, ...vary(size)});
  return {x: size, y: measureMicrosPerCall(calls, () => run(scheduler))};
}

async function measureVariation({
  name,
  sizes,
  vary,
  x,
}: Variation): Promise<readonly Series[]> {
  const decisions = await measurePoints(sizes, size =>
    measureAt(vary, size, decisionCalls, s => s.replaceOldestJob()),
  );
  const ticks = await measurePoints(sizes, size =>
    measureAt(vary, size, tickCalls, s => s.tick()),
  );
  return [
    {
      key: `scheduler.decision.${name}`,
      title: 'release, grant and acquire of one request',
      x,
      y: 'µs',
      points: decisions,
    },
    {
      key: `scheduler.tick.${name}`,
      title: 'tick of one shard',
      x,
      y: 'µs',
      points: ticks,
    },
  ];
}

/** Measurements of the shard scheduler's decisions and ticks. */
export const schedulerSlopes: Measurement = {
  name: 'scheduler',
  description: 'createShardScheduler and createUpstreamTracker, injected time',
  run: async () => {
    const series: Series[] = [];
    for (const variation of variations) {
      series.push(...(await measureVariation(variation)));
    }
    return series;
  },
};
