/**
 * Evidence on which prompt segment crashes upstreams: the upstreams that ended
 * under requests, and the responses that were completed. An upstream may crash
 * after any number of events, so only a complete response proves that no segment
 * of its prompt crashes upstreams; it voids all earlier crashes.
 */
import {createBoundedMap} from './BoundedMap.js';
import type {
  InterruptedRequest,
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
  /** Number of segments of all requests. */
  segmentCount: number;
}

declare const crashPlaceBrand: unique symbol;
/** One request of one crash. */
export type CrashPlace = number & {readonly [crashPlaceBrand]: true};

/** The evidence against one segment. */
export interface SegmentEvidence {
  readonly segment: SegmentHash;
  /** Crashes since the last complete response, in order of time. */
  readonly crashes: RecordedCrash[];
  readonly requests: Set<RequestHash>;
  /** Requests of `crashes`, each crash with its own, that have the segment. */
  readonly places: Set<CrashPlace>;
  /** The same for all recent crashes, also those before the last response. */
  readonly allPlaces: Set<CrashPlace>;
  readonly allCrashes: Set<RecordedCrash>;
  /** Position of the segment in a prompt, from 0. */
  readonly position: number;
  /** Recent complete responses with the segment, with half-life decay. */
  readonly answeredCount: number;
}

/** Records crashes and complete responses. */
export interface CrashEvidence {
  /**
   * Adds a crash, requests to it, or segments to its requests; returns false if
   * that changed nothing.
   */
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
  /**
   * Returns the evidence within the evidence window, by segment, of segments in
   * several crashes and of those that `isNeeded` selects.
   */
  bySegment(
    nowMs: number,
    isNeeded: (segment: SegmentHash) => boolean,
  ): ReadonlyMap<SegmentHash, SegmentEvidence>;
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
    const created: RecordedCrash = {
      upstream,
      atMs,
      requests: new Map(),
      segmentCount: 0,
    };
    crashes.set(upstream, created);
    crashList = [
      ...crashList.filter(crash => crashes.get(crash.upstream) === crash),
      created,
    ];
    return created;
  }

  /** A report about a long prompt may arrive in parts. */
  function addRequest(
    crash: RecordedCrash,
    {request, segments}: InterruptedRequest,
  ): boolean {
    const known = crash.requests.get(request);
    if (
      known === undefined &&
      crash.requests.size >= limits.maxRequestsPerCrashCount
    ) {
      return false;
    }
    const room = limits.maxSegmentsPerCrashCount - crash.segmentCount;
    const knownSegments = new Set(known);
    const added = segments
      .filter(segment => !knownSegments.has(segment))
      .slice(0, room);
    if (added.length === 0) return false;
    crash.requests.set(request, [...(known ?? []), ...added]);
    crash.segmentCount += added.length;
    return true;
  }

  /** Returns the segments that occur in several of the crashes. */
  function repeatedSegments(
    recent: readonly RecordedCrash[],
  ): ReadonlySet<SegmentHash> {
    const firstCrash = new Map<SegmentHash, RecordedCrash>();
    const repeated = new Set<SegmentHash>();
    for (const crash of recent) {
      for (const segments of crash.requests.values()) {
        for (const segment of segments) {
          const first = firstCrash.get(segment);
          if (first === undefined) firstCrash.set(segment, crash);
          else if (first !== crash) repeated.add(segment);
        }
      }
    }
    return repeated;
  }

  return {
    crashOf: crashes.get,
    addCrash: crash => {
      if (wasAliveAfter(crash.upstream, crash.atMs)) return false;
      const recorded = crashes.get(crash.upstream) ?? createCrash(crash);
      recorded.atMs = Math.min(recorded.atMs, crash.atMs);
      let changed = false;
      for (const request of crash.requests) {
        changed = addRequest(recorded, request) || changed;
      }
      return changed;
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
    bySegment: (nowMs, isNeeded) => {
      const evidence = new Map<SegmentHash, SegmentEvidence>();
      const recent = crashList
        .filter(crash => crash.atMs > nowMs - limits.evidenceWindowMs)
        .filter(crash => !wasAliveAfter(crash.upstream, crash.atMs))
        .sort((a, b) => a.atMs - b.atMs);
      const repeated = repeatedSegments(recent);
      let placeCount = 0;
      for (const crash of recent) {
        for (const [request, segments] of crash.requests) {
          const place = placeCount++ as CrashPlace;
          segments.forEach((segment, position) => {
            if (!repeated.has(segment) && !isNeeded(segment)) return;
            const answered = answers.get(segment) ?? noAnswers;
            const known = evidence.get(segment) ?? {
              segment,
              crashes: [],
              requests: new Set(),
              places: new Set(),
              allPlaces: new Set(),
              allCrashes: new Set(),
              position,
              answeredCount: decayedCount(answered, nowMs),
            };
            evidence.set(segment, known);
            known.allPlaces.add(place);
            known.allCrashes.add(crash);
            if (answered.lastAtMs >= crash.atMs) return;
            known.places.add(place);
            if (known.crashes.at(-1) !== crash) known.crashes.push(crash);
            known.requests.add(request);
          });
        }
      }
      for (const [segment, {crashes}] of evidence) {
        if (crashes.length === 0) evidence.delete(segment);
      }
      return evidence;
    },
  };
}

/**
 * Returns one segment for each group that occurs in the same requests, the one
 * with the fewest responses. Prompts may have hundreds of segments.
 */
export function groupRepresentatives(
  all: Iterable<SegmentEvidence>,
): readonly SegmentEvidence[] {
  const groups = new Map<string, SegmentEvidence>();
  for (const evidence of all) {
    const places = [...evidence.allPlaces].join();
    const group = `${places} ${evidence.crashes.length}`;
    const known = groups.get(group);
    if (known === undefined || evidence.answeredCount < known.answeredCount) {
      groups.set(group, evidence);
    }
  }
  return [...groups.values()];
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
