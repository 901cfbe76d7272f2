/**
 * What this instance has seen of one upstream: the work it has in flight
 * there, how fast it answers, and how often its answers fail. Judgements come
 * from requests only, since health checks and load reports may be wrong.
 */
import {decayFactor} from './HalfLifeDecay.js';

/** Work that is in flight at an upstream. */
export interface WorkInFlight {
  /** Prompt tokens to read until the first event. */
  readonly promptTokens: number;
}

/** What happened to a request at an upstream. */
export type UpstreamOutcome =
  | 'failed'
  | 'refused'
  | 'served'
  /** Given up for silence: the upstream hangs, or it has too much work. */
  | 'silent'
  | 'unreachable';

/** Recent outcomes at an upstream; older ones count less. */
export interface RecentOutcomes {
  /** Requests that failed, or could not be sent. */
  readonly failed: number;
  readonly served: number;
}

/** The condition of one upstream, as this instance knows it. */
export interface UpstreamHealth {
  requestStarted(work: WorkInFlight): void;
  /** The first event or the whole plain answer arrived. */
  firstResponse(
    work: WorkInFlight,
    observedMs: number,
    expectedMs: number,
  ): void;
  /** The request left the upstream; `answered` tells if `firstAnswer` came. */
  requestEnded(work: WorkInFlight, responded: boolean): void;
  recordOutcome(outcome: UpstreamOutcome, nowMs: number): void;
  /** Whole events arrived this long after the ones before them. */
  recordEventGap(gapMs: number, nowMs: number): void;
  /** Usual time between the events of a stream. */
  averageEventGapMs(nowMs: number): number;
  readonly running: number;
  readonly waitingPromptTokens: number;
  /** Observed times relative to expected ones; 1 is as expected. */
  slowdownFactor(nowMs: number): number;
  /** What this instance saw of the upstream recently. */
  recentOutcomes(nowMs: number): RecentOutcomes;
  /** True while the upstream gets no work except when there is no other. */
  isEjected(nowMs: number): boolean;
}

/** Weight of the newest observation in the averages. */
const smoothingFactor = 0.2;
/** Old judgements fade, so that a recovered upstream is tried again. */
const decayHalfLifeMs = 3_000;
/** Many events arrive at once from all streams of an upstream. */
const eventGapSmoothingFactor = 0.06;
/** Time between events of an engine with little work, from the sheets. */
const idleEventGapMs = 30;
/** Bounds of a single observation of slowness. */
const minSlowdownFactor = 0.5;
const maxSlowdownFactor = 12;
/** First pause after an upstream could not be reached; doubles each time. */
const initialEjectionMs = 400;
const maxEjectionMs = 3_200;
/** Refusals follow bursts that pass quickly. */
const refusalEjectionMs = 150;
/** Failures in a row after which an upstream is avoided. */
const minConsecutiveFailures = 3;

/** An average that fades towards a resting value. */
interface DecayingAverage {
  observe(value: number, nowMs: number): void;
  value(nowMs: number): number;
}

function createDecayingAverage(
  baseline: number,
  smoothing = smoothingFactor,
): DecayingAverage {
  let current = baseline;
  let updatedAtMs = 0;
  const value = (nowMs: number) => {
    const remainingShare = decayFactor(nowMs - updatedAtMs, decayHalfLifeMs);
    return baseline + (current - baseline) * remainingShare;
  };
  return {
    value,
    observe: (observed, nowMs) => {
      const previous = value(nowMs);
      current = previous + (observed - previous) * smoothing;
      updatedAtMs = nowMs;
    },
  };
}

/** A count in which older events weigh less. */
interface DecayingCount {
  add(nowMs: number): void;
  value(nowMs: number): number;
}

function createDecayingCount(): DecayingCount {
  let count = 0;
  let updatedAtMs = 0;
  const value = (nowMs: number) =>
    count * decayFactor(nowMs - updatedAtMs, decayHalfLifeMs);
  return {
    value,
    add: nowMs => {
      count = value(nowMs) + 1;
      updatedAtMs = nowMs;
    },
  };
}

/** Creates the condition of an upstream that has not been used yet. */
export function createUpstreamHealth(nowMs: () => number): UpstreamHealth {
  const slowdown = createDecayingAverage(1);
  const failed = createDecayingCount();
  const served = createDecayingCount();
  const eventGaps = createDecayingAverage(
    idleEventGapMs,
    eventGapSmoothingFactor,
  );
  let running = 0;
  let waitingPromptTokens = 0;
  let ejectedUntilMs = -Infinity;
  let consecutiveUnreachable = 0;
  let consecutiveFailures = 0;

  function eject(previousEjections: number, nowMs: number): void {
    const ejectionMs = initialEjectionMs * 2 ** Math.min(previousEjections, 8);
    ejectedUntilMs = nowMs + Math.min(ejectionMs, maxEjectionMs);
  }

  return {
    get running() {
      return running;
    },
    get waitingPromptTokens() {
      return waitingPromptTokens;
    },
    requestStarted: work => {
      running += 1;
      waitingPromptTokens += work.promptTokens;
    },
    firstResponse: (work, observedMs, expectedMs) => {
      waitingPromptTokens -= work.promptTokens;
      const ratio = observedMs / Math.max(expectedMs, 1);
      const bounded = Math.min(
        Math.max(ratio, minSlowdownFactor),
        maxSlowdownFactor,
      );
      slowdown.observe(bounded, nowMs());
    },
    requestEnded: (work, responded) => {
      running -= 1;
      if (!responded) waitingPromptTokens -= work.promptTokens;
    },
    recordOutcome: (outcome, nowMs) => {
      if (outcome === 'unreachable') {
        failed.add(nowMs);
        eject(consecutiveUnreachable, nowMs);
        consecutiveUnreachable += 1;
        return;
      }
      consecutiveUnreachable = 0;
      if (outcome === 'refused') {
        ejectedUntilMs = Math.max(ejectedUntilMs, nowMs + refusalEjectionMs);
        return;
      }
      if (outcome === 'failed') failed.add(nowMs);
      else if (outcome === 'served') served.add(nowMs);
      consecutiveFailures = outcome === 'served' ? 0 : consecutiveFailures + 1;
      if (consecutiveFailures >= minConsecutiveFailures) {
        eject(consecutiveFailures - minConsecutiveFailures, nowMs);
      } else if (outcome === 'served') {
        ejectedUntilMs = -Infinity;
      }
    },
    recordEventGap: eventGaps.observe,
    averageEventGapMs: eventGaps.value,
    slowdownFactor: slowdown.value,
    recentOutcomes: nowMs => ({
      failed: failed.value(nowMs),
      served: served.value(nowMs),
    }),
    isEjected: nowMs => nowMs < ejectedUntilMs,
  };
}
