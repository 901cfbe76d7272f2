/**
 * Evidence on which prompt segment crashes upstreams: the upstreams that ended
 * under requests, and the responses that were completed. An upstream may crash
 * after any number of events, so only a complete response proves that no segment
 * of its prompt crashes upstreams; it voids all earlier crashes.
 */
import {createBoundedMap} from './BoundedMap.js';
import type {
  QuarantineLimits,
  RequestHash,
  SegmentHash,
  UpstreamCrash,
  UpstreamStartHash,
} from './PromptQuarantineTypes.js';

/** A recorded crash; its requests may become known one by one. */
export interface RecordedCrash {
  readonly upstream: UpstreamStartHash;
  atMs: number;
  readonly requests: Map<RequestHash, readonly SegmentHash[]>;
}

/** The evidence against one segment. */
export interface SegmentEvidence {
  readonly segment: SegmentHash;
  /** Crashes since the last complete response, in order of time. */
  readonly crashes: RecordedCrash[];
  readonly requests: Set<RequestHash>;
  /** Position of the segment in a prompt, from 0. */
  readonly position: number;
  /** Recent complete responses with the segment, with half-life decay. */
  readonly answeredCount: number;
}

/** Records crashes and complete responses. */
export interface CrashEvidence {
  /** Adds a crash, or requests to it; returns false if that changed nothing. */
  addCrash(crash: UpstreamCrash): boolean;
  crashOf(upstream: UpstreamStartHash): RecordedCrash | undefined;
  /** Records that this instance received a part of a response. */
  recordAlive(upstream: UpstreamStartHash, nowMs: number): void;
  /** Records a response that this instance received to its end. */
  recordAnswer(segments: readonly SegmentHash[], nowMs: number): void;
  /** Records the time of a complete response at a peer. */
  recordPeerAnswer(segment: SegmentHash, atMs: number): void;
  /** Returns when a response with the segment was last completed. */
  answeredAtMs(segment: SegmentHash): number;
  /** Returns the evidence by segment within the evidence window. */
  bySegment(nowMs: number): ReadonlyMap<SegmentHash, SegmentEvidence>;
}

interface Answers {
  readonly lastAtMs: number;
  readonly count: number;
  readonly countedAtMs: number;
}

const noAnswers: Answers = {
  lastAtMs: -Infinity,
  count: 0,
  countedAtMs: -Infinity,
};

/** Creates evidence without crashes. */
export function createCrashEvidence(limits: QuarantineLimits): CrashEvidence {
  const crashes = createBoundedMap<UpstreamStartHash, RecordedCrash>(
    limits.maxCrashCount,
  );
  let crashList: RecordedCrash[] = [];
  const answers = createBoundedMap<SegmentHash, Answers>(
    limits.maxAnsweredCount,
  );
  const aliveAtMs = createBoundedMap<UpstreamStartHash, number>(
    limits.maxAnsweredCount,
  );

  function decayedCount({count, countedAtMs}: Answers, nowMs: number): number {
    if (count === 0) return 0;
    return count * 0.5 ** ((nowMs - countedAtMs) / limits.answerHalfLifeMs);
  }

  /** Events that were on their way when an upstream ended may be read later. */
  function wasAliveAfter(upstream: UpstreamStartHash, atMs: number): boolean {
    const aliveMs = aliveAtMs.get(upstream) ?? -Infinity;
    return aliveMs > atMs + limits.separationMs;
  }

  function createCrash({upstream, atMs}: UpstreamCrash): RecordedCrash {
    const created: RecordedCrash = {upstream, atMs, requests: new Map()};
    crashes.set(upstream, created);
    crashList = [
      ...crashList.filter(crash => crashes.get(crash.upstream) === crash),
      created,
    ];
    return created;
  }

  return {
    crashOf: crashes.get,
    addCrash: crash => {
      if (wasAliveAfter(crash.upstream, crash.atMs)) return false;
      const recorded = crashes.get(crash.upstream) ?? createCrash(crash);
      const countBefore = recorded.requests.size;
      recorded.atMs = Math.min(recorded.atMs, crash.atMs);
      for (const {request, segments} of crash.requests) {
        if (recorded.requests.size >= limits.maxRequestsPerCrashCount) break;
        if (segments.length === 0 || recorded.requests.has(request)) continue;
        recorded.requests.set(
          request,
          segments.slice(0, limits.maxSegmentCount),
        );
      }
      return recorded.requests.size > countBefore;
    },
    recordAlive: aliveAtMs.set,
    recordAnswer: (segments, nowMs) => {
      for (const segment of segments) {
        const previous = answers.get(segment) ?? noAnswers;
        answers.set(segment, {
          lastAtMs: nowMs,
          count: decayedCount(previous, nowMs) + 1,
          countedAtMs: nowMs,
        });
      }
    },
    recordPeerAnswer: (segment, atMs) => {
      const previous = answers.get(segment) ?? noAnswers;
      if (previous.lastAtMs >= atMs) return;
      answers.set(segment, {
        lastAtMs: atMs,
        count: decayedCount(previous, atMs) + 1,
        countedAtMs: atMs,
      });
    },
    answeredAtMs: segment => (answers.get(segment) ?? noAnswers).lastAtMs,
    bySegment: nowMs => {
      const evidence = new Map<SegmentHash, SegmentEvidence>();
      const recent = crashList
        .filter(crash => crash.atMs > nowMs - limits.evidenceWindowMs)
        .filter(crash => !wasAliveAfter(crash.upstream, crash.atMs))
        .sort((a, b) => a.atMs - b.atMs);
      for (const crash of recent) {
        for (const [request, segments] of crash.requests) {
          segments.forEach((segment, position) => {
            const answered = answers.get(segment) ?? noAnswers;
            if (answered.lastAtMs >= crash.atMs) return;
            const known = evidence.get(segment) ?? {
              segment,
              crashes: [],
              requests: new Set(),
              position,
              answeredCount: decayedCount(answered, nowMs),
            };
            evidence.set(segment, known);
            if (known.crashes.at(-1) !== crash) known.crashes.push(crash);
            known.requests.add(request);
          });
        }
      }
      return evidence;
    },
  };
}

/** Counts crashes, given in order of time; simultaneous ones count once. */
export function countIncidents(
  crashes: readonly RecordedCrash[],
  separationMs: number,
): number {
  let count = 0;
  let incidentStartMs = -Infinity;
  for (const {atMs} of crashes) {
    if (atMs - incidentStartMs < separationMs) continue;
    incidentStartMs = atMs;
    count += 1;
  }
  return count;
}
