/**
 * Renders plots of the burn report as inline SVG. Colors differ in lightness,
 * so that black-and-white prints stay readable.
 */
import type {
  BurnPoint,
  BurnReport,
  ClassBurn,
  LatencyBucket,
} from '@toucanrouter/common';
import {formatDuration, formatRate} from './ReportFormat.js';

const plot = {
  width: 360,
  height: 120,
  left: 44,
  top: 8,
  bottom: 22,
} as const;

/** Time per bar; bars of a whole day stay wider than a pixel. */
const burnBarMs = 600_000;

interface Bar {
  /** Left edge, from 0 to 1 along the horizontal axis. */
  readonly from: number;
  /** Right edge, likewise. */
  readonly to: number;
  /** From 0 to 1 along the vertical axis. */
  readonly height: number;
}

/** A labeled line across the plot at a fraction of its height or width. */
interface Mark {
  readonly fraction: number;
  readonly label: string;
}

interface BarPlot {
  readonly title: string;
  readonly bars: readonly Bar[];
  readonly topLabel: string;
  readonly startLabel: string;
  readonly endLabel: string;
  readonly horizontalMark?: Mark;
  readonly verticalMark?: Mark;
}

/** Renders the burn rate over the budget period. */
export function renderBurnPlot(burn: ClassBurn, report: BurnReport): string {
  const {generatedAtWallMs, budgetPeriodMs, objective} = report;
  const start = generatedAtWallMs - budgetPeriodMs;
  const groups = groupPoints(burn.points);
  const rates = groups.map(point => ({
    startWallMs: point.startWallMs,
    rate: point.bad / (point.good + point.bad) / (1 - objective),
  }));
  const maxRate = Math.max(2, ...rates.map(({rate}) => rate));
  const position = (wallMs: number) => clamp((wallMs - start) / budgetPeriodMs);
  return renderBars({
    title: `Burn rate of ${burn.classId} over ${formatDuration(budgetPeriodMs)}`,
    bars: rates.map(({startWallMs, rate}) => ({
      from: position(startWallMs),
      to: position(startWallMs + burnBarMs),
      height: rate / maxRate,
    })),
    topLabel: formatRate(maxRate),
    startLabel: `${formatDuration(budgetPeriodMs)} ago`,
    endLabel: 'now',
    horizontalMark: {fraction: 1 / maxRate, label: formatRate(1)},
  });
}

function groupPoints(points: readonly BurnPoint[]): readonly BurnPoint[] {
  const groups = new Map<number, BurnPoint>();
  for (const {startWallMs, good, bad} of points) {
    const start = startWallMs - (startWallMs % burnBarMs);
    const group = groups.get(start) ?? {startWallMs: start, good: 0, bad: 0};
    groups.set(start, {
      startWallMs: start,
      good: group.good + good,
      bad: group.bad + bad,
    });
  }
  return [...groups.values()];
}

/** Renders the distribution of total times on a logarithmic time axis. */
export function renderLatencyPlot(burn: ClassBurn): string {
  const buckets = coarsenBuckets(burn.totalBuckets);
  const bounds = buckets.map(({upToMs}) => upToMs);
  const maxMs = Math.max(10, burn.target.totalMs ?? 0, ...bounds) * 1.2;
  const position = (valueMs: number) =>
    clamp(Math.log(Math.max(1, valueMs)) / Math.log(maxMs));
  const maxCount = Math.max(1, ...buckets.map(({count}) => count));
  const {totalMs} = burn.target;
  return renderBars({
    title: `Total time of ${burn.classId}`,
    bars: buckets.map(({upToMs, count}) => ({
      from: position(upToMs / latencyBarRatio),
      to: position(upToMs),
      height: count / maxCount,
    })),
    topLabel: String(maxCount),
    startLabel: '1ms',
    endLabel: formatDuration(maxMs),
    verticalMark:
      totalMs === undefined
        ? undefined
        : {
            fraction: position(totalMs),
            label: `target ${formatDuration(totalMs)}`,
          },
  });
}

const latencyBarRatio = 1.25;

function coarsenBuckets(
  buckets: readonly LatencyBucket[],
): readonly LatencyBucket[] {
  const counts = new Map<number, number>();
  for (const {upToMs, count} of buckets) {
    const step = Math.ceil(Math.log(upToMs) / Math.log(latencyBarRatio) - 1e-9);
    counts.set(step, (counts.get(step) ?? 0) + count);
  }
  return [...counts].map(([step, count]) => ({
    upToMs: latencyBarRatio ** step,
    count,
  }));
}

function clamp(fraction: number): number {
  return Math.min(1, Math.max(0, fraction));
}

const innerWidth = plot.width - plot.left - 4;
const innerHeight = plot.height - plot.top - plot.bottom;

const toX = (fraction: number): string =>
  (plot.left + fraction * innerWidth).toFixed(1);
const toY = (fraction: number): string =>
  (plot.top + (1 - fraction) * innerHeight).toFixed(1);

function renderBars(chart: BarPlot): string {
  const right = plot.left + innerWidth;
  const baseline = plot.top + innerHeight;
  const labelY = plot.height - 6;
  return [
    `<svg viewBox="0 0 ${plot.width} ${plot.height}" role="img" aria-label="${escapeHtml(chart.title)}">`,
    `<title>${escapeHtml(chart.title)}</title>`,
    ...chart.bars.map(renderBar),
    `<path class="axis" d="M${plot.left} ${plot.top}V${baseline}H${right}"/>`,
    ...renderMarks(chart),
    `<text x="${plot.left - 4}" y="${plot.top + 8}" class="end">${escapeHtml(chart.topLabel)}</text>`,
    `<text x="${plot.left}" y="${labelY}">${escapeHtml(chart.startLabel)}</text>`,
    `<text x="${right}" y="${labelY}" class="end">${escapeHtml(chart.endLabel)}</text>`,
    '</svg>',
  ].join('');
}

function renderBar({from, to, height}: Bar): string {
  const width = Math.max(0.5, (to - from) * innerWidth);
  return `<rect x="${toX(from)}" y="${toY(height)}" width="${width.toFixed(1)}" height="${(height * innerHeight).toFixed(1)}"/>`;
}

function renderMarks({
  horizontalMark,
  verticalMark,
}: BarPlot): readonly string[] {
  const marks: string[] = [];
  if (horizontalMark !== undefined) {
    const y = toY(horizontalMark.fraction);
    marks.push(
      `<path class="mark" d="M${plot.left} ${y}H${plot.left + innerWidth}"/>`,
      `<text x="${plot.left - 4}" y="${y}" class="end">${escapeHtml(horizontalMark.label)}</text>`,
    );
  }
  if (verticalMark !== undefined) {
    const x = toX(verticalMark.fraction);
    marks.push(
      `<path class="mark" d="M${x} ${plot.top}V${plot.top + innerHeight}"/>`,
      `<text x="${x}" y="${plot.height - 6}" class="middle">${escapeHtml(verticalMark.label)}</text>`,
    );
  }
  return marks;
}

/** Escapes text for HTML and SVG. */
export function escapeHtml(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;')
    .replaceAll('"', '&quot;');
}
