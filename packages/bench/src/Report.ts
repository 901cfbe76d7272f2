/**
 * Tables of benchmark figures in Markdown.
 */
import type {ClassFigures, RunFigures} from './Measurements.js';
import type {Workload} from './Workload.js';

/** The figures of one run with its labels. */
export interface ReportRow {
  readonly scenario: string;
  readonly variant: string;
  readonly figures: RunFigures;
}

function percent(share: number): string {
  return `${(share * 100).toFixed(1)}%`;
}

function milliseconds(value: number | undefined): string {
  return value === undefined ? '-' : String(Math.round(value));
}

function line(cells: readonly string[]): string {
  return `| ${cells.join(' | ')} |`;
}

function table(header: readonly string[], rows: readonly string[][]): string {
  const rule = header.map(() => '---');
  return [header, rule, ...rows].map(line).join('\n');
}

function byClass(
  row: ReportRow,
  show: (figures: ClassFigures) => string,
): string {
  return row.figures.classes.map(show).join(' / ');
}

const header = [
  'scenario',
  'variant',
  'attainment',
  'attainment at peak',
  'goodput',
  'wasted',
  'p99 first token at peak, ms',
  'p99 wait of short classes, ms',
  'longest wait, s',
  'refused',
  'refused above running lower tier',
  'not completed',
];

function cells(row: ReportRow): string[] {
  const {figures} = row;
  return [
    row.scenario,
    row.variant,
    byClass(row, c => percent(c.attainment)),
    byClass(row, c => percent(c.peakAttainment)),
    percent(figures.goodput),
    percent(figures.wasted),
    byClass(row, c => milliseconds(c.peakP99FirstTokenMs)),
    milliseconds(figures.shortP99WaitMs),
    byClass(row, c => (c.longestWaitMs / 1000).toFixed(1)),
    byClass(row, c => String(c.refused)),
    byClass(row, c => String(c.refusedAboveRunning)),
    byClass(row, c => String(c.unfinished)),
  ];
}

/** Formats the runs of a deployment as one table. */
export function formatReport(
  workload: Workload,
  rows: readonly ReportRow[],
): string {
  const classes = workload.classes.map(c => `${c.id} (tier ${c.tier})`);
  return [
    `## ${workload.name}`,
    '',
    `Figures by class are in the order ${classes.join(' / ')}.`,
    '',
    table(header, rows.map(cells)),
    '',
  ].join('\n');
}
