/**
 * Formats measured series as Markdown tables.
 */
import type {FittedSeries} from './Series.js';

const significantDigits = 3;

/** Formats a number with three significant digits and no exponent. */
export function formatNumber(value: number): string {
  if (!Number.isFinite(value)) return '-';
  const rounded = Number(value.toPrecision(significantDigits));
  return rounded.toLocaleString('en-US', {maximumFractionDigits: 6});
}

/** Formats a Markdown table. */
export function formatTable(
  header: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const rule = header.map(() => '---');
  return [header, rule, ...rows]
    .map(cells => `| ${cells.join(' | ')} |`)
    .join('\n');
}

function formatPoints({points}: FittedSeries): string {
  return points
    .map(({x, y}) => `${formatNumber(x)}: ${formatNumber(y)}`)
    .join('; ');
}

/** Formats series with their points and fitted lines. */
export function formatSeries(all: readonly FittedSeries[]): string {
  const header = ['series', 'x → y', 'points', 'slope', 'intercept', 'R²'];
  const rows = all.map(series => [
    `\`${series.key}\`: ${series.title}`,
    `${series.x} → ${series.y}`,
    formatPoints(series),
    formatNumber(series.fit.slope),
    formatNumber(series.fit.intercept),
    series.fit.determination.toFixed(3),
  ]);
  return formatTable(header, rows);
}
