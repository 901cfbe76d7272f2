/**
 * Measures memory per queued request, per held permit on both sides, and per
 * shard. The config and membership measurements cover memory per workspace and
 * per member.
 */
import {createManualClock, toShardId} from '@toucanrouter/common';
import type {PermitClient} from '@toucanrouter/daemon';
import {createPermitClient} from '@toucanrouter/daemon';
import {toPermitId, toUpstreamId} from '@toucanrouter/common';
import {measureRetainedBytes} from './Cost.js';
import type {Point} from './Fit.js';
import {createLoadedScheduler} from './LoadedScheduler.js';
import {holderId, sampleAcquire, sampleShardId} from './SampleRequests.js';
import type {Measurement, Series} from './Series.js';
import {measurePoints} from './Series.js';

const queueSizes = [1_000, 2_000, 4_000, 8_000];
const permitCounts = [512, 1_024, 2_048, 4_096];
const shardCounts = [4, 8, 16, 32];
const upstreamsPerShard = 32;

function measureQueued(queued: number): Point {
  const load = {upstreams: 1, jobsPerUpstream: 1, workspaces: 100, queued};
  return {
    x: queued,
    y: measureRetainedBytes(() => createLoadedScheduler(load)),
  };
}

function measureRunning(running: number): Point {
  const load = {
    upstreams: upstreamsPerShard,
    jobsPerUpstream: running / upstreamsPerShard,
    workspaces: 100,
    queued: 0,
  };
  return {
    x: running,
    y: measureRetainedBytes(() => createLoadedScheduler(load)),
  };
}

function measureShards(count: number): Point {
  const load = {
    upstreams: upstreamsPerShard,
    jobsPerUpstream: 0,
    workspaces: 1,
    queued: 0,
  };
  const create = () =>
    Array.from({length: count}, () => createLoadedScheduler(load));
  return {x: count, y: measureRetainedBytes(create)};
}

/** Creates a permit client that holds `count` permits. */
function createLoadedPermitClient(count: number): PermitClient {
  const clock = createManualClock();
  const ignore = () => {};
  const client = createPermitClient({
    clock,
    selfId: holderId,
    ownerOf: () => holderId,
    portOf: () => ({
      acquire: ignore,
      cancel: ignore,
      progress: ignore,
      release: ignore,
      announce: ignore,
      receiveRates: ignore,
    }),
  });
  for (let i = 0; i < count; i++) {
    const request = sampleAcquire(i, i % 100, 0);
    const {signal} = new AbortController();
    void client.acquire(toShardId(sampleShardId), request, signal);
    client.deliver(sampleShardId, holderId, {
      kind: 'grant',
      holder: holderId,
      requestId: request.requestId,
      attempt: request.attempt,
      permitId: toPermitId(`router-201.mirsq7ow.${i.toString(36)}`),
      upstreamId: toUpstreamId('engine-17'),
    });
  }
  return client;
}

async function run(): Promise<readonly Series[]> {
  return [
    {
      key: 'memory.queued',
      title: 'scheduler with queued requests',
      x: 'queued requests',
      y: 'bytes',
      points: await measurePoints(queueSizes, measureQueued),
    },
    {
      key: 'memory.running',
      title: 'scheduler with granted permits',
      x: 'permits',
      y: 'bytes',
      points: await measurePoints(permitCounts, measureRunning),
    },
    {
      key: 'memory.held',
      title: 'permit client with held permits',
      x: 'permits',
      y: 'bytes',
      points: await measurePoints(permitCounts, count => ({
        x: count,
        y: measureRetainedBytes(() => createLoadedPermitClient(count)),
      })),
    },
    {
      key: 'memory.shard',
      title: 'idle schedulers of shards with 32 upstreams',
      x: 'shards',
      y: 'bytes',
      points: await measurePoints(shardCounts, measureShards),
    },
  ];
}

/** Measurements of the memory of requests, permits and shards. */
export const memorySlopes: Measurement = {
  name: 'memory',
  description: 'bytes in use after a garbage collection',
  run,
};
