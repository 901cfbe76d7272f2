/**
 * Fake holders of jobs for tests of the upstream tracker. Every 100 ms they
 * report the progress that follows from a given token gap.
 */
import type {
  LatencyTarget,
  PermitOutcome,
  Tier,
  UpstreamId,
  UpstreamInfo,
} from '@toucanrouter/common';
import {toClassId, toPermitId, toUpstreamId} from '@toucanrouter/common';
import type {UpstreamTracker} from '../../index.js';

const sampleIntervalMs = 100;

export function upstreamInfo(
  name: string,
  changes: Partial<UpstreamInfo> = {},
): UpstreamInfo {
  return {
    id: toUpstreamId(name),
    kind: 'engine',
    serves: 'model',
    address: '127.0.0.1:1',
    region: 'region',
    failureDomain: 'domain',
    incarnation: 1,
    softwareVersion: undefined,
    leaving: false,
    ...changes,
  };
}

export function upstreamInfos(count: number): UpstreamInfo[] {
  return Array.from({length: count}, (_, i) => upstreamInfo(`u${i}`));
}

interface FakeJob {
  readonly permit: string;
  readonly upstreamId: UpstreamId;
  readonly startedAtMs: number;
  readonly gapMs: number | undefined;
  tokens: number;
  lastTokenAtMs: number;
}

export interface JobOptions {
  readonly tier?: Tier;
  readonly target?: LatencyTarget;
  /** Token gap of this job, which overrides that of its upstream. */
  readonly gapMs?: number;
}

/** Reports the start, progress and end of jobs to a tracker. */
export interface FakeHolders {
  nowMs(): number;
  start(upstreamId: UpstreamId, options?: JobOptions): string;
  end(permit: string, outcome: PermitOutcome, serviceMs?: number): void;
  /** Runs all jobs for a time with the token gap of their upstream. */
  run(durationMs: number, gapMs: (upstreamId: UpstreamId) => number): void;
}

export function createFakeHolders(tracker: UpstreamTracker): FakeHolders {
  const jobs = new Map<string, FakeJob>();
  let nowMs = 0;
  let nextPermit = 0;

  function start(upstreamId: UpstreamId, options: JobOptions = {}): string {
    const permit = `p${nextPermit++}`;
    const tier = options.tier ?? 4;
    jobs.set(permit, {
      permit,
      upstreamId,
      startedAtMs: nowMs,
      gapMs: options.gapMs,
      tokens: 0,
      lastTokenAtMs: nowMs,
    });
    tracker.started(
      {
        permitId: toPermitId(permit),
        upstreamId,
        classId: toClassId(`class${tier}`),
        tier,
        target: options.target ?? {tokenGapMs: 50},
        promptTokens: 100,
      },
      nowMs,
    );
    return permit;
  }

  function decode(job: FakeJob, gapMs: number): void {
    while (job.lastTokenAtMs + gapMs <= nowMs) {
      job.lastTokenAtMs += gapMs;
      job.tokens += 1;
    }
  }

  function report(job: FakeJob): void {
    tracker.progressed(
      {
        permitId: toPermitId(job.permit),
        tokens: job.tokens,
        firstTokenMs: job.tokens > 0 ? 30 : undefined,
        sinceLastTokenMs: nowMs - job.lastTokenAtMs,
      },
      nowMs,
    );
  }

  return {
    nowMs: () => nowMs,
    start,
    end: (permit, outcome, serviceMs) => {
      const job = jobs.get(permit);
      if (job === undefined) return;
      jobs.delete(permit);
      tracker.ended(
        {
          permitId: toPermitId(permit),
          outcome,
          tokens: job.tokens,
          wastedTokens: 0,
          serviceMs: serviceMs ?? nowMs - job.startedAtMs,
        },
        nowMs,
      );
    },
    run: (durationMs, gapMs) => {
      const endMs = nowMs + durationMs;
      while (nowMs + sampleIntervalMs <= endMs) {
        nowMs += sampleIntervalMs;
        for (const job of jobs.values()) {
          decode(job, job.gapMs ?? gapMs(job.upstreamId));
          report(job);
        }
        tracker.tick(nowMs);
      }
    },
  };
}
