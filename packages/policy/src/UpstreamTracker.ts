/**
 * Judges the upstreams of one shard by what entry instances see of them: how
 * much work each may hold, and which are stragglers.
 */
import type {
  ClassId,
  LatencyTarget,
  PermitId,
  PermitRelease,
  ProgressSample,
  Tier,
  UpstreamId,
  UpstreamInfo,
  UpstreamState,
} from '@toucanrouter/common';
import {createLeavingRegister} from './LeavingRegister.js';
import {createTargetMargin} from './TargetMargin.js';
import {createTargetMemory} from './TargetMemory.js';
import type {TrackedUpstream} from './TrackedUpstream.js';
import {
  createTrackedUpstream,
  latencyPressure,
  recordCompletion,
  recordDecode,
  recordFirstToken,
} from './TrackedUpstream.js';
import type {Judgement} from './UpstreamComparison.js';
import {judgeUpstream} from './UpstreamComparison.js';
import type {UpstreamTrackerParameters} from './UpstreamTrackerConstants.js';
import {
  defaultUpstreamTrackerParameters,
  judgeIntervalMs,
} from './UpstreamTrackerConstants.js';
import type {TrackedJob} from './UpstreamTrackerJobs.js';
import {
  applyRelease,
  applySample,
  createTrackedJob,
} from './UpstreamTrackerJobs.js';

/** A job that starts on an upstream. */
export interface JobStart {
  readonly permitId: PermitId;
  readonly upstreamId: UpstreamId;
  readonly classId: ClassId;
  readonly tier: Tier;
  readonly target: LatencyTarget;
  readonly promptTokens: number;
}

/** State of the upstreams of one shard. */
export interface UpstreamTracker {
  /** Replaces the list; "leaving" is never reversed for an incarnation. */
  setUpstreams(upstreams: readonly UpstreamInfo[], nowMs: number): void;
  ids(): readonly UpstreamId[];
  state(upstreamId: UpstreamId): UpstreamState;
  /** Why the upstream is in its state, for operators. */
  reason(upstreamId: UpstreamId): string;
  /** Jobs that the upstream may hold before one more of `tier` is refused. */
  limit(upstreamId: UpstreamId, tier: Tier, nowMs: number): number;
  /** Jobs that run on the upstream now. */
  inFlight(upstreamId: UpstreamId): number;
  started(job: JobStart, nowMs: number): void;
  progressed(sample: ProgressSample, nowMs: number): void;
  ended(release: PermitRelease, nowMs: number): void;
  /** Applies what follows from the passage of time. */
  tick(nowMs: number): void;
}

