/**
 * Keeps requests away from upstreams that their prompt would crash. It tells the
 * quarantine what happens to requests with a prompt, and logs its verdicts.
 */
import type {Clock, RandomSource} from '@toucanrouter/common';
import type {Logger} from '@toucanrouter/logging';
import type {
  Conviction,
  QuarantineReport,
  SegmentHash,
} from '@toucanrouter/policy';
import {
  createBoundedMap,
  createCrashDetector,
  createPromptQuarantine,
  requestHashOf,
  segmentHashOf,
  upstreamStartHashOf,
} from '@toucanrouter/policy';
import type {StoredVerdict} from '../state/StateStore.js';
import type {Prompt} from '../upstreams/Prompt.js';
import {sharedSegments} from '../upstreams/Prompt.js';
import type {UpstreamEntry} from '../upstreams/UpstreamEntry.js';
import type {ProbeResult} from '../upstreams/UpstreamProbe.js';
import type {AttemptResult} from './Attempt.js';

/** Options of a guard. */
export interface PromptGuardOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: RandomSource;
  readonly probe: (entry: UpstreamEntry) => Promise<ProbeResult>;
  /** Returns whether this process of the upstream still takes new work. */
  readonly isUsable: (entry: UpstreamEntry) => boolean;
  /** There is something new to report to peers. */
  readonly onNews: () => void;
  /** This instance has found a segment that crashes upstreams. */
  readonly onConvicted: (conviction: Conviction) => void;
  /** A verdict was lifted before its end. */
  readonly onCleared: (segment: SegmentHash) => void;
}

/** A request that must not be sent. */
export interface BlockedPrompt {
  readonly segmentId: string;
  /** Time until requests with the segment may be sent again. */
  readonly remainingMs: number;
}

/** Observes one attempt of a request. */
export interface GuardedAttempt {
  /** Records a part of a successful response. */
  partReceived(): void;
  /** Records an end that the upstream brought about. */
  ended(result: AttemptResult): void;
}

/** Guards the attempts of one request. */
export interface GuardedRequest {
  /** Returns why the next attempt must not be made, or undefined. */
  tryPass(): BlockedPrompt | undefined;
  startAttempt(entry: UpstreamEntry): GuardedAttempt;
}

/** Guards the requests of an instance. */
export interface PromptGuard {
  guard(requestId: string, prompt: Prompt | undefined): GuardedRequest;
  /** Returns what peers should know now; undefined if there is nothing. */
  takeReport(): QuarantineReport | undefined;
  receiveReport(report: QuarantineReport): void;
  /** Adopts a verdict that was kept in the store, if it is not known. */
  adopt(verdict: StoredVerdict): void;
  /** Returns the number of segments that are blocked now. */
  blockedCount(): number;
  /** Returns the number of upstreams that ended under requests. */
  crashCount(): number;
  close(): void;
}

/** Bounds the ids that are kept to name hashes in the log. */
const maxNameCount = 1_024;
const hexRadix = 16;
const hashHexLength = 8;

type SuccessfulResult = Extract<AttemptResult, {kind: 'answered' | 'streamed'}>;

function isSuccess(result: AttemptResult): result is SuccessfulResult {
  if (result.kind === 'streamed') return true;
  if (result.kind !== 'answered') return false;
  const {status} = result.response;
  return status >= 200 && status < 300;
}

const unguarded: GuardedRequest = {
  tryPass: () => undefined,
  startAttempt: () => ({
    partReceived: () => undefined,
    ended: () => undefined,
  }),
};

