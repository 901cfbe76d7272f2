/**
 * Measures the CPU time of an entry by relayed chunks per second, with one and
 * with several tokens per chunk, and by requests per second.
 */
import {nowSeconds, sleep} from './Cost.js';
import type {Point} from './Fit.js';
import type {RelayBench} from './RelayBench.js';
import {createRelayBench} from './RelayBench.js';
import type {Measurement, Series} from './Series.js';

const gapMs = 20;
const streamCounts = [8, 16, 32, 64];
const tokensPerChunk = [1, 4];
const requestRates = [20, 40, 80, 160];
const settleMs = 1_000;
const measureMs = 2_500;
const warmUpStreams = 32;
const requestStepMs = 10;

interface Counters {
  readonly micros: number;
  readonly chunks: number;
  readonly atSeconds: number;
}

async function readCounters({engine, router}: RelayBench): Promise<Counters> {
  const [micros, written] = await Promise.all([
    router.call<number>('cpu'),
    engine.call<{writtenChunks: number}>('written'),
  ]);
  return {micros, chunks: written.writtenChunks, atSeconds: nowSeconds()};
}

function checkComplete(responses: readonly boolean[]): void {
  const incompleteCount = responses.filter(isComplete => !isComplete).length;
  if (incompleteCount > 0)
    throw new Error(`${incompleteCount} responses were incomplete`);
}

async function measureStreams(
  bench: RelayBench,
  streams: number,
  tokens: number,
): Promise<Point> {
  const chunks = Math.ceil((settleMs * 2 + measureMs) / gapMs);
  const plan = {chunks, tokensPerChunk: tokens, gapMs};
  const calls = Array.from({length: streams}, () => bench.call(plan));
  await sleep(settleMs);
  const before = await readCounters(bench);
  await sleep(measureMs);
  const after = await readCounters(bench);
  checkComplete(await Promise.all(calls));
  const seconds = after.atSeconds - before.atSeconds;
  return {
    x: (after.chunks - before.chunks) / seconds,
    y: (after.micros - before.micros) / seconds,
  };
}

/** Makes calls with a response of one chunk, at a fixed rate. */
async function sendRequests(
  bench: RelayBench,
  perSecond: number,
  durationMs: number,
): Promise<number> {
  const plan = {chunks: 1, tokensPerChunk: 8, gapMs: 5};
  const calls: Promise<boolean>[] = [];
  const startedAtSeconds = nowSeconds();
  let elapsedMs = 0;
  while (elapsedMs < durationMs) {
    const due = (perSecond * elapsedMs) / 1_000;
    while (calls.length < due) calls.push(bench.call(plan));
    await sleep(requestStepMs);
    elapsedMs = (nowSeconds() - startedAtSeconds) * 1_000;
  }
  checkComplete(await Promise.all(calls));
  return calls.length;
}

async function measureRequests(
  bench: RelayBench,
  perSecond: number,
): Promise<Point> {
  await sendRequests(bench, perSecond, settleMs);
  const before = await readCounters(bench);
  const count = await sendRequests(bench, perSecond, measureMs);
  const after = await readCounters(bench);
  const seconds = after.atSeconds - before.atSeconds;
  return {x: count / seconds, y: (after.micros - before.micros) / seconds};
}

async function streamSeries(
  bench: RelayBench,
  tokens: number,
): Promise<Series> {
  const points: Point[] = [];
  for (const streams of streamCounts) {
    points.push(await measureStreams(bench, streams, tokens));
  }
  return {
    key: `relay.chunks.${tokens}`,
    title: `relay of streams, ${tokens} token(s) in a chunk`,
    x: 'chunks per second',
    y: 'µs per second',
    points,
  };
}

async function run(): Promise<readonly Series[]> {
  const bench = await createRelayBench();
  try {
    await measureStreams(bench, warmUpStreams, 1);
    const series: Series[] = [];
    for (const tokens of tokensPerChunk) {
      series.push(await streamSeries(bench, tokens));
    }
    const points: Point[] = [];
    for (const rate of requestRates) {
      points.push(await measureRequests(bench, rate));
    }
    series.push({
      key: 'entry.requests',
      title: 'requests with an answer of one chunk, scheduled locally',
      x: 'requests per second',
      y: 'µs per second',
      points,
    });
    return series;
  } finally {
    await bench.close();
  }
}

/** Measurements of the relay and of request handling in an entry. */
export const relaySlopes: Measurement = {
  name: 'relay',
  description:
    'a complete daemon between an engine that writes chunks at a fixed interval and clients',
  run,
};
