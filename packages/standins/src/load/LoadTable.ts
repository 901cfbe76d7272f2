/**
 * Formats the summary of a load run as a table.
 */
import type {ClassSummary} from './LoadSummary.js';

interface Column {
  readonly title: string;
  readonly value: (row: ClassSummary) => string;
}

const columns: readonly Column[] = [
  {title: 'class', value: row => row.classId},
  {title: 'tier', value: row => String(row.tier)},
  {title: 'sent', value: row => String(row.sent)},
  {title: 'completed', value: row => String(row.completed)},
  {title: 'refused', value: row => String(row.refused)},
  {title: 'failed', value: row => String(row.failed)},
  {title: 'broken', value: row => String(row.broken)},
  {title: 'abandoned', value: row => String(row.abandoned)},
  {title: 'attained', value: row => percent(row.attainment)},
  {title: 'tokens/s', value: row => row.goodputTokensPerSecond.toFixed(0)},
  {title: 'wasted', value: row => percent(row.wastedShare)},
  {title: 'first p50', value: row => milliseconds(row.firstTokenP50Ms)},
  {title: 'first p99', value: row => milliseconds(row.firstTokenP99Ms)},
  {title: 'total p50', value: row => milliseconds(row.totalP50Ms)},
  {title: 'total p99', value: row => milliseconds(row.totalP99Ms)},
  {title: 'hol p99', value: row => milliseconds(row.headOfLineMs)},
  {title: 'runs/order', value: row => row.runsPerOrder?.toFixed(3) ?? '-'},
];

/** Formats one line per class; times are in milliseconds. */
export function formatLoadTable(rows: readonly ClassSummary[]): string {
  const cells = [
    columns.map(column => column.title),
    ...rows.map(row => columns.map(column => column.value(row))),
  ];
  const widths = columns.map((_, i) =>
    Math.max(...cells.map(line => line[i]?.length ?? 0)),
  );
  return cells.map(line => formatLine(line, widths)).join('\n');
}

function formatLine(
  cells: readonly string[],
  widths: readonly number[],
): string {
  return cells
    .map((cell, i) =>
      i === 0 ? cell.padEnd(widths[i] ?? 0) : cell.padStart(widths[i] ?? 0),
    )
    .join('  ');
}

function percent(share: number): string {
  return `${(share * 100).toFixed(1)}%`;
}

function milliseconds(value: number | undefined): string {
  return value === undefined ? '-' : value.toFixed(0);
}
