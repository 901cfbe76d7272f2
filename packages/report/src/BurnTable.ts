/**
 * Renders the burn report as text for terminals.
 */
import type {
  BurnReport,
  ClassBurn,
  InstanceId,
  WorkspaceBurn,
} from '@toucanrouter/common';
import {
  formatDuration,
  formatExhaustion,
  formatQuantiles,
  formatRate,
  formatShare,
  formatTarget,
  formatTime,
} from './ReportFormat.js';
import type {TableColumn} from './TextTable.js';
import {renderTable} from './TextTable.js';

/** Renders the error budget and burn rates of each class. */
export function renderBurnTable(
  report: BurnReport,
  unanswered: readonly InstanceId[] = [],
): string {
  const columns = burnColumns(report);
  const table = renderTable(columns, report.classes.map(burnRow));
  return [
    describeReport(report),
    '',
    table,
    ...describeCoverage(report, unanswered),
  ]
    .join('\n')
    .concat('\n');
}

function describeReport(report: BurnReport): string {
  const share = formatShare(report.objective);
  const period = formatDuration(report.budgetPeriodMs);
  return `Error budget at ${formatTime(report.generatedAtWallMs)}: ${share} of requests within target over ${period}`;
}

function burnColumns(report: BurnReport): readonly TableColumn[] {
  const right = (heading: string) => ({heading, alignRight: true});
  return [
    {heading: 'CLASS'},
    right('PRIORITY'),
    right('REQUESTS'),
    right('MISSED'),
    right('WITHIN TARGET'),
    right(`BURN ${formatDuration(report.shortWindowMs)}`),
    right(`BURN ${formatDuration(report.longWindowMs)}`),
    right('BUDGET LEFT'),
    right('EXHAUSTED IN'),
    {heading: 'ALARM'},
    {heading: 'WORST WORKSPACE'},
  ];
}

function burnRow(burn: ClassBurn): readonly string[] {
  return [
    burn.classId,
    String(burn.tier),
    String(burn.requests),
    String(burn.bad),
    formatShare(burn.attainment),
    formatRate(burn.shortBurnRate),
    formatRate(burn.longBurnRate),
    formatShare(burn.budgetRemaining),
    formatExhaustion(burn),
    burn.alarm,
    describeWorstWorkspace(burn.worstWorkspace),
  ];
}

function describeWorstWorkspace(worst: WorkspaceBurn | undefined): string {
  if (worst === undefined) return '-';
  return `${worst.workspaceId} (${formatRate(worst.burnRate)}, ${worst.bad} of ${worst.requests})`;
}

/** States what the counts cover; counts of stopped instances are lost. */
function describeCoverage(
  report: BurnReport,
  unanswered: readonly InstanceId[],
): readonly string[] {
  const since = report.sources.map(
    ({instanceId, sinceWallMs}) => `${instanceId} ${formatTime(sinceWallMs)}`,
  );
  const lines = ['', `Counted since: ${since.join(', ') || 'no instance'}`];
  if (unanswered.length > 0) {
    lines.push(`Counts missing (no response): ${unanswered.join(', ')}`);
  }
  return lines;
}

/** Renders the target and latency quantiles of each class. */
export function renderClassesTable(
  report: BurnReport,
  unanswered: readonly InstanceId[] = [],
): string {
  const columns = [
    {heading: 'CLASS'},
    {heading: 'PRIORITY', alignRight: true},
    {heading: 'TARGET'},
    {heading: 'WITHIN TARGET', alignRight: true},
    {heading: 'FIRST TOKEN P50/P95/P99'},
    {heading: 'TOKEN GAP P50/P95/P99'},
    {heading: 'TOTAL P50/P95/P99'},
  ];
  const table = renderTable(columns, report.classes.map(classRow));
  const title = `Latency of completed requests at ${formatTime(report.generatedAtWallMs)}`;
  return [title, '', table, ...describeCoverage(report, unanswered)]
    .join('\n')
    .concat('\n');
}

function classRow(burn: ClassBurn): readonly string[] {
  return [
    burn.classId,
    String(burn.tier),
    formatTarget(burn.target),
    formatShare(burn.attainment),
    formatQuantiles(burn.firstToken),
    formatQuantiles(burn.tokenGap),
    formatQuantiles(burn.total),
  ];
}
