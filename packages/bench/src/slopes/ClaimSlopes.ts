/**
 * Measures the cost of one claim shard by claims per second, and of loading a
 * shard by the number of stored claims. The clock is simulated; each claim
 * completes after 100 ms with a response of 200 bytes.
 */
import type {ClaimReference, ManualClock} from '@toucanrouter/common';
import {
  createManualClock,
  toClaimId,
  toWorkspaceId,
} from '@toucanrouter/common';
import type {ClaimWriter} from '@toucanrouter/claims';
import {createClaimWriter} from '@toucanrouter/claims';
import {cpuMicros, usedBytes} from './Cost.js';
import type {CountingStore} from './CountingStore.js';
import {createCountingStore} from './CountingStore.js';
import type {Point} from './Fit.js';
import {holderId, sampleRequestId} from './SampleRequests.js';
import type {Measurement, Series} from './Series.js';

/**
 * From 20 claims per second on, a shard writes at its maximum rate. Below that,
 * each record is a separate write, and the cost is not linear.
 */
const claimRates = [20, 40, 80, 160];
const storedCounts = [1_000, 2_000, 4_000, 8_000];
const warmUpSeconds = 4;
const measuredSeconds = 20;
const stepMs = 5;
const callDurationMs = 100;
const shard = 0;
const workspaceCount = 1_300;

const outcome = {
  status: 201,
  contentType: 'application/json',
  bodyBase64: Buffer.alloc(200, 'x').toString('base64'),
};

function referenceOf(index: number): ClaimReference {
  return {
    claimId: toClaimId(sampleRequestId(index)),
    workspaceId: toWorkspaceId(`workspace-${index % workspaceCount}`),
    idempotencyKey: `order-${sampleRequestId(index).slice(-24)}`,
  };
}

/** Runs the pending reactions of settled promises. */
function flushPromises(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

interface ClaimLoad {
  readonly clock: ManualClock;
  readonly store: CountingStore;
  readonly writer: ClaimWriter;
  /** Creates and completes claims at a rate for a duration. */
  run(claimsPerSecond: number, seconds: number): Promise<void>;
}

function createClaimLoad(): ClaimLoad {
  const clock = createManualClock(1_764_800_000_000);
  const store = createCountingStore();
  const writer = createClaimWriter({store, shard, clock});
  let claimCount = 0;

  function makeClaim(): void {
    const reference = referenceOf(claimCount++);
    const requestHash = sampleRequestId(claimCount).repeat(2).slice(0, 64);
    void writer.claim({...reference, requestHash, owner: holderId});
    clock.after(callDurationMs, () => {
      void writer.end(reference, {kind: 'completed', outcome});
    });
  }

  return {
    clock,
    store,
    writer,
    run: async (claimsPerSecond, seconds) => {
      const steps = (seconds * 1_000) / stepMs;
      const firstClaim = claimCount;
      for (let step = 1; step <= steps; step++) {
        const dueClaims = (claimsPerSecond * step * stepMs) / 1_000;
        while (claimCount - firstClaim < dueClaims) makeClaim();
        clock.advance(stepMs);
        await flushPromises();
      }
    },
  };
}

interface RatePoints {
  readonly cpu: Point[];
  readonly writes: Point[];
  readonly bytes: Point[];
}

async function measureRate(x: number, points: RatePoints): Promise<void> {
  const load = createClaimLoad();
  await load.run(x, warmUpSeconds);
  const before = load.store.traffic();
  const beforeMicros = cpuMicros();
  await load.run(x, measuredSeconds);
  const micros = cpuMicros() - beforeMicros;
  const after = load.store.traffic();
  const writes = after.writes - before.writes;
  const writtenBytes = after.writtenBytes - before.writtenBytes;
  points.cpu.push({x, y: micros / measuredSeconds});
  points.writes.push({x, y: writes / measuredSeconds});
  points.bytes.push({x, y: writtenBytes / measuredSeconds});
}

interface StoredPoints {
  readonly bytes: Point[];
  readonly loadCpu: Point[];
  readonly memory: Point[];
}

/** Measures a new writer that loads a stored shard, as in a takeover. */
async function measureStored(count: number, points: StoredPoints) {
  const fillRate = 400;
  const load = createClaimLoad();
  await load.run(fillRate, count / fillRate);
  await load.run(0, 1);
  const {clock, store} = load;
  const beforeBytes = usedBytes();
  const beforeRead = store.traffic().readBytes;
  const successor = createClaimWriter({store, shard, clock});
  const beforeMicros = cpuMicros();
  await successor.claim({
    ...referenceOf(0),
    requestHash: 'other',
    owner: holderId,
  });
  points.loadCpu.push({x: count, y: cpuMicros() - beforeMicros});
  points.memory.push({x: count, y: usedBytes() - beforeBytes});
  const readBytes = store.traffic().readBytes - beforeRead;
  points.bytes.push({x: count, y: readBytes});
  await successor.close();
}

async function run(): Promise<readonly Series[]> {
  const rate: RatePoints = {cpu: [], writes: [], bytes: []};
  for (const claimsPerSecond of claimRates)
    await measureRate(claimsPerSecond, rate);
  const stored: StoredPoints = {bytes: [], loadCpu: [], memory: []};
  for (const count of storedCounts) await measureStored(count, stored);
  const perSecond = 'claims per second of one shard';
  const storedClaims = 'claims in the shard';
  return [
    {
      key: 'claims.cpu',
      title: 'claim writer with claims and their ends',
      x: perSecond,
      y: 'µs per second',
      points: rate.cpu,
    },
    {
      key: 'claims.writes',
      title: 'transactions of one shard',
      x: perSecond,
      y: 'writes per second',
      points: rate.writes,
    },
    {
      key: 'claims.written',
      title: 'bytes in the transactions of one shard',
      x: perSecond,
      y: 'bytes per second',
      points: rate.bytes,
    },
    {
      key: 'claims.stored',
      title: 'bytes that loading a shard reads',
      x: storedClaims,
      y: 'bytes',
      points: stored.bytes,
    },
    {
      key: 'claims.load',
      title: 'loading a shard',
      x: storedClaims,
      y: 'µs',
      points: stored.loadCpu,
    },
    {
      key: 'claims.memory',
      title: 'memory of a loaded shard at its writer',
      x: storedClaims,
      y: 'bytes',
      points: stored.memory,
    },
  ];
}

/** Measurements of the claims of non-idempotent calls. */
export const claimSlopes: Measurement = {
  name: 'claims',
  description: 'createClaimWriter over a store in memory, injected clock',
  run,
};
