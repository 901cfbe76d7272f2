/**
 * Summarises a load run by class.
 */
import type {ServiceClass} from '@toucanrouter/common';
import type {Observation} from './Observation.js';
import {countRuns, runKeyOf} from './Oracle.js';
import type {UpstreamRuns} from './UpstreamRuns.js';

export interface ClassSummary {
  readonly classId: string;
  readonly tier: number;
  readonly sent: number;
  readonly completed: number;
  readonly refused: number;
  readonly failed: number;
  readonly broken: number;
  readonly abandoned: number;
  /**
   * Share of the requests, except abandoned ones, that met the class's target.
   */
  readonly attainment: number;
  /** Tokens of complete responses per second of load. */
  readonly goodputTokensPerSecond: number;
  /**
   * Share of the generated tokens that are in no complete response; abandoned
   * requests are not counted.
   */
  readonly wastedShare: number;
  readonly firstTokenP50Ms?: number;
  readonly firstTokenP99Ms?: number;
  readonly totalP50Ms?: number;
  readonly totalP99Ms?: number;
  /**
   * p99 minus minimum of the time to first token, over the shorter half of
   * responses.
   */
  readonly headOfLineMs?: number;
  /** Runs per distinct non-idempotent request. */
  readonly runsPerOrder?: number;
}

/** Summarises the observations of each class. */
export function summarise(
  classes: readonly ServiceClass[],
  observations: readonly Observation[],
  runs: UpstreamRuns,
  seconds: number,
): readonly ClassSummary[] {
  const generated = tokensByRunKey(runs);
  const runCounts = countRuns(runs);
  return classes
    .map(serviceClass => ({
      serviceClass,
      classObservations: observations.filter(
        o => o.planned.classId === serviceClass.id,
      ),
    }))
    .filter(({classObservations}) => classObservations.length > 0)
    .map(({serviceClass, classObservations}) => ({
      ...countOutcomes(serviceClass, classObservations),
      ...tokenFigures(classObservations, generated, seconds),
      ...latencyFigures(classObservations),
      runsPerOrder: runsPerOrder(serviceClass, classObservations, runCounts),
    }));
}

function tokensByRunKey(runs: UpstreamRuns): ReadonlyMap<string, number> {
  const tokens = new Map<string, number>();
  for (const run of runs.engineRuns) {
    const before = tokens.get(run.promptKey) ?? 0;
    tokens.set(run.promptKey, before + run.generatedTokens);
  }
  return tokens;
}

function countOutcomes(
  serviceClass: ServiceClass,
  observations: readonly Observation[],
) {
  const count = (outcome: Observation['outcome']): number =>
    observations.filter(o => o.outcome === outcome).length;
  const abandoned = count('abandoned');
  const attained = observations.filter(o =>
    meetsTarget(serviceClass, o),
  ).length;
  return {
    classId: serviceClass.id,
    tier: serviceClass.tier,
    sent: observations.length,
    completed: count('completed'),
    refused: count('refused'),
    failed: count('failed'),
    broken: count('broken'),
    abandoned,
    attainment: ratio(attained, observations.length - abandoned),
  };
}

/** Reports whether a request completed without faults and within its target. */
export function meetsTarget(
  serviceClass: ServiceClass,
  observation: Observation,
): boolean {
  if (observation.outcome !== 'completed' || observation.faults.length > 0)
    return false;
  const {firstTokenMs, tokenGapMs, totalMs} = serviceClass.target;
  if (totalMs !== undefined && observation.totalMs > totalMs) return false;
  if (observation.firstTokenMs === undefined) return true;
  if (firstTokenMs !== undefined && observation.firstTokenMs > firstTokenMs) {
    return false;
  }
  return tokenGapMs === undefined || meanGapMs(observation) <= tokenGapMs;
}

function meanGapMs({planned, totalMs, firstTokenMs}: Observation): number {
  const {content} = planned;
  const tokens = content.kind === 'chat' ? content.outputTokens : 0;
  if (tokens < 2 || firstTokenMs === undefined) return 0;
  return (totalMs - firstTokenMs) / (tokens - 1);
}

function tokenFigures(
  observations: readonly Observation[],
  generatedByRunKey: ReadonlyMap<string, number>,
  seconds: number,
) {
  let usefulTokens = 0;
  let allTokens = 0;
  for (const {planned, outcome} of observations) {
    if (planned.content.kind !== 'chat' || outcome === 'abandoned') continue;
    allTokens += generatedByRunKey.get(runKeyOf(planned)) ?? 0;
    if (outcome === 'completed') usefulTokens += planned.content.outputTokens;
  }
  return {
    goodputTokensPerSecond: usefulTokens / seconds,
    wastedShare: Math.max(0, ratio(allTokens - usefulTokens, allTokens)),
  };
}

function latencyFigures(observations: readonly Observation[]) {
  const completed = observations.filter(o => o.outcome === 'completed');
  const firstTokensMs = sorted(completed.map(o => o.firstTokenMs));
  const totalsMs = sorted(completed.map(o => o.totalMs));
  return {
    firstTokenP50Ms: quantile(firstTokensMs, 0.5),
    firstTokenP99Ms: quantile(firstTokensMs, 0.99),
    totalP50Ms: quantile(totalsMs, 0.5),
    totalP99Ms: quantile(totalsMs, 0.99),
    headOfLineMs: headOfLineDelayMs(completed),
  };
}

function headOfLineDelayMs(
  completed: readonly Observation[],
): number | undefined {
  const lengthOf = ({planned}: Observation): number =>
    planned.content.kind === 'chat' ? planned.content.outputTokens : 0;
  const median = quantile(sorted(completed.map(lengthOf)), 0.5) ?? 0;
  const shorterHalf = completed.filter(o => lengthOf(o) <= median);
  const firstTokensMs = sorted(shorterHalf.map(o => o.firstTokenMs));
  const p99 = quantile(firstTokensMs, 0.99);
  return p99 === undefined ? undefined : p99 - (firstTokensMs[0] ?? 0);
}

function runsPerOrder(
  serviceClass: ServiceClass,
  observations: readonly Observation[],
  runCounts: ReadonlyMap<string, number>,
): number | undefined {
  if (serviceClass.idempotent) return undefined;
  const keys = new Set(observations.map(o => runKeyOf(o.planned)));
  let totalRuns = 0;
  for (const key of keys) totalRuns += runCounts.get(key) ?? 0;
  return ratio(totalRuns, keys.size);
}

function sorted(values: readonly (number | undefined)[]): readonly number[] {
  return values.filter(v => v !== undefined).sort((a, b) => a - b);
}

/** Returns a quantile of sorted values. */
export function quantile(
  values: readonly number[],
  fraction: number,
): number | undefined {
  const index = Math.ceil(fraction * values.length) - 1;
  return values[Math.max(0, index)];
}

function ratio(part: number, whole: number): number {
  return whole === 0 ? 0 : part / whole;
}
