/**
 * Computes attainment, error budget and burn rate from request counts.
 */
import type {
  BurnAlarm,
  BurnReport,
  ClassBurn,
  ReportSource,
  WorkspaceBurn,
} from '@toucanrouter/common';
import {
  budgetPeriodMs,
  defaultObjective,
  longWindowMs,
  pageBurnRate,
  shortWindowMs,
  ticketBurnRate,
} from './BurnConstants.js';
import {toLatencyBuckets, toQuantiles} from './LatencyHistogram.js';
import type {
  RequestCountSnapshot,
  RequestTotals,
} from './RequestCountSeries.js';
import {sumSince, toBurnPoints} from './RequestCountSeries.js';
import type {
  ClassIndicators,
  ServiceLevelSnapshot,
  WorkspaceIndicators,
} from './ServiceLevelSnapshot.js';

/** Options of a burn report. */
export interface BurnReportOptions {
  /** Share of requests that must meet their target; 0.99 by default. */
  readonly objective?: number;
}

interface BurnContext {
  readonly nowWallMs: number;
  readonly objective: number;
  /** Part of the budget period for which there are counts. */
  readonly coveredMs: number;
}

/** Computes the burn report at the time of the snapshot. */
export function toBurnReport(
  snapshot: ServiceLevelSnapshot,
  options: BurnReportOptions = {},
): BurnReport {
  const nowWallMs = snapshot.takenAtWallMs;
  const objective = options.objective ?? defaultObjective;
  const coveredMs = coveredTimeMs(snapshot.sources, nowWallMs);
  const context = {nowWallMs, objective, coveredMs};
  return {
    generatedAtWallMs: nowWallMs,
    objective,
    budgetPeriodMs,
    shortWindowMs,
    longWindowMs,
    sources: snapshot.sources,
    classes: snapshot.classes
      .map(indicators => toClassBurn(indicators, context))
      .sort((a, b) => a.tier - b.tier || (a.classId < b.classId ? -1 : 1)),
  };
}

function coveredTimeMs(
  sources: readonly ReportSource[],
  nowWallMs: number,
): number {
  const since = Math.min(...sources.map(({sinceWallMs}) => sinceWallMs));
  return Math.min(budgetPeriodMs, Math.max(0, nowWallMs - since));
}

function toClassBurn(
  indicators: ClassIndicators,
  context: BurnContext,
): ClassBurn {
  const {counts} = indicators;
  const period = windowTotals(counts, budgetPeriodMs, context);
  const shortBurnRate = windowBurnRate(counts, shortWindowMs, context);
  const longBurnRate = windowBurnRate(counts, longWindowMs, context);
  const budgetRemaining = remainingBudget(period, context);
  const workspaces = toWorkspaceBurns(indicators.workspaces, context);
  return {
    classId: indicators.classId,
    tier: indicators.tier,
    target: indicators.target,
    requests: period.good + period.bad,
    bad: period.bad,
    attainment: 1 - badShare(period),
    shortBurnRate,
    longBurnRate,
    budgetRemaining,
    exhaustedInMs: timeToExhaustionMs(budgetRemaining, longBurnRate),
    alarm: toAlarm(Math.min(shortBurnRate, longBurnRate)),
    firstToken: toQuantiles(indicators.firstToken),
    tokenGap: toQuantiles(indicators.tokenGap),
    total: toQuantiles(indicators.total),
    totalBuckets: toLatencyBuckets(indicators.total),
    points: toBurnPoints(counts),
    worstWorkspace: workspaces.find(({bad}) => bad > 0),
    workspaces,
  };
}

function windowTotals(
  counts: RequestCountSnapshot,
  windowMs: number,
  context: BurnContext,
): RequestTotals {
  return sumSince(counts, context.nowWallMs - windowMs);
}

function windowBurnRate(
  counts: RequestCountSnapshot,
  windowMs: number,
  context: BurnContext,
): number {
  return burnRate(windowTotals(counts, windowMs, context), context.objective);
}

function badShare({good, bad}: RequestTotals): number {
  return good + bad === 0 ? 0 : bad / (good + bad);
}

/** At a burn rate of 1 the error budget lasts exactly the budget period. */
function burnRate(totals: RequestTotals, objective: number): number {
  return badShare(totals) / (1 - objective);
}

/** Assumes the same request rate for the rest of the budget period. */
function remainingBudget(period: RequestTotals, context: BurnContext): number {
  const coveredShare = context.coveredMs / budgetPeriodMs;
  return 1 - burnRate(period, context.objective) * coveredShare;
}

/** Up to a burn rate of 1, the budget recovers as fast as it is used. */
function timeToExhaustionMs(
  remaining: number,
  rate: number,
): number | undefined {
  if (remaining <= 0) return 0;
  if (rate <= 1) return undefined;
  return (remaining * budgetPeriodMs) / rate;
}

function toAlarm(rate: number): BurnAlarm {
  if (rate >= pageBurnRate) return 'page';
  return rate >= ticketBurnRate ? 'ticket' : 'none';
}

function toWorkspaceBurns(
  workspaces: readonly WorkspaceIndicators[],
  context: BurnContext,
): readonly WorkspaceBurn[] {
  return workspaces
    .map(indicators => toWorkspaceBurn(indicators, context))
    .filter(({requests}) => requests > 0)
    .sort((a, b) => b.burnRate - a.burnRate || b.bad - a.bad);
}

function toWorkspaceBurn(
  indicators: WorkspaceIndicators,
  context: BurnContext,
): WorkspaceBurn {
  const totals = windowTotals(indicators.counts, longWindowMs, context);
  return {
    workspaceId: indicators.workspaceId,
    requests: totals.good + totals.bad,
    bad: totals.bad,
    burnRate: burnRate(totals, context.objective),
  };
}
