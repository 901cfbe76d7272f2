/**
 * Formats benchmark figures as Markdown tables.
 */
import type {ClassFigures, RunFigures} from './Measurements.js';
import type {Workload} from './Workload.js';

/** The figures of one run with its labels. */
export interface ReportRow {
  readonly scenario: string;
  readonly variant: string;
  readonly figures: RunFigures;
}

function formatPercent(share: number): string {
  return `${(share * 100).toFixed(1)}%`;
}

function formatMilliseconds(value: number | undefined): string {
  return value === undefined ? '-' : String(Math.round(value));
}

function formatRow(cells: readonly string[]): string {
  return `| ${cells.join(' | ')} |`;
}

function formatTable(
  header: readonly string[],
  rows: readonly string[][],
): string {
  const rule = header.map(() => '---');
  return [header, rule, ...rows].map(formatRow).join('\n');
}

function formatByClass(
  row: ReportRow,
  format: (figures: ClassFigures) => string,
): string {
  return row.figures.classes.map(format).join(' / ');
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

function formatCells(row: ReportRow): string[] {
  const {figures} = row;
  return [
    row.scenario,
    row.variant,
    formatByClass(row, c => formatPercent(c.attainment)),
    formatByClass(row, c => formatPercent(c.peakAttainment)),
    formatPercent(figures.goodputShare),
    formatPercent(figures.wastedShare),
    formatByClass(row, c => formatMilliseconds(c.peakP99FirstTokenMs)),
    formatMilliseconds(figures.shortP99QueueingDelayMs),
    formatByClass(row, c => (c.maxQueueingDelayMs / 1000).toFixed(1)),
    formatByClass(row, c => String(c.refused)),
    formatByClass(row, c => String(c.refusedAboveLowerTier)),
    formatByClass(row, c => String(c.unfinished)),
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
    formatTable(header, rows.map(formatCells)),
    '',
  ].join('\n');
}
