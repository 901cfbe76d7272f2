/**
 * Figures of a run, taken from the records of its requests.
 */
import type {Capacity} from './Capacity.js';
import type {Exchange} from './Exchange.js';
import type {Scenario} from './Scenarios.js';
import type {ClassSpec, Workload} from './Workload.js';

/** Figures of one class. */
export interface ClassFigures {
  readonly classId: string;
  readonly tier: number;
  readonly arrived: number;
  /** Share of all requests that met the target of their class. */
  readonly attainment: number;
  readonly refused: number;
  /** Refusals while work of a lower tier was running. */
  readonly refusedAboveRunning: number;
  readonly unfinished: number;
  readonly p99FirstTokenMs: number | undefined;
  /** The same within the peak period of the scenario. */
  readonly peakP99FirstTokenMs: number | undefined;
  readonly peakAttainment: number;
  /** Wait of the first permit at the 99th percentile. */
  readonly p99WaitMs: number | undefined;
  readonly longestWaitMs: number;
}

/** Figures of one run. */
export interface RunFigures {
  readonly classes: readonly ClassFigures[];
  /** Useful tokens received in the measured period, as a share of capacity. */
  readonly goodput: number;
  /** Tokens thrown away, as a share of all tokens received. */
  readonly wasted: number;
  /** Wait of the first permit of all short classes, 99th percentile. */
  readonly shortP99WaitMs: number | undefined;
}

function quantile(
  values: readonly number[],
  fraction: number,
): number | undefined {
  if (values.length === 0) return undefined;
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.max(0, Math.ceil(fraction * sorted.length) - 1)];
}

function within(value: number, target: number | undefined): boolean {
  return target === undefined || value <= target;
}

function firstTokenMs({arrival, firstTokenAtMs}: Exchange): number | undefined {
  return firstTokenAtMs === undefined
    ? undefined
    : firstTokenAtMs - arrival.atMs;
}

/** Tells whether the caller got its complete answer within the target. */
function meetsTarget(exchange: Exchange): boolean {
  const {arrival, firstTokenAtMs, lastTokenAtMs, received} = exchange;
  if (exchange.end !== 'completed' || firstTokenAtMs === undefined)
    return false;
  const {target} = arrival.spec;
  const gaps = Math.max(1, received - 1);
  return (
    within(firstTokenAtMs - arrival.atMs, target.firstTokenMs) &&
    within((lastTokenAtMs - firstTokenAtMs) / gaps, target.tokenGapMs) &&
    within(lastTokenAtMs - arrival.atMs, target.totalMs)
  );
}

function attainment(exchanges: readonly Exchange[]): number {
  if (exchanges.length === 0) return 1;
  return exchanges.filter(meetsTarget).length / exchanges.length;
}

function firstTokens(exchanges: readonly Exchange[]): number[] {
  return exchanges.map(firstTokenMs).filter(value => value !== undefined);
}

function firstWaits(exchanges: readonly Exchange[]): number[] {
  return exchanges
    .map(exchange => exchange.firstWaitMs)
    .filter(value => value !== undefined);
}

function classFigures(
  spec: ClassSpec,
  exchanges: readonly Exchange[],
  scenario: Scenario,
): ClassFigures {
  const {fromMs, toMs} = scenario.peak;
  const atPeak = exchanges.filter(
    ({arrival}) => arrival.atMs >= fromMs && arrival.atMs < toMs,
  );
  const refused = exchanges.filter(exchange => exchange.end === 'refused');
  return {
    classId: spec.id,
    tier: spec.tier,
    arrived: exchanges.length,
    attainment: attainment(exchanges),
    refused: refused.length,
    refusedAboveRunning: refused.filter(e => e.refusedByTier).length,
    unfinished: exchanges.filter(
      ({end}) => end !== 'completed' && end !== 'refused',
    ).length,
    p99FirstTokenMs: quantile(firstTokens(exchanges), 0.99),
    peakP99FirstTokenMs: quantile(firstTokens(atPeak), 0.99),
    peakAttainment: attainment(atPeak),
    p99WaitMs: quantile(firstWaits(exchanges), 0.99),
    longestWaitMs: Math.max(0, ...exchanges.map(e => e.longestWaitMs)),
  };
}

function sum(
  exchanges: readonly Exchange[],
  count: (exchange: Exchange) => number,
): number {
  return exchanges.reduce((total, exchange) => total + count(exchange), 0);
}

function usefulTokens(exchange: Exchange): number {
  const isLost = exchange.end !== undefined && exchange.end !== 'completed';
  return isLost ? 0 : exchange.receivedInWindow;
}

/** Computes the figures of a run. */
export function measure(
  workload: Workload,
  capacity: Capacity,
  scenario: Scenario,
  exchanges: readonly Exchange[],
): RunFigures {
  const measured = exchanges.filter(
    ({arrival}) => arrival.atMs >= scenario.warmupMs,
  );
  const windowMs = scenario.durationMs - scenario.warmupMs;
  const useful = sum(exchanges, usefulTokens);
  const wasted = sum(exchanges, exchange => exchange.wasted);
  const received = sum(exchanges, exchange => exchange.received);
  const short = measured.filter(({arrival}) => arrival.spec.short);
  return {
    classes: workload.classes.map(spec =>
      classFigures(
        spec,
        measured.filter(({arrival}) => arrival.spec === spec),
        scenario,
      ),
    ),
    goodput: useful / (capacity.tokensPerMs * windowMs),
    wasted: wasted / Math.max(1, received),
    shortP99WaitMs: quantile(firstWaits(short), 0.99),
  };
}
