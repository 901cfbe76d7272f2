/**
 * What this instance has seen of one upstream: the work it has in flight
 * there, how fast it answers, and how often its answers fail. Judgements come
 * from requests only, since health checks and load reports may be wrong.
 */
import {keptShare} from './Fading.js';

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
export interface UpstreamCondition {
  started(work: WorkInFlight): void;
  /** The first event or the whole plain answer arrived. */
  firstAnswer(work: WorkInFlight, observedMs: number, expectedMs: number): void;
  /** The request left the upstream; `answered` tells if `firstAnswer` came. */
  ended(work: WorkInFlight, answered: boolean): void;
  outcome(outcome: UpstreamOutcome, nowMs: number): void;
  /** Whole events arrived this long after the ones before them. */
  eventGap(gapMs: number, nowMs: number): void;
  /** Usual time between the events of a stream. */
  meanGapMs(nowMs: number): number;
  readonly running: number;
  readonly waitingPromptTokens: number;
  /** Observed times relative to expected ones; 1 is as expected. */
  slowness(nowMs: number): number;
  /** What this instance saw of the upstream recently. */
  outcomes(nowMs: number): RecentOutcomes;
  /** True while the upstream gets no work except when there is no other. */
  avoided(nowMs: number): boolean;
}

/** Weight of the newest observation in the averages. */
const averageWeight = 0.2;
/** Old judgements fade, so that a recovered upstream is tried again. */
const fadeHalfLifeMs = 3_000;
/** Many events arrive at once from all streams of an upstream. */
const gapWeight = 0.06;
/** Time between events of an engine with little work, from the sheets. */
const idleGapMs = 30;
/** Bounds of a single observation of slowness. */
const minSlowness = 0.5;
const maxSlowness = 12;
/** First pause after an upstream could not be reached; doubles each time. */
const firstAvoidanceMs = 400;
const maxAvoidanceMs = 3_200;
/** Refusals follow bursts that pass quickly. */
const refusalPauseMs = 150;
/** Failures in a row after which an upstream is avoided. */
const failuresBeforeAvoidance = 3;

/** An average that fades towards a resting value. */
interface FadingAverage {
  observe(value: number, nowMs: number): void;
  value(nowMs: number): number;
}

function createFadingAverage(
  resting: number,
  weight = averageWeight,
): FadingAverage {
  let current = resting;
  let atMs = 0;
  const value = (nowMs: number) => {
    const kept = keptShare(nowMs - atMs, fadeHalfLifeMs);
    return resting + (current - resting) * kept;
  };
  return {
    value,
    observe: (observed, nowMs) => {
      const before = value(nowMs);
      current = before + (observed - before) * weight;
      atMs = nowMs;
    },
  };
}

/** A count in which older events weigh less. */
interface FadingCount {
  add(nowMs: number): void;
  value(nowMs: number): number;
}

function createFadingCount(): FadingCount {
  let count = 0;
  let atMs = 0;
  const value = (nowMs: number) =>
    count * keptShare(nowMs - atMs, fadeHalfLifeMs);
  return {
    value,
    add: nowMs => {
      count = value(nowMs) + 1;
      atMs = nowMs;
    },
  };
}

/** Creates the condition of an upstream that has not been used yet. */
export function createUpstreamCondition(now: () => number): UpstreamCondition {
  const slowness = createFadingAverage(1);
  const failed = createFadingCount();
  const served = createFadingCount();
  const gaps = createFadingAverage(idleGapMs, gapWeight);
  let running = 0;
  let waitingPromptTokens = 0;
  let avoidedUntilMs = -Infinity;
  let unreachableInRow = 0;
  let failuresInRow = 0;

  function avoidFor(inRow: number, nowMs: number): void {
    const pauseMs = firstAvoidanceMs * 2 ** Math.min(inRow, 8);
    avoidedUntilMs = nowMs + Math.min(pauseMs, maxAvoidanceMs);
  }

  return {
    get running() {
      return running;
    },
    get waitingPromptTokens() {
      return waitingPromptTokens;
    },
    started: work => {
      running += 1;
      waitingPromptTokens += work.promptTokens;
    },
    firstAnswer: (work, observedMs, expectedMs) => {
      waitingPromptTokens -= work.promptTokens;
      const ratio = observedMs / Math.max(expectedMs, 1);
      const bounded = Math.min(Math.max(ratio, minSlowness), maxSlowness);
      slowness.observe(bounded, now());
    },
    ended: (work, answered) => {
      running -= 1;
      if (!answered) waitingPromptTokens -= work.promptTokens;
    },
    outcome: (outcome, nowMs) => {
      if (outcome === 'unreachable') {
        failed.add(nowMs);
        avoidFor(unreachableInRow, nowMs);
        unreachableInRow += 1;
        return;
      }
      unreachableInRow = 0;
      if (outcome === 'refused') {
        avoidedUntilMs = Math.max(avoidedUntilMs, nowMs + refusalPauseMs);
        return;
      }
      if (outcome === 'failed') failed.add(nowMs);
      else if (outcome === 'served') served.add(nowMs);
      failuresInRow = outcome === 'served' ? 0 : failuresInRow + 1;
      if (failuresInRow >= failuresBeforeAvoidance) {
        avoidFor(failuresInRow - failuresBeforeAvoidance, nowMs);
      } else if (outcome === 'served') {
        avoidedUntilMs = -Infinity;
      }
    },
    eventGap: gaps.observe,
    meanGapMs: gaps.value,
    slowness: slowness.value,
    outcomes: nowMs => ({
      failed: failed.value(nowMs),
      served: served.value(nowMs),
    }),
    avoided: nowMs => nowMs < avoidedUntilMs,
  };
}
