/**
 * Prints what follows from the measured lines at the design's scale.
 */
import {
  derivePartition,
  derivePlatform,
  deriveReplacement,
} from './CapacityEvents.js';
import type {EventFigure} from './CapacityEvents.js';
import type {CapacityLine, CapacityNode, FindFit} from './CapacityModel.js';
import {deriveCapacity, totalControl} from './CapacityModel.js';
import type {CapacityScale} from './CapacityScale.js';
import {controlBudget, deriveRates} from './CapacityScale.js';
import type {FittedSeries} from './Series.js';
import {formatNumber, formatTable} from './SeriesTable.js';

const microsPerSecond = 1e6;
const bytesPerMegabyte = 1e6;

/** Returns a function that finds the line of a series by its key. */
export function createFindFit(all: readonly FittedSeries[]): FindFit {
  const fits = new Map(all.map(series => [series.key, series.fit]));
  return key => {
    const fit = fits.get(key);
    if (fit === undefined) throw new Error(`series "${key}" was not measured`);
    return fit;
  };
}

function coreText(cpuMicrosPerSecond: number): string {
  const percent = (cpuMicrosPerSecond / microsPerSecond) * 100;
  return `${formatNumber(percent)}%`;
}

function kilobyteText(bytes: number): string {
  return formatNumber(bytes / 1_000);
}

function megabyteText(bytes: number): string {
  return formatNumber(bytes / bytesPerMegabyte);
}

function lineCells(line: CapacityLine): readonly string[] {
  return [
    line.node,
    line.role,
    line.kind,
    line.work,
    `\`${line.mechanism}\``,
    coreText(line.cpuMicrosPerSecond),
    kilobyteText(line.bytesPerSecond),
    megabyteText(line.memoryBytes),
  ];
}

function mark(text: string, value: number, limit: number): string {
  return value > limit ? `**${text}, does not fit**` : text;
}

interface NodeRoles {
  readonly name: string;
  readonly nodes: readonly CapacityNode[];
}

const nodeRoles: readonly NodeRoles[] = [
  {name: 'every node', nodes: ['every']},
  {name: 'node with one shard', nodes: ['every', 'scheduler']},
  {name: 'node with one claim shard', nodes: ['every', 'claims']},
];

function totalCells(
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
    mark(
      coreText(cpuMicrosPerSecond),
      cpuMicrosPerSecond,
      budget.cpuMicrosPerSecond,
    ),
    mark(kilobyteText(bytesPerSecond), bytesPerSecond, budget.bytesPerSecond),
    mark(megabyteText(memoryBytes), memoryBytes, budget.memoryBytes),
  ];
}

function totalRows(
  lines: readonly CapacityLine[],
): readonly (readonly string[])[] {
  return nodeRoles.flatMap(roles => [
    totalCells(lines, roles, true),
    totalCells(lines, roles, false),
  ]);
}

function ratesText(scale: CapacityScale): string {
  const rates = deriveRates(scale);
  return [
    `- a node: ${formatNumber(rates.nodeRequestsPerSecond)} requests and ${formatNumber(rates.nodeTokensPerSecond)} tokens per second, ${formatNumber(rates.nodePermits)} permits held`,
    `- a shard (${rates.shards}): ${formatNumber(rates.shardRequestsPerSecond)} requests per second, ${formatNumber(rates.shardPermits)} permits`,
    `- a claim shard: ${formatNumber(rates.claimsPerShardSecond)} claims per second`,
  ].join('\n');
}

function eventTable(figures: readonly EventFigure[]): string {
  return formatTable(
    ['what', 'figure', 'reckoning'],
    figures.map(({event, reckoning, unit, value}) => [
      event,
      `${formatNumber(value)} ${unit}`,
      reckoning,
    ]),
  );
}

/** Formats the capacity tables. */
export function formatCapacity(scale: CapacityScale, find: FindFit): string {
  const lines = deriveCapacity(scale, find);
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
    ratesText(scale),
    '### Lines',
    formatTable(lineHeader, lines.map(lineCells)),
    '### Control of a node (limits: 2.2% of a core, 7 KB/s, 128 MB)',
    formatTable(totalHeader, totalRows(lines)),
    '### Key-value service (limits: several hundred writes, 2,000 reads per second)',
    eventTable(derivePlatform(scale, find)),
    '### Takeover and replacement',
    eventTable(deriveReplacement(scale, find)),
    '### A region partitioned for an hour',
    eventTable(derivePartition(scale, find)),
  ].join('\n\n');
}
