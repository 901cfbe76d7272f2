/**
 * Formats numbers and times for reports.
 */
import type {
  ClassBurn,
  LatencyQuantiles,
  LatencyTarget,
} from '@toucanrouter/common';

const secondMs = 1000;
const minuteMs = 60 * secondMs;
const hourMs = 60 * minuteMs;

/** Formats a duration with its unit; from 1 s with at most one decimal. */
export function formatDuration(valueMs: number): string {
  if (valueMs < secondMs) return `${Math.round(valueMs)}ms`;
  if (valueMs < 2 * minuteMs) return `${toOneDecimal(valueMs / secondMs)}s`;
  if (valueMs < hourMs) return `${toOneDecimal(valueMs / minuteMs)}m`;
  return `${toOneDecimal(valueMs / hourMs)}h`;
}

function toOneDecimal(value: number): string {
  return String(Number(value.toFixed(1)));
}

/** Formats a share as a percentage, rounded down so 99.996% is not 100%. */
export function formatShare(share: number): string {
  return `${(Math.floor(share * 10_000 + 1e-9) / 100).toFixed(2)}%`;
}

/** Formats a burn rate as a multiple, such as `2.0x`. */
export function formatRate(rate: number): string {
  return `${rate.toFixed(1)}x`;
}

/** Formats a wall time in UTC with a resolution of seconds. */
export function formatTime(wallMs: number): string {
  return new Date(wallMs).toISOString().replace(/\.\d+Z$/, 'Z');
}

/** Formats the latency targets that are set. */
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

/** Formats the time until the error budget is exhausted. */
export function formatExhaustion({exhaustedInMs}: ClassBurn): string {
  if (exhaustedInMs === undefined) return 'never';
  return exhaustedInMs === 0 ? 'exhausted' : formatDuration(exhaustedInMs);
}

/** Formats latency quantiles, or `-` when there are no samples. */
export function formatQuantiles(quantiles: LatencyQuantiles): string {
  if (quantiles.count === 0) return '-';
  return [quantiles.p50Ms, quantiles.p95Ms, quantiles.p99Ms]
    .map(formatDuration)
    .join(' / ');
}
