/**
 * Figures of simulated fleets: outcomes by class, and the worth of a run, the
 * value of its responses as a share of what its requests could have earned.
 * Requests with larger prompts are worth more.
 */
import type {FleetResult, FleetScenario} from './FleetSimulation.js';
import type {PromptClass} from './PromptWorkload.js';
import type {RequestOutcome, RequestRecord} from './SimulatedRequest.js';

/** Shares of the requests of a class, by outcome. */
export type OutcomeShares = Readonly<Record<RequestOutcome, number>>;

const outcomes: readonly RequestOutcome[] = [
  'inTime',
  'late',
  'refused',
  'failed',
];

function recordsOf(
  {records}: FleetResult,
  promptClass: PromptClass,
): readonly RequestRecord[] {
  return records.filter(({arrival}) => arrival.promptClass === promptClass);
}

/** Returns the outcomes of one class. */
export function outcomeShares(
  result: FleetResult,
  promptClass: PromptClass,
): OutcomeShares {
  const records = recordsOf(result, promptClass);
  const shareOf = (outcome: RequestOutcome) =>
    records.filter(record => record.outcome === outcome).length /
    Math.max(1, records.length);
  return Object.fromEntries(
    outcomes.map(outcome => [outcome, shareOf(outcome)]),
  ) as OutcomeShares;
}

/** Part of the value of a request that does not depend on its prompt. */
const fixedValueShare = 0.3;
/** A large prompt is worth at most this many times the mean of its class. */
const maxSizeFactor = 4;

function meanPromptTokens(records: readonly RequestRecord[]): number {
  const total = records.reduce(
    (sum, {arrival}) => sum + arrival.promptTokens,
    0,
  );
  return total / Math.max(1, records.length);
}

/** Returns the worth of a run, from 0 to 1. */
export function worthOf(result: FleetResult): number {
  const classes = new Set(
    result.records.map(({arrival}) => arrival.promptClass),
  );
  let earned = 0;
  let owed = 0;
  for (const promptClass of classes) {
    const records = recordsOf(result, promptClass);
    const meanTokens = meanPromptTokens(records);
    for (const {arrival, outcome} of records) {
      const relativeSize = arrival.promptTokens / meanTokens;
      const value = Math.min(
        maxSizeFactor,
        fixedValueShare + (1 - fixedValueShare) * relativeSize,
      );
      owed += promptClass.worth * value;
      if (outcome === 'inTime') earned += promptClass.worth * value;
      else if (outcome === 'late') earned += promptClass.lateWorth * value;
    }
  }
  return earned / owed;
}

/** Mean of the runs of a variant, with its 95% confidence interval. */
export interface MeanWorth {
  readonly mean: number;
  /** Half of the width of the interval; 0 for a single run. */
  readonly marginOfError: number;
}

/** Two-sided 95% quantiles of Student's t for 1 to 9 degrees of freedom. */
const studentT: readonly number[] = [
  12.71, 4.3, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26,
];
const normalQuantile = 1.96;

/** Summarizes the worth of several seeds. */
export function meanWorth(worths: readonly number[]): MeanWorth {
  const count = worths.length;
  const mean = worths.reduce((sum, worth) => sum + worth, 0) / count;
  if (count < 2) return {mean, marginOfError: 0};
  const squares = worths.reduce((sum, worth) => sum + (worth - mean) ** 2, 0);
  const standardError = Math.sqrt(squares / (count - 1) / count);
  const quantile = studentT[count - 2] ?? normalQuantile;
  return {mean, marginOfError: quantile * standardError};
}

/** The runs of one variant of a scenario. */
export interface VariantRuns {
  readonly variant: string;
  readonly results: readonly FleetResult[];
}

function percent(share: number): string {
  return `${(share * 100).toFixed(1)}%`;
}

function classCell(runs: VariantRuns, promptClass: PromptClass): string {
  const mean = (outcome: RequestOutcome) =>
    runs.results.reduce(
      (sum, result) => sum + outcomeShares(result, promptClass)[outcome],
      0,
    ) / runs.results.length;
  return outcomes.map(outcome => percent(mean(outcome))).join(' / ');
}

/** Formats the runs of a scenario as a Markdown table. */
export function formatFleetReport(
  scenario: FleetScenario,
  variants: readonly VariantRuns[],
): string {
  const {classes} = scenario.workload;
  const rows = variants.map(runs => {
    const worths = runs.results.map(worthOf);
    const {marginOfError, mean} = meanWorth(worths);
    return [
      runs.variant,
      `${mean.toFixed(3)} ± ${marginOfError.toFixed(3)}`,
      ...classes.map(promptClass => classCell(runs, promptClass)),
    ];
  });
  const head = ['variant', 'worth', ...classes.map(({name}) => name)];
  const lines = [head, head.map(() => '---'), ...rows].map(
    cells => `| ${cells.join(' | ')} |`,
  );
  return `${scenario.name}: ${scenario.pattern}\n\n${lines.join('\n')}\n`;
}
