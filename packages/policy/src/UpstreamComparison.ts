/**
 * Compares an upstream with the rest of its shard. Engines of one model do the
 * same work, so a much larger latency than the others' median marks a
 * straggler whatever the model's usual latency is.
 */
import type {TrackedUpstream} from './TrackedUpstream.js';
import {longestResponseMs} from './TrackedUpstream.js';
import type {UpstreamTrackerParameters} from './UpstreamTrackerConstants.js';
import {idleReferenceFactor} from './UpstreamTrackerConstants.js';
import type {Verdict} from './UpstreamTrackerHealth.js';

/** A verdict with the observation behind it. */
export interface UpstreamAssessment {
  readonly verdict: Verdict;
  readonly reason: string;
}

interface Reference {
  readonly valueMs: number;
  /** False when the value is remembered from upstreams that are idle now. */
  readonly live: boolean;
}

function median(values: readonly number[]): number | undefined {
  if (values.length === 0) return undefined;
  const sorted = [...values].sort((a, b) => a - b);
  // The lower middle: with two others of which one is slow, the fast one.
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
 * Judges an upstream against `others`. The time to the first token counts only
 * where no decoding is seen, because it also grows with long prompts and while
 * an engine that decodes at the usual rate has no memory for more jobs.
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
