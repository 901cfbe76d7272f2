/**
 * Formats the capacity model's results as Markdown tables.
 */
import {
  derivePartition,
  derivePlatform,
  deriveReplacement,
} from './CapacityEvents.js';
import type {EventFigure} from './CapacityEvents.js';
import type {CapacityLine, CapacityNodeRole, FindFit} from './CapacityModel.js';
import {deriveCapacity, totalControl} from './CapacityModel.js';
import type {CapacityScale} from './CapacityScale.js';
import {controlBudget, deriveRates} from './CapacityScale.js';
import type {FittedSeries} from './Series.js';
import {formatNumber, formatTable} from './SeriesTable.js';

const microsPerSecond = 1e6;
const bytesPerMegabyte = 1e6;

/** Returns a function that looks up the fitted line of a series by its key. */
export function createFindFit(all: readonly FittedSeries[]): FindFit {
  const fits = new Map(all.map(series => [series.key, series.fit]));
  return key => {
    const fit = fits.get(key);
    if (fit === undefined) throw new Error(`series "${key}" was not measured`);
    return fit;
  };
}

function formatCoreShare(cpuMicrosPerSecond: number): string {
  const percent = (cpuMicrosPerSecond / microsPerSecond) * 100;
  return `${formatNumber(percent)}%`;
}

function formatKilobytes(bytes: number): string {
  return formatNumber(bytes / 1_000);
}

function formatMegabytes(bytes: number): string {
  return formatNumber(bytes / bytesPerMegabyte);
}

function formatLineCells(line: CapacityLine): readonly string[] {
  return [
    line.node,
    line.role,
    line.kind,
    line.work,
    `\`${line.mechanism}\``,
    formatCoreShare(line.cpuMicrosPerSecond),
    formatKilobytes(line.bytesPerSecond),
    formatMegabytes(line.memoryBytes),
  ];
}

function markOverLimit(text: string, value: number, limit: number): string {
  return value > limit ? `**${text}, does not fit**` : text;
}

interface NodeRoles {
  readonly name: string;
  readonly nodes: readonly CapacityNodeRole[];
}

const nodeRoles: readonly NodeRoles[] = [
  {name: 'every node', nodes: ['every']},
  {name: 'node with one shard', nodes: ['every', 'scheduler']},
  {name: 'node with one claim shard', nodes: ['every', 'claims']},
];

function formatTotalCells(
  lines: readonly CapacityLine[],
  {name, nodes}: NodeRoles,
  withPermits: boolean,
): readonly string[] {
  const total = totalControl(lines, nodes, withPermits);
  const {bytesPerSecond, cpuMicrosPerSecond, memoryBytes} = total;
  const budget = controlBudget;
  return [
    name,
    withPermits ? 'counted' : 'not counted',
    markOverLimit(
      formatCoreShare(cpuMicrosPerSecond),
      cpuMicrosPerSecond,
      budget.cpuMicrosPerSecond,
    ),
    markOverLimit(
      formatKilobytes(bytesPerSecond),
      bytesPerSecond,
      budget.bytesPerSecond,
    ),
    markOverLimit(
      formatMegabytes(memoryBytes),
      memoryBytes,
      budget.memoryBytes,
    ),
  ];
}

function formatTotalRows(
  lines: readonly CapacityLine[],
): readonly (readonly string[])[] {
  return nodeRoles.flatMap(roles => [
    formatTotalCells(lines, roles, true),
    formatTotalCells(lines, roles, false),
  ]);
}

function formatRates(scale: CapacityScale): string {
  const rates = deriveRates(scale);
  return [
    `- a node: ${formatNumber(rates.nodeRequestsPerSecond)} requests and ${formatNumber(rates.nodeTokensPerSecond)} tokens per second, ${formatNumber(rates.nodePermits)} permits held`,
    `- a shard (${rates.shards}): ${formatNumber(rates.shardRequestsPerSecond)} requests per second, ${formatNumber(rates.shardPermits)} permits`,
    `- a claim shard: ${formatNumber(rates.claimsPerShardPerSecond)} claims per second`,
  ].join('\n');
}

function formatEventTable(figures: readonly EventFigure[]): string {
  return formatTable(
    ['what', 'figure', 'reckoning'],
    figures.map(({event, derivation, unit, value}) => [
      event,
      `${formatNumber(value)} ${unit}`,
      derivation,
    ]),
  );
}

/** Formats the capacity tables. */
export function formatCapacity(scale: CapacityScale, findFit: FindFit): string {
  const lines = deriveCapacity(scale, findFit);
  const lineHeader = [
    'node',
    'role',
    'kind',
    'work',
    'mechanism',
    'of a core',
    'KB/s',
    'MB',
  ];
  const totalHeader = ['node', 'permit messages', 'of a core', 'KB/s', 'MB'];
  return [
    '### Rates',
    formatRates(scale),
    '### Lines',
    formatTable(lineHeader, lines.map(formatLineCells)),
    '### Control of a node (limits: 2.2% of a core, 7 KB/s, 128 MB)',
    formatTable(totalHeader, formatTotalRows(lines)),
    '### Key-value service (limits: several hundred writes, 2,000 reads per second)',
    formatEventTable(derivePlatform(scale, findFit)),
    '### Takeover and replacement',
    formatEventTable(deriveReplacement(scale, findFit)),
    '### A region partitioned for an hour',
    formatEventTable(derivePartition(scale, findFit)),
  ].join('\n\n');
}
