/**
 * Finds prompt segments that crash every upstream that starts to answer them,
 * and blocks requests that contain one. Such a segment is in each of several
 * crashes, and no request with it is ever answered to its end. Instances exchange
 * crashes, verdicts and complete responses as data; all times are passed in.
 */
import type {RandomSource} from '@toucanrouter/common';
import {createBoundedMap} from './BoundedMap.js';
import type {RecordedCrash, SegmentEvidence} from './CrashEvidence.js';
import {
  countIncidents,
  createCrashEvidence,
  groupRepresentatives,
} from './CrashEvidence.js';
import type {
  ClearingReason,
  Conviction,
  QuarantineLimits,
  QuarantineReport,
  SegmentHash,
  UpstreamCrash,
  UpstreamStartHash,
} from './PromptQuarantineTypes.js';
import {defaultQuarantineLimits} from './PromptQuarantineTypes.js';

/** Options of a quarantine. */
export interface PromptQuarantineOptions {
  readonly limits?: Partial<QuarantineLimits>;
  readonly random: RandomSource;
  /** A segment was convicted, or convicted again after its verdict ended. */
  readonly onConvicted?: (conviction: Conviction) => void;
  /** A verdict was lifted before it ended. */
  readonly onCleared?: (segment: SegmentHash, reason: ClearingReason) => void;
  /** A verdict ended; requests with the segment pass again. */
  readonly onExpired?: (segment: SegmentHash) => void;
  /** There is something new to report to peers. */
  readonly onNews?: () => void;
}

/** A segment of a request that is blocked. */
export interface BlockedSegment {
  readonly segment: SegmentHash;
  /** Time until requests with the segment may pass. */
  readonly remainingMs: number;
}

/** Blocks requests whose prompt crashes upstreams. */
export interface PromptQuarantine {
  /**
   * Decides whether a request may be sent to an upstream. After the end of a
   * verdict, only one request per probe interval passes.
   */
  tryPass(
    segments: readonly SegmentHash[],
    nowMs: number,
  ): BlockedSegment | undefined;
  /** Returns how long a request is blocked, if it is. */
  blockedMs(
    segments: readonly SegmentHash[],
    nowMs: number,
  ): number | undefined;
  /** Records that a part of a response was received from an upstream. */
  recordAlive(upstream: UpstreamStartHash, nowMs: number): void;
  /** Records that a request was answered to the end of its response. */
  recordAnswer(
    upstream: UpstreamStartHash,
    segments: readonly SegmentHash[],
    nowMs: number,
  ): void;
  /** Records that an upstream ended under requests that ran there. */
  recordCrash(crash: UpstreamCrash, nowMs: number): void;
  /** Returns what peers should know now; undefined if there is nothing. */
  takeReport(nowMs: number): QuarantineReport | undefined;
  /** Receives the report of a peer. */
  receive(report: QuarantineReport, nowMs: number): void;
  /** Returns the number of segments that are blocked now. */
  blockedCount(nowMs: number): number;
  /** Returns the number of crashes that this instance saw itself. */
  crashCount(): number;
}

interface Verdict {
  readonly segment: SegmentHash;
  readonly convictedAtMs: number;
  /** The first crash on which the conviction rests. */
  readonly evidenceAtMs: number;
  readonly blockedUntilMs: number;
  /** Later than that where a peer convicted, so that not all probe at once. */
  readonly passFromMs: number;
  readonly durationMs: number;
  probedAtMs: number;
  expiryReported: boolean;
  nextReportAtMs: number;
}

/** True if segment `a` explains the crashes better than segment `b`. */
function outranks(
  a: SegmentEvidence,
  b: SegmentEvidence,
  separationMs: number,
): boolean {
  if (a.answeredCount !== b.answeredCount) {
    return a.answeredCount < b.answeredCount;
  }
  const incidentsA = countIncidents(a.crashes, separationMs);
  const incidentsB = countIncidents(b.crashes, separationMs);
  if (incidentsA !== incidentsB) return incidentsA > incidentsB;
  // The narrower segment: requests without it also ran in these crashes.
  if (a.requests.size !== b.requests.size) {
    return a.requests.size < b.requests.size;
  }
  return a.position > b.position;
}

