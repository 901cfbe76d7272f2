/**
 * Compares an upstream with the other upstreams of its shard. Engines of one
 * model do the same work, so a latency far above the median of the others marks
 * a straggler, whatever the usual latency of the model is.
 */
import type {TrackedUpstream} from './TrackedUpstream.js';
import {longestResponseMs} from './TrackedUpstream.js';
import type {UpstreamTrackerParameters} from './UpstreamTrackerConstants.js';
import {idleReferenceFactor} from './UpstreamTrackerConstants.js';
import type {Verdict} from './UpstreamTrackerHealth.js';

/** A verdict and the measurement that it is based on. */
export interface UpstreamAssessment {
  readonly verdict: Verdict;
  readonly reason: string;
}

interface Reference {
  readonly valueMs: number;
  /** False when the value was measured before the upstreams became idle. */
  readonly live: boolean;
}

function median(values: readonly number[]): number | undefined {
  if (values.length === 0) return undefined;
  const sorted = [...values].sort((a, b) => a - b);
  // The lower of two middle values: of two upstreams, one may be a straggler.
  return sorted[Math.floor((sorted.length - 1) / 2)];
}

function selectReference(
  live: readonly (number | undefined)[],
  idle: readonly (number | undefined)[],
): Reference | undefined {
  const liveMs = median(live.filter(value => value !== undefined));
  if (liveMs !== undefined) return {valueMs: liveMs, live: true};
  const idleMs = median(idle.filter(value => value !== undefined));
  return idleMs === undefined ? undefined : {valueMs: idleMs, live: false};
}

function gapReference(
  others: readonly TrackedUpstream[],
  nowMs: number,
): Reference | undefined {
  return selectReference(
    others.map(other => other.rate.measure(nowMs, undefined)?.gapMs),
    others.map(other => other.gapMs.value()),
  );
}

interface Thresholds {
  readonly suspectFactor: number;
  readonly recoveredFactor: number;
  readonly minExcessMs: number;
}

function compare(
  valueMs: number,
  reference: Reference,
  thresholds: Thresholds,
): Verdict {
  const factor = valueMs / reference.valueMs;
  const excessMs = valueMs - reference.valueMs;
  const scale = reference.live ? 1 : idleReferenceFactor;
  if (excessMs < thresholds.minExcessMs) return 'good';
  if (factor < thresholds.recoveredFactor) return 'good';
  return factor > thresholds.suspectFactor * scale ? 'slow' : 'unknown';
}

function describe(
  metric: string,
  valueMs: number,
  reference: Reference,
): string {
  const value = Math.round(valueMs);
  return `${metric} ${value} ms, median of others ${Math.round(reference.valueMs)} ms`;
}

function assessTokenGap(
  upstream: TrackedUpstream,
  others: readonly TrackedUpstream[],
  parameters: UpstreamTrackerParameters,
  nowMs: number,
): UpstreamAssessment | undefined {
  const reference = gapReference(others, nowMs);
  if (reference === undefined) return undefined;
  const measured = upstream.rate.measure(nowMs, reference.valueMs);
  if (measured === undefined) return undefined;
  const verdict = compare(measured.gapMs, reference, {
    suspectFactor: parameters.suspectGapFactor,
    recoveredFactor: parameters.recoveredFactor,
    minExcessMs: parameters.minGapExcessMs,
  });
  return {verdict, reason: describe('token gap', measured.gapMs, reference)};
}

function assessResponseTime(
  upstream: TrackedUpstream,
  others: readonly TrackedUpstream[],
  parameters: UpstreamTrackerParameters,
  nowMs: number,
): UpstreamAssessment | undefined {
  const reference = selectReference(
    others.map(other => other.responseMs.value()),
    [],
  );
  const valueMs = longestResponseMs(upstream, nowMs);
  if (reference === undefined || valueMs === undefined) return undefined;
  const verdict = compare(valueMs, reference, {
    suspectFactor: parameters.suspectFirstTokenFactor,
    recoveredFactor: parameters.recoveredFactor,
    minExcessMs: parameters.minFirstTokenExcessMs,
  });
  return {verdict, reason: describe('response time', valueMs, reference)};
}

/**
 * Compares an upstream with `others`. The time to first token is used only
 * while no decoding is measured, because it also grows with long prompts and
 * while an engine that decodes at the usual rate has no memory for more jobs.
 */
export function assessUpstream(
  upstream: TrackedUpstream,
  others: readonly TrackedUpstream[],
  parameters: UpstreamTrackerParameters,
  nowMs: number,
): UpstreamAssessment {
  const gapAssessment = assessTokenGap(upstream, others, parameters, nowMs);
  if (gapAssessment !== undefined) return gapAssessment;
  const responseAssessment = assessResponseTime(
    upstream,
    others,
    parameters,
    nowMs,
  );
  return responseAssessment ?? {verdict: 'unknown', reason: 'nothing observed'};
}
