/**
 * Tracks the upstreams of one shard by what entry instances report about their
 * jobs: adjusts the concurrency limit of each upstream and detects stragglers.
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
import {createRecentTargets} from './RecentTargets.js';
import {createTargetMargin} from './TargetMargin.js';
import type {TrackedUpstream} from './TrackedUpstream.js';
import {
  createTrackedUpstream,
  latencyPressure,
  recordCompletion,
  recordDecode,
  recordFirstToken,
} from './TrackedUpstream.js';
import type {UpstreamAssessment} from './UpstreamComparison.js';
import {assessUpstream} from './UpstreamComparison.js';
import type {UpstreamTrackerParameters} from './UpstreamTrackerConstants.js';
import {
  assessmentIntervalMs,
  defaultUpstreamTrackerParameters,
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
  /** Replaces the list. An incarnation that was leaving remains leaving. */
  setUpstreams(upstreams: readonly UpstreamInfo[], nowMs: number): void;
  ids(): readonly UpstreamId[];
  state(upstreamId: UpstreamId): UpstreamState;
  /** Reason for the state of the upstream, shown to operators. */
  reason(upstreamId: UpstreamId): string;
  /** Jobs at which the upstream accepts no further job of `tier`. */
  limit(upstreamId: UpstreamId, tier: Tier, nowMs: number): number;
  /** Jobs that are running on the upstream. */
  inFlight(upstreamId: UpstreamId): number;
  started(job: JobStart, nowMs: number): void;
  progressed(sample: ProgressSample, nowMs: number): void;
  ended(release: PermitRelease, nowMs: number): void;
  /** Assesses all upstreams at the given time. */
  tick(nowMs: number): void;
}

/** Creates a tracker without upstreams. */
export function createUpstreamTracker(
  overrides: Partial<UpstreamTrackerParameters> = {},
): UpstreamTracker {
  const parameters = {...defaultUpstreamTrackerParameters, ...overrides};
  const upstreams = new Map<UpstreamId, TrackedUpstream>();
  const jobs = new Map<PermitId, TrackedJob>();
  const leavingRegister = createLeavingRegister();
  const recentTargets = createRecentTargets(parameters.targetRetentionMs);
  const margin = createTargetMargin();
  let assessedAtMs = -Infinity;

  function setUpstream(info: UpstreamInfo): void {
    leavingRegister.observe(info);
    const known = upstreams.get(info.id);
    // A lagging list may contain an incarnation that has been replaced.
    if (known !== undefined && known.info.incarnation > info.incarnation)
      return;
    const isLeaving = leavingRegister.isLeaving(info);
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

  function activeUpstreams(): TrackedUpstream[] {
    return [...upstreams.values()].filter(upstream => !upstream.leaving);
  }

  function countUnhealthy(members: readonly TrackedUpstream[]): number {
    return members.filter(member => member.health.state() !== 'healthy').length;
  }

  /**
   * Returns how many upstreams may be unhealthy at once. A straggler is defined
   * relative to the others, so only a minority can be stragglers.
   */
  function maxUnhealthy(memberCount: number): number {
    const share = Math.floor(memberCount * parameters.maxSuspectShare);
    return Math.min(memberCount - 1, Math.max(1, share));
  }

  function applyAssessment(
    upstream: TrackedUpstream,
    assessment: UpstreamAssessment,
    members: readonly TrackedUpstream[],
    nowMs: number,
  ): void {
    const isHealthy = upstream.health.state() === 'healthy';
    const atCap = countUnhealthy(members) >= maxUnhealthy(members.length);
    const verdict = isHealthy && atCap ? 'unknown' : assessment.verdict;
    const changed = upstream.health.applyVerdict(
      verdict,
      assessment.reason,
      nowMs,
    );
    if (!changed) return;
    const state = upstream.health.state();
    if (state === 'healthy') upstream.limit.restart();
    // A probe is assessed by its own response time, not by earlier ones.
    if (state === 'probing') upstream.responseMs.reset();
  }

  function adjustLimit(
    upstream: TrackedUpstream,
    targetGapMs: number | undefined,
    nowMs: number,
  ): void {
    // The latency of a straggler does not show which limit it can sustain.
    if (upstream.health.state() !== 'healthy') return;
    const pressure = latencyPressure(upstream, targetGapMs, nowMs);
    upstream.limit.adjust(pressure, upstream.jobs.size, nowMs);
    const gapMs = upstream.rate.measure(nowMs, undefined)?.gapMs;
    if (gapMs !== undefined) upstream.gapMs.add(gapMs, nowMs);
  }

  function assessAll(nowMs: number): void {
    assessedAtMs = nowMs;
    const members = activeUpstreams();
    const healthy = members.filter(
      member => member.health.state() === 'healthy',
    );
    const tightestGapMs = recentTargets.tightestGapMs(nowMs);
    const targetGapMs =
      tightestGapMs === undefined ? undefined : tightestGapMs * margin.factor();
    for (const upstream of members) {
      const others = healthy.filter(other => other !== upstream);
      const assessment = assessUpstream(upstream, others, parameters, nowMs);
      applyAssessment(upstream, assessment, members, nowMs);
      adjustLimit(upstream, targetGapMs, nowMs);
    }
  }

  function assessIfDue(nowMs: number): void {
    if (nowMs - assessedAtMs >= assessmentIntervalMs) assessAll(nowMs);
  }

  function recordFailure(upstream: TrackedUpstream, nowMs: number): void {
    upstream.failures += 1;
    const isProbing = upstream.health.state() === 'probing';
    if (!isProbing && upstream.failures < parameters.suspectFailures) return;
    if (upstream.health.state() === 'suspect') return;
    const members = activeUpstreams();
    const unhealthy = countUnhealthy(members);
    if (!isProbing && unhealthy >= members.length - 1) return;
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
    // A straggler misses its targets at any limit.
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
    upstream.health.addProbeSuccess(parameters.requiredProbeSuccessMs);
  }

  function started(start: JobStart, nowMs: number): void {
    const job = createTrackedJob(start, nowMs);
    jobs.set(start.permitId, job);
    recentTargets.recordStart(start.classId, start.target, nowMs);
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
    const awaitedFirstToken = job.firstTokenMs === undefined;
    const delta = applySample(job, sample, nowMs);
    if (upstream === undefined) return;
    if (awaitedFirstToken) recordFirstToken(upstream, job, nowMs);
    recordDecode(upstream, delta, nowMs);
    assessIfDue(nowMs);
  }

  function ended(release: PermitRelease, nowMs: number): void {
    const job = jobs.get(release.permitId);
    if (job === undefined) return;
    jobs.delete(release.permitId);
    const upstream = upstreams.get(job.start.upstreamId);
    if (upstream === undefined || !upstream.jobs.delete(job)) return;
    const awaitedFirstToken = job.firstTokenMs === undefined;
    recordDecode(upstream, applyRelease(job, release, nowMs), nowMs);
    job.firstTokenMs ??= release.firstTokenMs;
    if (awaitedFirstToken) recordFirstToken(upstream, job, nowMs);
    if (release.outcome === 'failed') recordFailure(upstream, nowMs);
    if (release.outcome === 'completed') {
      recordSuccess(upstream, job, release, nowMs);
    }
    assessIfDue(nowMs);
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
    tick: assessAll,
  };
}