/** True if each request with segment `a` in a crash also has segment `b`. */
function alwaysTogether(a: SegmentEvidence, b: SegmentEvidence): boolean {
  return [...a.places].every(place => b.allPlaces.has(place));
}

/** Creates a quarantine without evidence. */
export function createPromptQuarantine(
  options: PromptQuarantineOptions,
): PromptQuarantine {
  const limits = {...defaultQuarantineLimits, ...options.limits};
  const evidence = createCrashEvidence(limits);
  const verdicts = new Map<SegmentHash, Verdict>();
  const crashReportsLeft = new Map<UpstreamStartHash, number>();
  const clearingReportsLeft = new Map<SegmentHash, number>();
  let suspects = new Set<SegmentHash>();
  const vouchedAtMs = createBoundedMap<SegmentHash, number>(
    limits.maxAnsweredCount,
  );
  let ownCrashCount = 0;
  let evaluateAtMs = Infinity;

  function setBounded<Key, Value>(
    map: Map<Key, Value>,
    key: Key,
    value: Value,
    capacity: number,
  ): void {
    map.delete(key);
    map.set(key, value);
    for (const oldest of map.keys()) {
      if (map.size <= capacity) return;
      map.delete(oldest);
    }
  }

  function clear(segment: SegmentHash, reason: ClearingReason): void {
    if (verdicts.delete(segment)) options.onCleared?.(segment, reason);
  }

  function putVerdict(verdict: Verdict): void {
    verdicts.delete(verdict.segment);
    if (verdicts.size >= limits.maxVerdictCount) {
      const soonest = [...verdicts.values()].reduce((a, b) =>
        a.blockedUntilMs <= b.blockedUntilMs ? a : b,
      );
      verdicts.delete(soonest.segment);
    }
    verdicts.set(verdict.segment, verdict);
  }

  function convict(
    against: SegmentEvidence,
    durationMs: number,
    nowMs: number,
  ): void {
    const jitter = 1 + options.random.next() * limits.jitterShare;
    const {crashes, requests, segment} = against;
    const blockedUntilMs =
      nowMs + Math.min(durationMs * jitter, limits.maxBlockedMs);
    putVerdict({
      segment,
      convictedAtMs: nowMs,
      evidenceAtMs: crashes[0]?.atMs ?? nowMs,
      blockedUntilMs,
      passFromMs: blockedUntilMs,
      durationMs,
      probedAtMs: -Infinity,
      expiryReported: false,
      nextReportAtMs: nowMs,
    });
    options.onConvicted?.({
      segment,
      upstreams: crashes.map(({upstream}) => upstream),
      requests: [...requests],
      durationMs,
      evidenceAgeMs: nowMs - (crashes[0]?.atMs ?? nowMs),
      adopted: false,
    });
  }

  /** Returns the crashes that no better explained verdict accounts for. */
  function unexplained(
    against: SegmentEvidence,
    all: ReadonlyMap<SegmentHash, SegmentEvidence>,
  ): readonly RecordedCrash[] {
    const better = [...verdicts.keys()]
      .map(segment => all.get(segment))
      .filter(
        other =>
          other !== undefined &&
          other !== against &&
          outranks(other, against, limits.separationMs),
      );
    return against.crashes.filter(
      crash => !better.some(other => other?.allCrashes.has(crash)),
    );
  }

  /**
   * True if a segment of other requests explains the same crashes as well.
   * Requests that are retried together meet the same crashes for a while, so
   * only a further crash shows which segment is to blame.
   */
  function isAmbiguous(
    against: SegmentEvidence,
    groups: readonly SegmentEvidence[],
  ): boolean {
    return groups.some(
      other =>
        other !== against &&
        other.answeredCount <= against.answeredCount &&
        against.crashes.every(crash => other.crashes.includes(crash)) &&
        !alwaysTogether(against, other) &&
        !alwaysTogether(other, against),
    );
  }

  function shouldConvict(
    against: SegmentEvidence,
    all: ReadonlyMap<SegmentHash, SegmentEvidence>,
    groups: readonly SegmentEvidence[],
    nowMs: number,
  ): boolean {
    const verdict = verdicts.get(against.segment);
    if (verdict !== undefined && nowMs < verdict.blockedUntilMs) return false;
    const crashes = unexplained(against, all);
    if (verdict !== undefined) {
      return crashes.some(({atMs}) => atMs > verdict.blockedUntilMs);
    }
    return (
      against.requests.size >= limits.minRequestCount &&
      countIncidents(
        crashes.filter(({atMs}) => atMs <= nowMs - limits.settleMs),
        limits.separationMs,
      ) >= limits.minIncidentCount &&
      !isAmbiguous(against, groups)
    );
  }

  /** Lifts verdicts whose crashes another verdict explains better. */
  function liftExplained(
    by: SegmentEvidence,
    all: ReadonlyMap<SegmentHash, SegmentEvidence>,
  ): void {
    for (const segment of [...verdicts.keys()]) {
      const other = all.get(segment);
      if (other === undefined || other === by) continue;
      if (
        outranks(by, other, limits.separationMs) &&
        other.crashes.every(crash => by.allCrashes.has(crash))
      ) {
        clear(segment, 'explained_by_other_segment');
      }
    }
  }

  /** Tells peers of suspects that were answered here before the crashes. */
  function vouch(nowMs: number): void {
    let news = false;
    for (const segment of suspects) {
      const answeredAtMs = evidence.answeredAtMs(segment);
      if (answeredAtMs < nowMs - limits.evidenceWindowMs) continue;
      if (answeredAtMs <= (vouchedAtMs.get(segment) ?? -Infinity)) continue;
      vouchedAtMs.set(segment, answeredAtMs);
      reportClearing(segment);
      news = true;
    }
    if (news) options.onNews?.();
  }

  function evaluateIfDue(nowMs: number): void {
    if (nowMs >= evaluateAtMs) evaluate(nowMs);
  }

  function evaluate(nowMs: number): void {
    evaluateAtMs = Infinity;
    const all = evidence.bySegment(nowMs, segment => verdicts.has(segment));
    const groups = groupRepresentatives(all.values());
    for (;;) {
      const guilty = [...all.values()].filter(against =>
        shouldConvict(against, all, groups, nowMs),
      );
      if (guilty.length === 0) break;
      const worst = guilty.reduce((a, b) =>
        outranks(b, a, limits.separationMs) ? b : a,
      );
      const previous = verdicts.get(worst.segment);
      const durationMs =
        previous === undefined
          ? limits.blockedMs
          : Math.min(previous.durationMs * 2, limits.maxBlockedMs);
      convict(worst, durationMs, nowMs);
      liftExplained(worst, all);
    }
    suspects = new Set(
      [...all.values()]
        .filter(
          ({crashes}) =>
            countIncidents(crashes, limits.separationMs) >=
            limits.suspicionIncidentCount,
        )
        .map(({segment}) => segment),
    );
    for (const segment of [...verdicts.keys()]) {
      const against = verdicts.has(segment) ? all.get(segment) : undefined;
      if (against !== undefined) liftExplained(against, all);
    }
    vouch(nowMs);
  }

  /** Evaluates new evidence now, and again once peers have reported. */
  function evidenceAdded(nowMs: number): void {
    evaluate(nowMs);
    evaluateAtMs = nowMs + limits.settleMs;
  }

  function reportClearing(segment: SegmentHash): void {
    setBounded(
      clearingReportsLeft,
      segment,
      limits.reportCount,
      limits.maxClearingCount,
    );
  }

  function forgetOldVerdicts(nowMs: number): void {
    for (const [segment, verdict] of verdicts) {
      const {blockedUntilMs, passFromMs} = verdict;
      if (nowMs < passFromMs) continue;
      if (!verdict.expiryReported) {
        verdict.expiryReported = true;
        options.onExpired?.(segment);
      }
      if (nowMs > blockedUntilMs + limits.maxBlockedMs) {
        verdicts.delete(segment);
      }
    }
  }

  function remainingMs(verdict: Verdict, nowMs: number): number {
    return Math.max(
      verdict.passFromMs - nowMs,
      verdict.probedAtMs + limits.probeIntervalMs - nowMs,
    );
  }

  function blockedSegment(
    segments: readonly SegmentHash[],
    nowMs: number,
  ): BlockedSegment | undefined {
    if (verdicts.size === 0) return undefined;
    let longest: BlockedSegment | undefined;
    for (const segment of segments) {
      const verdict = verdicts.get(segment);
      if (verdict === undefined) continue;
      const blockedMs = remainingMs(verdict, nowMs);
      if (blockedMs > (longest?.remainingMs ?? 0)) {
        longest = {segment, remainingMs: blockedMs};
      }
    }
    return longest;
  }

  function takeCrashes(nowMs: number): QuarantineReport['crashes'] {
    return [...crashReportsLeft]
      .slice(0, limits.maxReportItemCount)
      .flatMap(([upstream, left]) => {
        if (left > 1) crashReportsLeft.set(upstream, left - 1);
        else crashReportsLeft.delete(upstream);
        const crash = evidence.crashOf(upstream);
        if (crash === undefined) return [];
        const requests = [...crash.requests].map(([request, segments]) => ({
          request,
          segments,
        }));
        return [{upstream, ageMs: nowMs - crash.atMs, requests}];
      });
  }

  function takeVerdicts(nowMs: number): QuarantineReport['verdicts'] {
    return [...verdicts.values()]
      .filter(
        ({blockedUntilMs, nextReportAtMs}) =>
          nowMs < blockedUntilMs && nowMs >= nextReportAtMs,
      )
      .slice(0, limits.maxReportItemCount)
      .map(verdict => {
        verdict.nextReportAtMs = nowMs + limits.verdictRepeatMs;
        return {
          segment: verdict.segment,
          ageMs: nowMs - verdict.convictedAtMs,
          evidenceAgeMs: nowMs - verdict.evidenceAtMs,
          remainingMs: verdict.blockedUntilMs - nowMs,
        };
      });
  }

  function takeClearings(nowMs: number): QuarantineReport['clearings'] {
    return [...clearingReportsLeft].map(([segment, left]) => {
      if (left > 1) clearingReportsLeft.set(segment, left - 1);
      else clearingReportsLeft.delete(segment);
      return {segment, ageMs: nowMs - evidence.answeredAtMs(segment)};
    });
  }

  function isAge(ageMs: number): boolean {
    return ageMs >= 0 && ageMs <= limits.evidenceWindowMs;
  }

  function receiveVerdict(
    reported: QuarantineReport['verdicts'][number],
    nowMs: number,
  ): void {
    const {segment} = reported;
    const evidenceAtMs = nowMs - reported.evidenceAgeMs;
    const convictedAtMs = nowMs - reported.ageMs;
    if (!(reported.ageMs >= 0) || !(reported.remainingMs > 0)) return;
    if (!(reported.evidenceAgeMs >= 0)) return;
    if (evidence.answeredAtMs(segment) > evidenceAtMs) {
      reportClearing(segment);
      options.onNews?.();
      return;
    }
    const previous = verdicts.get(segment);
    // A verdict that is passed around ages by the delay of the messages, so
    // only one that is clearly newer replaces the own one.
    if (
      previous !== undefined &&
      convictedAtMs < previous.convictedAtMs + limits.verdictRepeatMs
    ) {
      return;
    }
    const remaining = Math.min(reported.remainingMs, limits.maxBlockedMs);
    const delayMs =
      options.random.next() * limits.jitterShare * limits.blockedMs;
    const durationMs = Math.max(
      limits.blockedMs,
      Math.min(previous === undefined ? 0 : previous.durationMs * 2, remaining),
    );
    putVerdict({
      segment,
      convictedAtMs,
      evidenceAtMs,
      blockedUntilMs: nowMs + remaining,
      passFromMs: nowMs + Math.min(remaining + delayMs, limits.maxBlockedMs),
      durationMs,
      probedAtMs: -Infinity,
      expiryReported: false,
      nextReportAtMs: nowMs + limits.verdictRepeatMs,
    });
    options.onConvicted?.({
      segment,
      upstreams: [],
      requests: [],
      durationMs: remaining,
      evidenceAgeMs: reported.evidenceAgeMs,
      adopted: true,
    });
  }

  function receiveCrashes(
    crashes: QuarantineReport['crashes'],
    nowMs: number,
  ): void {
    let changed = false;
    for (const {ageMs, requests, upstream} of crashes) {
      if (!isAge(ageMs)) continue;
      const crash = {upstream, atMs: nowMs - ageMs, requests};
      changed = evidence.addCrash(crash) || changed;
    }
    if (changed) evidenceAdded(nowMs);
  }

  function receiveClearing(
    {segment, ageMs}: QuarantineReport['clearings'][number],
    nowMs: number,
  ): void {
    if (!isAge(ageMs)) return;
    const atMs = nowMs - ageMs;
    evidence.recordPeerAnswer(segment, atMs);
    suspects.delete(segment);
    const verdict = verdicts.get(segment);
    if (verdict !== undefined && atMs > verdict.evidenceAtMs) {
      clear(segment, 'answered');
    }
  }

  return {
    tryPass: (segments, nowMs) => {
      evaluateIfDue(nowMs);
      const blocked = blockedSegment(segments, nowMs);
      if (blocked !== undefined || verdicts.size === 0) return blocked;
      for (const segment of segments) {
        const verdict = verdicts.get(segment);
        if (verdict !== undefined) verdict.probedAtMs = nowMs;
      }
      return undefined;
    },
    blockedMs: (segments, nowMs) =>
      blockedSegment(segments, nowMs)?.remainingMs,
    recordAlive: evidence.recordAlive,
    recordAnswer: (upstream, segments, nowMs) => {
      evidence.recordAlive(upstream, nowMs);
      evidence.recordAnswer(segments, nowMs);
      let news = false;
      for (const segment of segments) {
        const suspected = suspects.delete(segment);
        if (!suspected && !verdicts.has(segment)) continue;
        clear(segment, 'answered');
        reportClearing(segment);
        news = true;
      }
      if (news) options.onNews?.();
    },
    recordCrash: (crash, nowMs) => {
      const isNew = evidence.crashOf(crash.upstream) === undefined;
      if (!evidence.addCrash(crash)) return;
      if (isNew) ownCrashCount += 1;
      setBounded(
        crashReportsLeft,
        crash.upstream,
        limits.reportCount,
        limits.maxCrashCount,
      );
      evidenceAdded(nowMs);
      options.onNews?.();
    },
    takeReport: nowMs => {
      evaluateIfDue(nowMs);
      forgetOldVerdicts(nowMs);
      const crashes = takeCrashes(nowMs);
      const reportedVerdicts = takeVerdicts(nowMs);
      const clearings = takeClearings(nowMs);
      const itemCount =
        crashes.length + reportedVerdicts.length + clearings.length;
      return itemCount === 0
        ? undefined
        : {crashes, verdicts: reportedVerdicts, clearings};
    },
    receive: (report, nowMs) => {
      const count = limits.maxReportItemCount;
      const {maxClearingCount} = limits;
      for (const clearing of report.clearings.slice(0, maxClearingCount)) {
        receiveClearing(clearing, nowMs);
      }
      for (const verdict of report.verdicts.slice(0, count)) {
        receiveVerdict(verdict, nowMs);
      }
      receiveCrashes(report.crashes.slice(0, count), nowMs);
      if (report.verdicts.length > 0 && evaluateAtMs === Infinity) {
        evaluate(nowMs);
      }
    },
    blockedCount: nowMs =>
      [...verdicts.values()].filter(verdict => nowMs < verdict.blockedUntilMs)
        .length,
    crashCount: () => ownCrashCount,
  };
}
