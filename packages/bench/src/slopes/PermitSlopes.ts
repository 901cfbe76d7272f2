/**
 * Measures the cost of the permit exchange over the peer stream between two
 * processes, on each side, by requests per second and by samples per report.
 */
import type {MeasuredChild} from './ChildProcess.js';
import {startChild} from './ChildProcess.js';
import {nowSeconds, sleep} from './Cost.js';
import type {Point} from './Fit.js';
import type {HolderRates} from './PermitHolder.js';
import {
  announceMessage,
  permitBytes,
  progressMessage,
} from './PermitMessages.js';
import type {Measurement, Series} from './Series.js';
import {wireSizeBytes} from './WireBytes.js';

const settleMs = 500;
const warmUpMs = 3_000;
const warmUpRates: HolderRates = {
  requestsPerSecond: 800,
  reportsPerSecond: 0,
  samplesPerReport: 0,
};
const measureMs = 2_500;
const requestRates = [50, 100, 200, 400];
const sampleCounts = [1, 32, 128, 512];
const reportsPerSecond = 100;

const idleRates: HolderRates = {
  requestsPerSecond: 0,
  reportsPerSecond: 0,
  samplesPerReport: 0,
};

interface PermitProcesses {
  readonly scheduler: MeasuredChild;
  readonly holder: MeasuredChild;
}

interface SidePoints {
  readonly holder: Point[];
  readonly scheduler: Point[];
}

interface Counters {
  readonly holderMicros: number;
  readonly schedulerMicros: number;
  readonly completed: number;
  readonly atSeconds: number;
}

async function readCounters({
  holder,
  scheduler,
}: PermitProcesses): Promise<Counters> {
  const [holderMicros, schedulerMicros, completed] = await Promise.all([
    holder.call<number>('cpu'),
    scheduler.call<number>('cpu'),
    holder.call<number>('completed'),
  ]);
  return {holderMicros, schedulerMicros, completed, atSeconds: nowSeconds()};
}

/** Measures the CPU time per second of each side under a load. */
async function measureLoad(
  sides: PermitProcesses,
  rates: HolderRates,
  points: SidePoints,
  toX: (completedPerSecond: number) => number,
): Promise<void> {
  await sides.holder.call('load', rates);
  await sleep(settleMs);
  const before = await readCounters(sides);
  await sleep(measureMs);
  const after = await readCounters(sides);
  await sides.holder.call('stopLoad');
  const seconds = after.atSeconds - before.atSeconds;
  const x = toX((after.completed - before.completed) / seconds);
  const perSecond = (difference: number) => difference / seconds;
  const holderMicros = after.holderMicros - before.holderMicros;
  const schedulerMicros = after.schedulerMicros - before.schedulerMicros;
  points.holder.push({x, y: perSecond(holderMicros)});
  points.scheduler.push({x, y: perSecond(schedulerMicros)});
}

/** Runs a load until the code of both sides has been compiled. */
async function warmUp(sides: PermitProcesses): Promise<void> {
  await sides.holder.call('load', warmUpRates);
  await sleep(warmUpMs);
  await sides.holder.call('stopLoad');
}

async function measureRequests(sides: PermitProcesses): Promise<SidePoints> {
  const points: SidePoints = {holder: [], scheduler: []};
  for (const requestsPerSecond of requestRates) {
    const rates = {requestsPerSecond, reportsPerSecond: 0, samplesPerReport: 0};
    await measureLoad(sides, rates, points, x => x);
  }
  return points;
}

/** Returns the cost of one report, without the cost of idle processes. */
function costPerReport(
  points: readonly Point[],
  idlePoints: readonly Point[],
): Point[] {
  const idleMicros = idlePoints[0]?.y ?? 0;
  return points.map(({x, y}) => ({x, y: (y - idleMicros) / reportsPerSecond}));
}

async function measureReports(sides: PermitProcesses): Promise<SidePoints> {
  const points: SidePoints = {holder: [], scheduler: []};
  const idlePoints: SidePoints = {holder: [], scheduler: []};
  await sides.holder.call('keepPermits', Math.max(...sampleCounts));
  await measureLoad(sides, idleRates, idlePoints, x => x);
  for (const samplesPerReport of sampleCounts) {
    const rates = {requestsPerSecond: 0, reportsPerSecond, samplesPerReport};
    await measureLoad(sides, rates, points, () => samplesPerReport);
  }
  return {
    holder: costPerReport(points.holder, idlePoints.holder),
    scheduler: costPerReport(points.scheduler, idlePoints.scheduler),
  };
}

function byteSeries(): readonly Series[] {
  const messages = Object.entries(permitBytes);
  const parts = messages.map(([name, bytes]) => `${name} ${bytes}`).join(', ');
  const requestBytes = messages.reduce((sum, [, bytes]) => sum + bytes, 0);
  return [
    {
      key: 'permit.bytes',
      title: `acquire, grant, progress and release (${parts} bytes)`,
      x: 'requests',
      y: 'bytes, both directions',
      points: requestRates.map(x => ({x, y: x * requestBytes})),
    },
    {
      key: 'progress.bytes',
      title: 'one progress report',
      x: 'samples in the report',
      y: 'bytes',
      points: sampleCounts.map(x => ({
        x,
        y: wireSizeBytes(progressMessage(x)),
      })),
    },
    {
      key: 'announce.bytes',
      title: 'announcement of held permits to a new scheduler',
      x: 'permits',
      y: 'bytes',
      points: sampleCounts.map(x => ({
        x,
        y: wireSizeBytes(announceMessage(x)),
      })),
    },
  ];
}

function cpuSeries(
  key: string,
  title: string,
  labels: {readonly x: string; readonly y: string},
  points: SidePoints,
): readonly Series[] {
  return [
    {
      key: `${key}.holder`,
      title: `${title}, holder's side`,
      ...labels,
      points: points.holder,
    },
    {
      key: `${key}.scheduler`,
      title: `${title}, scheduler's side`,
      ...labels,
      points: points.scheduler,
    },
  ];
}

async function run(): Promise<readonly Series[]> {
  const sides = {
    scheduler: startChild('PermitScheduler'),
    holder: startChild('PermitHolder'),
  };
  try {
    const port = await sides.scheduler.call<number>('start');
    await sides.holder.call('connect', port);
    await warmUp(sides);
    const requests = await measureRequests(sides);
    const reports = await measureReports(sides);
    return [
      ...cpuSeries(
        'permit.cpu',
        'acquire, grant, progress and release over the stream',
        {x: 'requests per second', y: 'µs per second'},
        requests,
      ),
      ...cpuSeries(
        'progress.cpu',
        'progress report over the stream',
        {x: 'samples in the report', y: 'µs per report'},
        reports,
      ),
      ...byteSeries(),
    ];
  } finally {
    await Promise.all([sides.holder.stop(), sides.scheduler.stop()]);
  }
}

/** Measurements of the permit exchange. */
export const permitSlopes: Measurement = {
  name: 'permits',
  description:
    'two processes with createPeerHub and the messages of the daemon; the scheduler has free slots',
  run,
};
