/**
 * Numbers and times as reports show them.
 */
import type {
  ClassBurn,
  LatencyQuantiles,
  LatencyTarget,
} from '@toucanrouter/common';

const secondMs = 1000;
const minuteMs = 60 * secondMs;
const hourMs = 60 * minuteMs;

/** Writes a duration with two or three significant digits and its unit. */
export function formatDuration(valueMs: number): string {
  if (valueMs < secondMs) return `${Math.round(valueMs)}ms`;
  if (valueMs < 2 * minuteMs) return `${toOneDecimal(valueMs / secondMs)}s`;
  if (valueMs < hourMs) return `${toOneDecimal(valueMs / minuteMs)}m`;
  return `${toOneDecimal(valueMs / hourMs)}h`;
}

function toOneDecimal(value: number): string {
  return String(Number(value.toFixed(1)));
}

/** Writes a share as a percentage, rounded down so that 99.996% is not 100%. */
export function formatShare(share: number): string {
  return `${(Math.floor(share * 10_000 + 1e-9) / 100).toFixed(2)}%`;
}

/** Writes a burn rate as a multiple. */
export function formatRate(rate: number): string {
  return `${rate.toFixed(1)}x`;
}

/** Writes a wall time in UTC to the second. */
export function formatTime(wallMs: number): string {
  return new Date(wallMs).toISOString().replace(/\.\d+Z$/, 'Z');
}

/** Writes the targets that are set. */
export function formatTarget(target: LatencyTarget): string {
  const parts = [
    ['first token', target.firstTokenMs] as const,
    ['gap', target.tokenGapMs] as const,
    ['total', target.totalMs] as const,
  ];
  return parts
    .flatMap(([name, valueMs]) =>
      valueMs === undefined ? [] : [`${name} ${formatDuration(valueMs)}`],
    )
    .join(', ');
}

/** Writes the time to exhaustion of the error budget. */
export function formatExhaustion({exhaustedInMs}: ClassBurn): string {
  if (exhaustedInMs === undefined) return 'never';
  return exhaustedInMs === 0 ? 'exhausted' : formatDuration(exhaustedInMs);
}

/** Writes the quantiles of a latency, or `-` when there is none. */
export function formatQuantiles(quantiles: LatencyQuantiles): string {
  if (quantiles.count === 0) return '-';
  return [quantiles.p50Ms, quantiles.p95Ms, quantiles.p99Ms]
    .map(formatDuration)
    .join(' / ');
}
