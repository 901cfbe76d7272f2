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
export interface Judgement {
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

function reference(
  live: readonly (number | undefined)[],
  remembered: readonly (number | undefined)[],
): Reference | undefined {
  const liveMs = median(live.filter(value => value !== undefined));
  if (liveMs !== undefined) return {valueMs: liveMs, live: true};
  const idleMs = median(remembered.filter(value => value !== undefined));
  return idleMs === undefined ? undefined : {valueMs: idleMs, live: false};
}

function gapReference(
  others: readonly TrackedUpstream[],
  nowMs: number,
): Reference | undefined {
  return reference(
    others.map(other => other.rate.evidence(nowMs, undefined)?.gapMs),
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
  base: Reference,
  thresholds: Thresholds,
): Verdict {
  const factor = valueMs / base.valueMs;
  const excessMs = valueMs - base.valueMs;
  const scale = base.live ? 1 : idleReferenceFactor;
  if (excessMs < thresholds.minExcessMs) return 'good';
  if (factor < thresholds.recoveredFactor) return 'good';
  return factor > thresholds.suspectFactor * scale ? 'slow' : 'unknown';
}

function describe(what: string, valueMs: number, base: Reference): string {
  const value = Math.round(valueMs);
  return `${what} ${value} ms, median of others ${Math.round(base.valueMs)} ms`;
}

function judgeGap(
  upstream: TrackedUpstream,
  others: readonly TrackedUpstream[],
  parameters: UpstreamTrackerParameters,
  nowMs: number,
): Judgement | undefined {
  const base = gapReference(others, nowMs);
  if (base === undefined) return undefined;
  const seen = upstream.rate.evidence(nowMs, base.valueMs);
  if (seen === undefined) return undefined;
  const verdict = compare(seen.gapMs, base, {
    suspectFactor: parameters.suspectGapFactor,
    recoveredFactor: parameters.recoveredFactor,
    minExcessMs: parameters.minGapExcessMs,
  });
  return {verdict, reason: describe('token gap', seen.gapMs, base)};
}

function judgeResponse(
  upstream: TrackedUpstream,
  others: readonly TrackedUpstream[],
  parameters: UpstreamTrackerParameters,
  nowMs: number,
): Judgement | undefined {
  const base = reference(
    others.map(other => other.responseMs.value()),
    [],
  );
  const valueMs = longestResponseMs(upstream, nowMs);
  if (base === undefined || valueMs === undefined) return undefined;
  const verdict = compare(valueMs, base, {
    suspectFactor: parameters.suspectFirstTokenFactor,
    recoveredFactor: parameters.recoveredFactor,
    minExcessMs: parameters.minFirstTokenExcessMs,
  });
  return {verdict, reason: describe('response time', valueMs, base)};
}

/**
 * Judges an upstream against `others`. The time to the first token counts only
 * where no decoding is seen, because it also grows with long prompts and while
 * an engine that decodes at the usual rate has no memory for more jobs.
 */
export function judgeUpstream(
  upstream: TrackedUpstream,
  others: readonly TrackedUpstream[],
  parameters: UpstreamTrackerParameters,
  nowMs: number,
): Judgement {
  const gap = judgeGap(upstream, others, parameters, nowMs);
  if (gap !== undefined) return gap;
  const response = judgeResponse(upstream, others, parameters, nowMs);
  return response ?? {verdict: 'unknown', reason: 'nothing observed'};
}
