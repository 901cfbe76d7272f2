/**
 * Computes the figures of a run from the records of its requests.
 */
import type {Capacity} from './Capacity.js';
import type {Exchange} from './Exchange.js';
import type {Scenario} from './Scenarios.js';
import type {ClassSpec, Workload} from './Workload.js';

export interface ClassFigures {
  readonly classId: string;
  readonly tier: number;
  readonly arrived: number;
  /** Share of requests that met the target of the class. */
  readonly attainment: number;
  readonly refused: number;
  /** Refusals while work of a lower tier could have been preempted. */
  readonly refusedAboveLowerTier: number;
  readonly unfinished: number;
  readonly p99FirstTokenMs: number | undefined;
  /** p99 time to first token of requests that arrived in the peak period. */
  readonly peakP99FirstTokenMs: number | undefined;
  readonly peakAttainment: number;
  /** 99th percentile of the wait for the first permit. */
  readonly p99QueueingDelayMs: number | undefined;
  readonly maxQueueingDelayMs: number;
}

export interface RunFigures {
  readonly classes: readonly ClassFigures[];
  /** Useful tokens received in the measured period, as a share of capacity. */
  readonly goodputShare: number;
  /** Discarded tokens as a share of all received tokens. */
  readonly wastedShare: number;
  /** 99th percentile of the wait for the first permit in short classes. */
  readonly shortP99QueueingDelayMs: number | undefined;
}

function quantile(
  values: readonly number[],
  fraction: number,
): number | undefined {
  if (values.length === 0) return undefined;
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.max(0, Math.ceil(fraction * sorted.length) - 1)];
}

function isWithinTarget(value: number, target: number | undefined): boolean {
  return target === undefined || value <= target;
}

function firstTokenMs({arrival, firstTokenAtMs}: Exchange): number | undefined {
  return firstTokenAtMs === undefined
    ? undefined
    : firstTokenAtMs - arrival.atMs;
}

/** Returns whether the response completed within the target of its class. */
function meetsTarget(exchange: Exchange): boolean {
  const {arrival, firstTokenAtMs, lastTokenAtMs, receivedTokens} = exchange;
  if (exchange.outcome !== 'completed' || firstTokenAtMs === undefined)
    return false;
  const {target} = arrival.spec;
  const gaps = Math.max(1, receivedTokens - 1);
  return (
    isWithinTarget(firstTokenAtMs - arrival.atMs, target.firstTokenMs) &&
    isWithinTarget(
      (lastTokenAtMs - firstTokenAtMs) / gaps,
      target.tokenGapMs,
    ) &&
    isWithinTarget(lastTokenAtMs - arrival.atMs, target.totalMs)
  );
}

function attainmentOf(exchanges: readonly Exchange[]): number {
  if (exchanges.length === 0) return 1;
  return exchanges.filter(meetsTarget).length / exchanges.length;
}

function firstTokenTimesMs(exchanges: readonly Exchange[]): number[] {
  return exchanges.map(firstTokenMs).filter(value => value !== undefined);
}

function firstQueueingDelaysMs(exchanges: readonly Exchange[]): number[] {
  return exchanges
    .map(exchange => exchange.firstQueueingDelayMs)
    .filter(value => value !== undefined);
}

function computeClassFigures(
  spec: ClassSpec,
  exchanges: readonly Exchange[],
  scenario: Scenario,
): ClassFigures {
  const {fromMs, toMs} = scenario.peak;
  const atPeak = exchanges.filter(
    ({arrival}) => arrival.atMs >= fromMs && arrival.atMs < toMs,
  );
  const refused = exchanges.filter(exchange => exchange.outcome === 'refused');
  return {
    classId: spec.id,
    tier: spec.tier,
    arrived: exchanges.length,
    attainment: attainmentOf(exchanges),
    refused: refused.length,
    refusedAboveLowerTier: refused.filter(e => e.refusedAboveLowerTier).length,
    unfinished: exchanges.filter(
      ({outcome}) => outcome !== 'completed' && outcome !== 'refused',
    ).length,
    p99FirstTokenMs: quantile(firstTokenTimesMs(exchanges), 0.99),
    peakP99FirstTokenMs: quantile(firstTokenTimesMs(atPeak), 0.99),
    peakAttainment: attainmentOf(atPeak),
    p99QueueingDelayMs: quantile(firstQueueingDelaysMs(exchanges), 0.99),
    maxQueueingDelayMs: Math.max(
      0,
      ...exchanges.map(e => e.maxQueueingDelayMs),
    ),
  };
}

function sumTokens(
  exchanges: readonly Exchange[],
  countTokens: (exchange: Exchange) => number,
): number {
  return exchanges.reduce(
    (total, exchange) => total + countTokens(exchange),
    0,
  );
}

function usefulTokens(exchange: Exchange): number {
  const isUnsuccessful =
    exchange.outcome !== undefined && exchange.outcome !== 'completed';
  return isUnsuccessful ? 0 : exchange.measuredTokens;
}

/** Computes the figures of a run. */
export function computeRunFigures(
  workload: Workload,
  capacity: Capacity,
  scenario: Scenario,
  exchanges: readonly Exchange[],
): RunFigures {
  const measuredExchanges = exchanges.filter(
    ({arrival}) => arrival.atMs >= scenario.warmupMs,
  );
  const windowMs = scenario.durationMs - scenario.warmupMs;
  const usefulTokenCount = sumTokens(exchanges, usefulTokens);
  const wastedTokenCount = sumTokens(
    exchanges,
    exchange => exchange.wastedTokens,
  );
  const receivedTokenCount = sumTokens(
    exchanges,
    exchange => exchange.receivedTokens,
  );
  const shortExchanges = measuredExchanges.filter(
    ({arrival}) => arrival.spec.short,
  );
  return {
    classes: workload.classes.map(spec =>
      computeClassFigures(
        spec,
        measuredExchanges.filter(({arrival}) => arrival.spec === spec),
        scenario,
      ),
    ),
    goodputShare: usefulTokenCount / (capacity.tokensPerMs * windowMs),
    wastedShare: wastedTokenCount / Math.max(1, receivedTokenCount),
    shortP99QueueingDelayMs: quantile(
      firstQueueingDelaysMs(shortExchanges),
      0.99,
    ),
  };
}
