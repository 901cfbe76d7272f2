/**
 * Renders the burn report as a self-contained HTML page for screen and print.
 */
import type {BurnReport, ClassBurn, InstanceId} from '@toucanrouter/common';
import {
  formatDuration,
  formatExhaustion,
  formatQuantiles,
  formatRate,
  formatShare,
  formatTarget,
  formatTime,
} from './ReportFormat.js';
import {escapeHtml, renderBurnPlot, renderLatencyPlot} from './SvgPlots.js';

const maxShownWorkspaces = 5;

const styles = `
body{font:14px/1.4 system-ui,sans-serif;color:#111;max-width:62rem;margin:2rem auto;padding:0 1rem}
table{border-collapse:collapse;width:100%}
th,td{text-align:left;padding:.2rem .6rem;border-bottom:1px solid #ccc}
td.n,th.n{text-align:right;font-variant-numeric:tabular-nums}
section{break-inside:avoid;margin-top:1.5rem}
.plots{display:grid;grid-template-columns:1fr 1fr;gap:1rem}
svg{width:100%;height:auto}
svg rect{fill:#4a6fa5}
svg .axis{fill:none;stroke:#333}
svg .mark{fill:none;stroke:#b00020;stroke-dasharray:4 3}
svg text{font-size:10px;fill:#333}
svg .end{text-anchor:end}
svg .middle{text-anchor:middle}
.page{font-weight:bold;color:#b00020}
.ticket{font-weight:bold;color:#8a5a00}
@media print{@page{size:A4;margin:15mm}body{margin:0;max-width:none;font-size:10pt}svg rect,.page,.ticket{print-color-adjust:exact;-webkit-print-color-adjust:exact}}
`;

/** Renders the burn report; `unanswered` lists instances without a response. */
export function renderBurnPage(
  report: BurnReport,
  unanswered: readonly InstanceId[] = [],
): string {
  const title = `Error budget at ${formatTime(report.generatedAtWallMs)}`;
  return [
    '<!doctype html>',
    '<html lang="en"><head><meta charset="utf-8">',
    '<meta name="viewport" content="width=device-width,initial-scale=1">',
    `<title>${escapeHtml(title)}</title><style>${styles}</style></head><body>`,
    `<h1>${escapeHtml(title)}</h1>`,
    renderIntroduction(report, unanswered),
    renderOverview(report),
    ...report.classes.map(burn => renderClass(burn, report)),
    '</body></html>',
    '',
  ].join('\n');
}

function renderIntroduction(
  report: BurnReport,
  unanswered: readonly InstanceId[],
): string {
  const sources = report.sources.map(
    ({instanceId, sinceWallMs}) =>
      `${instanceId} since ${formatTime(sinceWallMs)}`,
  );
  const lines = [
    `Objective: ${formatShare(report.objective)} of the requests of each class within target over ${formatDuration(report.budgetPeriodMs)}.`,
    `Counted by ${sources.join(', ') || 'no instance'}.`,
  ];
  if (unanswered.length > 0) {
    lines.push(`Counts missing, no response: ${unanswered.join(', ')}.`);
  }
  return lines.map(line => `<p>${escapeHtml(line)}</p>`).join('');
}

function renderOverview(report: BurnReport): string {
  const head = renderRow('th', [
    ['Class'],
    ['Priority', 'n'],
    ['Requests', 'n'],
    ['Missed', 'n'],
    ['Within target', 'n'],
    [`Burn ${formatDuration(report.shortWindowMs)}`, 'n'],
    [`Burn ${formatDuration(report.longWindowMs)}`, 'n'],
    ['Budget left', 'n'],
    ['Exhausted in', 'n'],
    ['Alarm'],
  ]);
  const rows = report.classes.map(renderOverviewRow).join('');
  return `<table><thead>${head}</thead><tbody>${rows}</tbody></table>`;
}

function renderOverviewRow(burn: ClassBurn): string {
  return renderRow('td', [
    [burn.classId],
    [String(burn.tier), 'n'],
    [String(burn.requests), 'n'],
    [String(burn.bad), 'n'],
    [formatShare(burn.attainment), 'n'],
    [formatRate(burn.shortBurnRate), 'n'],
    [formatRate(burn.longBurnRate), 'n'],
    [formatShare(burn.budgetRemaining), 'n'],
    [formatExhaustion(burn), 'n'],
    [burn.alarm, burn.alarm],
  ]);
}

type Cell = readonly [text: string, className?: string];

function renderRow(tag: 'td' | 'th', cells: readonly Cell[]): string {
  const inner = cells.map(([text, className]) => {
    const attribute = className === undefined ? '' : ` class="${className}"`;
    return `<${tag}${attribute}>${escapeHtml(text)}</${tag}>`;
  });
  return `<tr>${inner.join('')}</tr>`;
}

function renderClass(burn: ClassBurn, report: BurnReport): string {
  return [
    `<section><h2>${escapeHtml(burn.classId)}</h2>`,
    `<p>${escapeHtml(describeClass(burn))}</p>`,
    `<div class="plots"><figure>${renderBurnPlot(burn, report)}<figcaption>Burn rate; at 1, the dashed line, the budget lasts exactly its period</figcaption></figure>`,
    `<figure>${renderLatencyPlot(burn)}<figcaption>Completed requests by total time</figcaption></figure></div>`,
    renderWorkspaces(burn, report),
    '</section>',
  ].join('');
}

function describeClass(burn: ClassBurn): string {
  return [
    `Target: ${formatTarget(burn.target)}.`,
    `First token p50 / p95 / p99: ${formatQuantiles(burn.firstToken)}.`,
    `Token gap: ${formatQuantiles(burn.tokenGap)}.`,
    `Total: ${formatQuantiles(burn.total)}.`,
  ].join(' ');
}

function renderWorkspaces(burn: ClassBurn, report: BurnReport): string {
  const worst = burn.workspaces
    .filter(({bad}) => bad > 0)
    .slice(0, maxShownWorkspaces);
  if (worst.length === 0) return '';
  const head = renderRow('th', [
    [`Worst workspaces, last ${formatDuration(report.longWindowMs)}`],
    ['Requests', 'n'],
    ['Missed', 'n'],
    ['Burn', 'n'],
  ]);
  const rows = worst.map(({workspaceId, requests, bad, burnRate}) =>
    renderRow('td', [
      [workspaceId],
      [String(requests), 'n'],
      [String(bad), 'n'],
      [formatRate(burnRate), 'n'],
    ]),
  );
  return `<table><thead>${head}</thead><tbody>${rows.join('')}</tbody></table>`;
}