/** Creates a tracker without upstreams. */
export function createUpstreamTracker(
  overrides: Partial<UpstreamTrackerParameters> = {},
): UpstreamTracker {
  const parameters = {...defaultUpstreamTrackerParameters, ...overrides};
  const upstreams = new Map<UpstreamId, TrackedUpstream>();
  const jobs = new Map<PermitId, TrackedJob>();
  const leaving = createLeavingRegister();
  const targets = createTargetMemory(parameters.targetMemoryMs);
  const margin = createTargetMargin();
  let judgedAtMs = -Infinity;

  function setUpstream(info: UpstreamInfo): void {
    leaving.observe(info);
    const known = upstreams.get(info.id);
    // A lagging list may show an incarnation that has been replaced.
    if (known !== undefined && known.info.incarnation > info.incarnation)
      return;
    const isLeaving = leaving.isLeaving(info);
    if (known?.info.incarnation === info.incarnation) {
      known.info = info;
      known.leaving = isLeaving;
      return;
    }
    const upstream = createTrackedUpstream(info, parameters);
    upstream.leaving = isLeaving;
    for (const job of jobs.values()) {
      if (job.start.upstreamId === info.id) upstream.jobs.add(job);
    }
    upstreams.set(info.id, upstream);
  }

  function setUpstreams(infos: readonly UpstreamInfo[]): void {
    const listed = new Set(infos.map(info => info.id));
    for (const id of upstreams.keys()) {
      if (!listed.has(id)) upstreams.delete(id);
    }
    infos.forEach(setUpstream);
  }

  function inService(): TrackedUpstream[] {
    return [...upstreams.values()].filter(upstream => !upstream.leaving);
  }

  function countSuspects(members: readonly TrackedUpstream[]): number {
    return members.filter(member => member.health.state() !== 'healthy').length;
  }

  /** Slowness is relative, so that only a minority can be slow. */
  function slowCap(memberCount: number): number {
    const share = Math.floor(memberCount * parameters.maxSuspectShare);
    return Math.min(memberCount - 1, Math.max(1, share));
  }

  function applyJudgement(
    upstream: TrackedUpstream,
    judgement: Judgement,
    members: readonly TrackedUpstream[],
    nowMs: number,
  ): void {
    const isHealthy = upstream.health.state() === 'healthy';
    const atCap = countSuspects(members) >= slowCap(members.length);
    const verdict = isHealthy && atCap ? 'unknown' : judgement.verdict;
    const changed = upstream.health.judge(verdict, judgement.reason, nowMs);
    if (!changed) return;
    const state = upstream.health.state();
    if (state === 'healthy') upstream.limit.restart();
    // A probe is judged by its own response, not by those from before it.
    if (state === 'probing') upstream.responseMs.reset();
  }

  function adjustLimit(
    upstream: TrackedUpstream,
    targetGapMs: number | undefined,
    nowMs: number,
  ): void {
    // The latency of a straggler says nothing about its limit.
    if (upstream.health.state() !== 'healthy') return;
    const pressure = latencyPressure(upstream, targetGapMs, nowMs);
    upstream.limit.adjust(pressure, upstream.jobs.size, nowMs);
    const gapMs = upstream.rate.evidence(nowMs, undefined)?.gapMs;
    if (gapMs !== undefined) upstream.gapMs.add(gapMs, nowMs);
  }

  function judge(nowMs: number): void {
    judgedAtMs = nowMs;
    const members = inService();
    const healthy = members.filter(
      member => member.health.state() === 'healthy',
    );
    const tightestGapMs = targets.tightestGapMs(nowMs);
    const targetGapMs =
      tightestGapMs === undefined ? undefined : tightestGapMs * margin.factor();
    for (const upstream of members) {
      const others = healthy.filter(other => other !== upstream);
      const judgement = judgeUpstream(upstream, others, parameters, nowMs);
      applyJudgement(upstream, judgement, members, nowMs);
      adjustLimit(upstream, targetGapMs, nowMs);
    }
  }

  function judgeIfDue(nowMs: number): void {
    if (nowMs - judgedAtMs >= judgeIntervalMs) judge(nowMs);
  }

  function recordFailure(upstream: TrackedUpstream, nowMs: number): void {
    upstream.failures += 1;
    const isProbing = upstream.health.state() === 'probing';
    if (!isProbing && upstream.failures < parameters.suspectFailures) return;
    if (upstream.health.state() === 'suspect') return;
    const members = inService();
    const suspects = countSuspects(members);
    if (!isProbing && suspects >= members.length - 1) return;
    const reason = `${upstream.failures} failures in a row`;
    upstream.health.suspect(reason, nowMs);
  }

  function observeMargin(
    upstream: TrackedUpstream,
    job: TrackedJob,
    release: PermitRelease,
    nowMs: number,
  ): void {
    const targetGapMs = job.start.target.tokenGapMs;
    const gapMs = release.tokenGapMs;
    if (targetGapMs === undefined || gapMs === undefined) return;
    // A straggler misses targets whatever its limit is.
    if (upstream.health.state() !== 'healthy') return;
    margin.observe(gapMs > targetGapMs, nowMs);
  }

  function recordSuccess(
    upstream: TrackedUpstream,
    job: TrackedJob,
    release: PermitRelease,
    nowMs: number,
  ): void {
    upstream.failures = 0;
    recordCompletion(upstream, job, release, nowMs);
    observeMargin(upstream, job, release, nowMs);
    upstream.health.addEvidence(parameters.probeEvidenceMs);
  }

  function started(start: JobStart, nowMs: number): void {
    const job = createTrackedJob(start, nowMs);
    jobs.set(start.permitId, job);
    targets.started(start.classId, start.target, nowMs);
    const upstream = upstreams.get(start.upstreamId);
    if (upstream === undefined) return;
    upstream.jobs.add(job);
    if (upstream.health.state() === 'probing') {
      upstream.health.probeStarted(nowMs);
    }
  }

  function progressed(sample: ProgressSample, nowMs: number): void {
    const job = jobs.get(sample.permitId);
    if (job === undefined) return;
    const upstream = upstreams.get(job.start.upstreamId);
    const waited = job.firstTokenMs === undefined;
    const delta = applySample(job, sample, nowMs);
    if (upstream === undefined) return;
    if (waited) recordFirstToken(upstream, job, nowMs);
    recordDecode(upstream, delta, nowMs);
    judgeIfDue(nowMs);
  }

  function ended(release: PermitRelease, nowMs: number): void {
    const job = jobs.get(release.permitId);
    if (job === undefined) return;
    jobs.delete(release.permitId);
    const upstream = upstreams.get(job.start.upstreamId);
    if (upstream === undefined || !upstream.jobs.delete(job)) return;
    const waited = job.firstTokenMs === undefined;
    recordDecode(upstream, applyRelease(job, release, nowMs), nowMs);
    job.firstTokenMs ??= release.firstTokenMs;
    if (waited) recordFirstToken(upstream, job, nowMs);
    if (release.outcome === 'failed') recordFailure(upstream, nowMs);
    if (release.outcome === 'completed') {
      recordSuccess(upstream, job, release, nowMs);
    }
    judgeIfDue(nowMs);
  }

  function state(upstreamId: UpstreamId): UpstreamState {
    const upstream = upstreams.get(upstreamId);
    if (upstream === undefined || upstream.leaving) return 'leaving';
    return upstream.health.state();
  }

  function reason(upstreamId: UpstreamId): string {
    const upstream = upstreams.get(upstreamId);
    if (upstream === undefined) return 'not listed';
    return upstream.leaving ? 'seen leaving' : upstream.health.reason();
  }

  function limit(upstreamId: UpstreamId, tier: Tier, nowMs: number): number {
    const upstream = upstreams.get(upstreamId);
    if (upstream === undefined || upstream.leaving) return 0;
    switch (upstream.health.state()) {
      case 'healthy':
        return upstream.limit.forTier(tier);
      case 'probing':
        return upstream.health.mayProbe(tier, nowMs) ? 1 : 0;
      case 'suspect':
        return 0;
    }
  }

  return {
    setUpstreams,
    ids: () => [...upstreams.keys()],
    state,
    reason,
    limit,
    inFlight: upstreamId => upstreams.get(upstreamId)?.jobs.size ?? 0,
    started,
    progressed,
    ended,
    tick: judge,
  };
}
