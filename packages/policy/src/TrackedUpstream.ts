/**
 * Observations and state of one incarnation of an upstream.
 */
import type {PermitRelease, UpstreamInfo} from '@toucanrouter/common';
import type {MovingAverage} from './MovingAverage.js';
import {createMovingAverage} from './MovingAverage.js';
import type {RateMeasurement, TokenRateWindow} from './TokenRateWindow.js';
import {createTokenRateWindow} from './TokenRateWindow.js';
import type {UpstreamTrackerParameters} from './UpstreamTrackerConstants.js';
import {
  limitWindowMs,
  maxLatencyAgeMs,
  maxLatencyShare,
  maxSampleIntervalMs,
} from './UpstreamTrackerConstants.js';
import type {UpstreamHealth} from './UpstreamTrackerHealth.js';
import {createUpstreamHealth} from './UpstreamTrackerHealth.js';
import type {DecodeDelta, TrackedJob} from './UpstreamTrackerJobs.js';
import type {ConcurrencyLimit} from './UpstreamTrackerLimits.js';
import {createConcurrencyLimit} from './UpstreamTrackerLimits.js';

/** The tracker's record of one incarnation of an upstream. */
export interface TrackedUpstream {
  info: UpstreamInfo;
  leaving: boolean;
  /** Failed jobs since the last completed job. */
  failures: number;
  readonly jobs: Set<TrackedJob>;
  readonly limit: ConcurrencyLimit;
  readonly health: UpstreamHealth;
  readonly rate: TokenRateWindow;
  /** Token gap while healthy, which is kept while the upstream is idle. */
  readonly gapMs: MovingAverage;
  /** Time to first token, or of plain calls, per unit of prompt weight. */
  readonly responseMs: MovingAverage;
  /** Time to first token as a share of the target. */
  readonly firstTokenShare: MovingAverage;
  /** Total time as a share of the target. */
  readonly totalShare: MovingAverage;
}

/** Creates the record of an upstream without observations. */
export function createTrackedUpstream(
  info: UpstreamInfo,
  parameters: UpstreamTrackerParameters,
): TrackedUpstream {
  return {
    info,
    leaving: info.leaving,
    failures: 0,
    jobs: new Set(),
    limit: createConcurrencyLimit(parameters),
    health: createUpstreamHealth(parameters),
    rate: createTokenRateWindow(),
    gapMs: createMovingAverage(),
    responseMs: createMovingAverage(),
    firstTokenShare: createMovingAverage(),
    totalShare: createMovingAverage(),
  };
}

/** Adds decoding to the window of an upstream and to a probe of it. */
export function recordDecode(
  upstream: TrackedUpstream,
  delta: DecodeDelta | undefined,
  nowMs: number,
): void {
  if (delta === undefined) return;
  upstream.rate.add(delta.jobMs, delta.tokens, nowMs);
  if (delta.tokens > 0) upstream.health.addProbeSuccess(delta.jobMs);
}

/** Records the time to first token of a job once it is known. */
export function recordFirstToken(
  upstream: TrackedUpstream,
  job: TrackedJob,
  nowMs: number,
): void {
  if (job.firstTokenMs === undefined) return;
  upstream.responseMs.add(job.firstTokenMs / job.promptWeight, nowMs);
  const target = job.start.target.firstTokenMs;
  if (target === undefined) return;
  const share = Math.min(maxLatencyShare, job.firstTokenMs / target);
  upstream.firstTokenShare.add(share, nowMs);
}

/** Records how long a completed job took. */
export function recordCompletion(
  upstream: TrackedUpstream,
  job: TrackedJob,
  release: PermitRelease,
  nowMs: number,
): void {
  const isService = upstream.info.kind === 'service';
  if (isService) upstream.responseMs.add(release.serviceMs, nowMs);
  const target = job.start.target;
  if (target.totalMs === undefined || target.tokenGapMs !== undefined) return;
  const share = Math.min(maxLatencyShare, release.serviceMs / target.totalMs);
  upstream.totalShare.add(share, nowMs);
}

/** Returns the token rate in the window over which the limit is adjusted. */
export function limitMeasurement(
  upstream: TrackedUpstream,
  nowMs: number,
): RateMeasurement | undefined {
  return upstream.rate.measure(nowMs, undefined, limitWindowMs);
}

/** Returns the jobs whose last report says that no token has arrived yet. */
function jobsAwaitingFirstToken(upstream: TrackedUpstream): TrackedJob[] {
  return [...upstream.jobs].filter(
    job => job.firstTokenMs === undefined && job.sinceLastTokenMs > 0,
  );
}

/** Returns the longest wait for a first token, per unit of prompt weight. */
export function longestResponseMs(
  upstream: TrackedUpstream,
  nowMs: number,
): number | undefined {
  const waits = jobsAwaitingFirstToken(upstream).map(
    job => job.sinceLastTokenMs / job.promptWeight,
  );
  const recent = upstream.responseMs.recent(nowMs, maxSampleIntervalMs);
  if (recent !== undefined) waits.push(recent);
  return waits.length === 0 ? undefined : Math.max(...waits);
}

/** Returns the mean share of the first-token target that jobs have waited. */
function awaitedFirstTokenShare(upstream: TrackedUpstream): number | undefined {
  let sum = 0;
  let count = 0;
  for (const job of jobsAwaitingFirstToken(upstream)) {
    const target = job.start.target.firstTokenMs;
    if (target === undefined) continue;
    sum += Math.min(maxLatencyShare, job.sinceLastTokenMs / target);
    count += 1;
  }
  return count === 0 ? undefined : sum / count;
}

/**
 * Returns the latency as a share of the targets: the largest of the recently
 * observed shares.
 */
export function latencyPressure(
  upstream: TrackedUpstream,
  targetGapMs: number | undefined,
  nowMs: number,
): number | undefined {
  const gapMs = limitMeasurement(upstream, nowMs)?.gapMs;
  const shares = [
    gapMs !== undefined && targetGapMs !== undefined
      ? gapMs / targetGapMs
      : undefined,
    upstream.firstTokenShare.recent(nowMs, maxLatencyAgeMs),
    awaitedFirstTokenShare(upstream),
    upstream.totalShare.recent(nowMs, maxLatencyAgeMs),
  ].filter(share => share !== undefined);
  if (shares.length > 0) return Math.max(...shares);
  // Jobs without a target let the limit grow as long as tokens arrive.
  return gapMs === undefined ? undefined : 0.5;
}