/** Creates a guard that blocks nothing yet. */
export function createPromptGuard(options: PromptGuardOptions): PromptGuard {
  const {clock, logger} = options;
  const names = createBoundedMap<number, string>(maxNameCount);

  const nameOf = (hash: number) =>
    names.get(hash) ?? hash.toString(hexRadix).padStart(hashHexLength, '0');

  function logConviction(conviction: Conviction): void {
    logger.warn('prompt segment quarantined', {
      segment: nameOf(conviction.segment),
      upstreams: conviction.upstreams.map(nameOf),
      requests: conviction.requests.map(nameOf),
      blockedMs: Math.round(conviction.durationMs),
      reportedByPeer: conviction.adopted,
    });
  }

  const quarantine = createPromptQuarantine({
    random: options.random,
    onConvicted: conviction => {
      logConviction(conviction);
      if (!conviction.adopted) options.onConvicted(conviction);
    },
    onCleared: (segment, reason) => {
      logger.info('prompt segment cleared', {segment: nameOf(segment), reason});
      options.onCleared(segment);
    },
    onExpired: segment =>
      logger.info('prompt segment is no longer quarantined', {
        segment: nameOf(segment),
      }),
    onNews: options.onNews,
  });
  const detector = createCrashDetector({
    clock,
    startHashOf: ({id, startedAtMs}: UpstreamEntry) =>
      upstreamStartHashOf(id, startedAtMs),
    hasEnded: async entry => (await options.probe(entry)) === 'refused',
    isUsable: options.isUsable,
    onCrash: crash => {
      logger.info('upstream ended under requests', {
        upstream: nameOf(crash.upstream),
        requests: crash.requests.map(({request}) => nameOf(request)),
      });
      quarantine.recordCrash(crash, clock.nowMs());
    },
  });

  function createGuardedRequest(
    requestId: string,
    ids: readonly string[],
  ): GuardedRequest {
    const segments: readonly SegmentHash[] = ids.map(segmentHashOf);
    function startAttempt(entry: UpstreamEntry): GuardedAttempt {
      const upstream = upstreamStartHashOf(entry.id, entry.startedAtMs);

      function recordAnswer(): void {
        quarantine.recordAnswer(upstream, segments, clock.nowMs());
      }

      function recordConnectionEnd(onSurvived?: () => void): void {
        const request = requestHashOf(requestId);
        names.set(request, requestId);
        names.set(upstream, entry.id);
        ids.forEach((id, index) => names.set(segments[index] ?? 0, id));
        detector.connectionEnded(entry, {request, segments}, crashed => {
          if (!crashed) onSurvived?.();
        });
      }

      return {
        partReceived: () => quarantine.recordAlive(upstream, clock.nowMs()),
        ended: result => {
          if (result.kind === 'broken') recordConnectionEnd();
          else if (!isSuccess(result)) return;
          // The end of the connection ends such a response, also in a crash.
          else if (result.endedByClose) recordConnectionEnd(recordAnswer);
          else recordAnswer();
        },
      };
    }

    return {
      tryPass: () => {
        const blocked = quarantine.tryPass(segments, clock.nowMs());
        if (blocked === undefined) return undefined;
        const {remainingMs, segment} = blocked;
        const segmentId = ids[segments.indexOf(segment)] ?? nameOf(segment);
        return {segmentId, remainingMs};
      },
      startAttempt,
    };
  }

  return {
    guard: (requestId, prompt) => {
      const ids =
        prompt === undefined ? [] : sharedSegments(prompt).map(({id}) => id);
      return ids.length === 0
        ? unguarded
        : createGuardedRequest(requestId, ids);
    },
    takeReport: () => quarantine.takeReport(clock.nowMs()),
    receiveReport: report => quarantine.receive(report, clock.nowMs()),
    adopt: ({durationMs, evidenceAgeMs, segment}) => {
      const nowMs = clock.nowMs();
      if (quarantine.blockedMs([segment], nowMs) !== undefined) return;
      const verdict = {
        segment,
        ageMs: 0,
        evidenceAgeMs,
        remainingMs: durationMs,
      };
      const report = {crashes: [], verdicts: [verdict], clearings: []};
      quarantine.receive(report, nowMs);
    },
    blockedCount: () => quarantine.blockedCount(clock.nowMs()),
    crashCount: quarantine.crashCount,
    close: detector.close,
  };
}
