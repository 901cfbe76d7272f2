/**
 * Passive health tracking of one upstream: the instance's work in flight there,
 * response times, and recent outcomes. Only requests count, since health checks
 * and load reports may be wrong.
 */
import {decayFactor} from './HalfLifeDecay.js';

/** Work that is in flight at an upstream. */
export interface WorkInFlight {
  /** Uncached prompt tokens to prefill before the first event. */
  readonly promptTokens: number;
}

/** The outcome of a request on an upstream. */
export type UpstreamOutcome =
  | 'failed'
  | 'refused'
  | 'served'
  /** Cancelled after an idle timeout: the upstream hangs or is overloaded. */
  | 'silent'
  | 'unreachable';

/** Recent outcomes on an upstream, with half-life decay. */
export interface RecentOutcomes {
  /** Requests that failed, or could not be sent. */
  readonly failed: number;
  readonly served: number;
}

/** The health of one upstream as this instance observes it. */
export interface UpstreamHealth {
  requestStarted(work: WorkInFlight): void;
  /** Records that the first event, or a complete plain response, arrived. */
  recordFirstResponse(
    work: WorkInFlight,
    observedMs: number,
    expectedMs: number,
  ): void;
  /** Records the end of a request; `responded` if it got a first response. */
  requestEnded(work: WorkInFlight, responded: boolean): void;
  recordOutcome(outcome: UpstreamOutcome, nowMs: number): void;
  /** Records the time between complete events that arrived one after another. */
  recordEventGap(gapMs: number, nowMs: number): void;
  /** Recent average time between the events of a stream. */
  averageEventGapMs(nowMs: number): number;
  readonly running: number;
  readonly waitingPromptTokens: number;
  /** Average ratio of observed to expected response times. */
  slowdownFactor(nowMs: number): number;
  recentOutcomes(nowMs: number): RecentOutcomes;
  /** True while the upstream is used only if all upstreams are ejected. */
  isEjected(nowMs: number): boolean;
}

/** Weight of the latest observation in an average. */
const smoothingFactor = 0.2;
/** Old observations decay, so that a recovered upstream is tried again. */
const decayHalfLifeMs = 3_000;
/** Lower than the default, because all streams contribute many gaps. */
const eventGapSmoothingFactor = 0.06;
/** Bounds of a single observation of the slowdown factor. */
const minSlowdownFactor = 0.5;
const maxSlowdownFactor = 12;
/** Duration of the first ejection; doubles with each further failure. */
const initialEjectionMs = 400;
const maxEjectionMs = 3_200;
/** Shorter than for failures, because refusals come from short bursts. */
const refusalEjectionMs = 150;
/** Consecutive failures after which an upstream is ejected. */
const failuresBeforeEjection = 3;

/** A moving average that decays towards a baseline without observations. */
interface DecayingAverage {
  observe(value: number, nowMs: number): void;
  value(nowMs: number): number;
}

function createDecayingAverage(
  baseline: () => number,
  smoothing = smoothingFactor,
): DecayingAverage {
  let current = baseline();
  let updatedAtMs = 0;
  const value = (nowMs: number) => {
    const remainingShare = decayFactor(nowMs - updatedAtMs, decayHalfLifeMs);
    return baseline() + (current - baseline()) * remainingShare;
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

/** A count of events with half-life decay. */
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

/**
 * Creates the health of an upstream without observations. The average event gap
 * decays towards `idleEventGapMs`, that of an engine with little load.
 */
export function createUpstreamHealth(
  clockNowMs: () => number,
  idleEventGapMs: () => number,
): UpstreamHealth {
  const slowdown = createDecayingAverage(() => 1);
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
    recordFirstResponse: (work, observedMs, expectedMs) => {
      waitingPromptTokens -= work.promptTokens;
      const ratio = observedMs / Math.max(expectedMs, 1);
      const bounded = Math.min(
        Math.max(ratio, minSlowdownFactor),
        maxSlowdownFactor,
      );
      slowdown.observe(bounded, clockNowMs());
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
      if (consecutiveFailures >= failuresBeforeEjection) {
        eject(consecutiveFailures - failuresBeforeEjection, nowMs);
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
