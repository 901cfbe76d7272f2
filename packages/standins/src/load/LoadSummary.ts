/**
 * Figures of a load run, by class.
 */
import type {ServiceClass} from '@toucanrouter/common';
import type {Observation} from './Observation.js';
import {countRuns, runKeyOf} from './Oracle.js';
import type {UpstreamRuns} from './UpstreamRuns.js';

/** Figures of one class. */
export interface ClassSummary {
  readonly classId: string;
  readonly tier: number;
  readonly sent: number;
  readonly completed: number;
  readonly refused: number;
  readonly failed: number;
  readonly broken: number;
  readonly abandoned: number;
  /** Share of requests, without the abandoned, that met the class's target. */
  readonly attainment: number;
  /** Tokens of complete answers per second of load. */
  readonly goodputTokensPerSecond: number;
  /** Generated tokens that are in no complete answer; abandoned requests are left out. */
  readonly wastedShare: number;
  readonly firstTokenP50Ms?: number;
  readonly firstTokenP99Ms?: number;
  readonly totalP50Ms?: number;
  readonly totalP99Ms?: number;
  /** p99 minus the least first-token time of the shorter half of answers. */
  readonly headOfLineMs?: number;
  /** Runs per distinct order. */
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
      seen: observations.filter(o => o.planned.classId === serviceClass.id),
    }))
    .filter(({seen}) => seen.length > 0)
    .map(({serviceClass, seen}) => ({
      ...countOutcomes(serviceClass, seen),
      ...tokenFigures(seen, generated, seconds),
      ...latencyFigures(seen),
      runsPerOrder: runsPerOrder(serviceClass, seen, runCounts),
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
  seen: readonly Observation[],
) {
  const count = (outcome: Observation['outcome']): number =>
    seen.filter(o => o.outcome === outcome).length;
  const abandoned = count('abandoned');
  const attained = seen.filter(o => meetsTarget(serviceClass, o)).length;
  return {
    classId: serviceClass.id,
    tier: serviceClass.tier,
    sent: seen.length,
    completed: count('completed'),
    refused: count('refused'),
    failed: count('failed'),
    broken: count('broken'),
    abandoned,
    attainment: ratio(attained, seen.length - abandoned),
  };
}

/** Tells whether a request was answered completely and within its target. */
export function meetsTarget(
  serviceClass: ServiceClass,
  seen: Observation,
): boolean {
  if (seen.outcome !== 'completed' || seen.faults.length > 0) return false;
  const {firstTokenMs, tokenGapMs, totalMs} = serviceClass.target;
  if (totalMs !== undefined && seen.totalMs > totalMs) return false;
  if (seen.firstTokenMs === undefined) return true;
  if (firstTokenMs !== undefined && seen.firstTokenMs > firstTokenMs) {
    return false;
  }
  return tokenGapMs === undefined || meanGapMs(seen) <= tokenGapMs;
}

function meanGapMs({planned, totalMs, firstTokenMs}: Observation): number {
  const {content} = planned;
  const tokens = content.kind === 'chat' ? content.outputTokens : 0;
  if (tokens < 2 || firstTokenMs === undefined) return 0;
  return (totalMs - firstTokenMs) / (tokens - 1);
}

function tokenFigures(
  seen: readonly Observation[],
  generated: ReadonlyMap<string, number>,
  seconds: number,
) {
  let useful = 0;
  let all = 0;
  for (const {planned, outcome} of seen) {
    if (planned.content.kind !== 'chat' || outcome === 'abandoned') continue;
    all += generated.get(runKeyOf(planned)) ?? 0;
    if (outcome === 'completed') useful += planned.content.outputTokens;
  }
  return {
    goodputTokensPerSecond: useful / seconds,
    wastedShare: Math.max(0, ratio(all - useful, all)),
  };
}

function latencyFigures(seen: readonly Observation[]) {
  const completed = seen.filter(o => o.outcome === 'completed');
  const firsts = sorted(completed.map(o => o.firstTokenMs));
  const totals = sorted(completed.map(o => o.totalMs));
  return {
    firstTokenP50Ms: quantile(firsts, 0.5),
    firstTokenP99Ms: quantile(firsts, 0.99),
    totalP50Ms: quantile(totals, 0.5),
    totalP99Ms: quantile(totals, 0.99),
    headOfLineMs: headOfLine(completed),
  };
}

function headOfLine(completed: readonly Observation[]): number | undefined {
  const lengthOf = ({planned}: Observation): number =>
    planned.content.kind === 'chat' ? planned.content.outputTokens : 0;
  const median = quantile(sorted(completed.map(lengthOf)), 0.5) ?? 0;
  const short = completed.filter(o => lengthOf(o) <= median);
  const firsts = sorted(short.map(o => o.firstTokenMs));
  const p99 = quantile(firsts, 0.99);
  return p99 === undefined ? undefined : p99 - (firsts[0] ?? 0);
}

function runsPerOrder(
  serviceClass: ServiceClass,
  seen: readonly Observation[],
  runCounts: ReadonlyMap<string, number>,
): number | undefined {
  if (serviceClass.idempotent) return undefined;
  const keys = new Set(seen.map(o => runKeyOf(o.planned)));
  let ran = 0;
  for (const key of keys) ran += runCounts.get(key) ?? 0;
  return ratio(ran, keys.size);
}

function sorted(values: readonly (number | undefined)[]): readonly number[] {
  return values.filter(v => v !== undefined).sort((a, b) => a - b);
}

/** Returns a quantile of sorted values. */
export function quantile(
  values: readonly number[],
  fraction: number,
): number | undefined {
  const at = Math.ceil(fraction * values.length) - 1;
  return values[Math.max(0, at)];
}

function ratio(part: number, whole: number): number {
  return whole === 0 ? 0 : part / whole;
}
