/**
 * Converts progress samples of running jobs into measurements of decoding.
 */
import type {PermitRelease, ProgressSample} from '@toucanrouter/common';
import type {JobStart} from './UpstreamTracker.js';
import {
  maxSampleIntervalMs,
  promptTokensPerUnit,
} from './UpstreamTrackerConstants.js';

/** The tracker's record of a running job. */
export interface TrackedJob {
  readonly start: JobStart;
  readonly startedAtMs: number;
  /** Expected time to first token relative to a job with an empty prompt. */
  readonly promptWeight: number;
  tokens: number;
  firstTokenMs: number | undefined;
  sinceLastTokenMs: number;
  /** Time of the last sample that was taken while the job was decoding. */
  sampledAtMs: number | undefined;
}

/** Decoding between two samples of one job. */
export interface DecodeDelta {
  readonly jobMs: number;
  readonly tokens: number;
}

/** Creates the record of a job that starts now. */
export function createTrackedJob(start: JobStart, nowMs: number): TrackedJob {
  return {
    start,
    startedAtMs: nowMs,
    promptWeight: 1 + start.promptTokens / promptTokensPerUnit,
    tokens: 0,
    firstTokenMs: undefined,
    sinceLastTokenMs: 0,
    sampledAtMs: undefined,
  };
}

/** Applies a sample and returns the decoding since the previous one. */
export function applySample(
  job: TrackedJob,
  sample: ProgressSample,
  nowMs: number,
): DecodeDelta | undefined {
  const previousAtMs = job.sampledAtMs;
  const tokens = Math.max(0, sample.tokens - job.tokens);
  job.firstTokenMs ??= sample.firstTokenMs;
  job.sinceLastTokenMs = sample.sinceLastTokenMs;
  job.tokens = Math.max(job.tokens, sample.tokens);
  if (job.firstTokenMs === undefined) return undefined;
  job.sampledAtMs = nowMs;
  if (previousAtMs === undefined) return undefined;
  const jobMs = nowMs - previousAtMs;
  if (jobMs > maxSampleIntervalMs) return undefined;
  return {jobMs, tokens};
}

/** Returns the decoding between the last sample and the end of a job. */
export function applyRelease(
  job: TrackedJob,
  release: PermitRelease,
  nowMs: number,
): DecodeDelta | undefined {
  if (job.sampledAtMs !== undefined) {
    const jobMs = nowMs - job.sampledAtMs;
    const tokens = Math.max(0, release.tokens - job.tokens);
    return jobMs <= maxSampleIntervalMs ? {jobMs, tokens} : undefined;
  }
  if (release.tokenGapMs === undefined || release.tokens < 2) return undefined;
  const gaps = release.tokens - 1;
  return {jobMs: release.tokenGapMs * gaps, tokens: gaps};
}
