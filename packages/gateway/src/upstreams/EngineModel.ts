/**
 * Learns how fast the upstreams of one service are from the first events of
 * their responses: a fixed time plus a time for each prompt token that is
 * prefilled. Load pattern: deployments whose engines differ in speed by orders
 * of magnitude. An estimate that is wrong by a factor of two either overloads
 * the engines or refuses requests that they could have served in time.
 *
 * Observations are grouped by the number of prefilled tokens, and each group
 * counts with a low quantile of its latest observations. Requests that queued
 * behind others unnoticed, and engines that are slow for a moment, only raise
 * single observations, so they hardly move the quantile. Observations whose size
 * cannot be true, because no engine is that fast, do not count.
 */

/** The parameters of a model, which instances exchange. */
export interface EngineEstimates {
  /** Time to the first event that does not depend on the prompt. */
  readonly baseMs: number;
  readonly prefillMsPerToken: number;
  /** Observations behind the estimates; 0 for the initial ones. */
  readonly observations: number;
}

/** The first event of a response from an upstream without other waiting work. */
export interface FirstEventObservation {
  /** 0 for a call to a plain service, which has no prompt. */
  readonly prefilledTokens: number;
  readonly observedMs: number;
}

/** Estimates for the upstreams of one service. */
export interface EngineModel {
  /** Time in which an engine prefills this many tokens. */
  prefillMs(tokens: number): number;
  /** Time to the first event, or to a plain response, without a queue. */
  firstEventMs(prefilledTokens: number): number;
  /** Time between the events of a stream on an engine with little load. */
  idleEventGapMs(): number;
  observeFirstEvent(observation: FirstEventObservation): void;
  observeEventGap(gapMs: number): void;
  /** Estimates from this instance's own observations. */
  estimates(): EngineEstimates;
}

/** Options of {@link createEngineModel}. */
export interface EngineModelOptions {
  /** Latest estimates of the peers. */
  readonly peerEstimates?: () => readonly EngineEstimates[];
}

/** Used until there are observations. */
export const initialEstimates: EngineEstimates = {
  baseMs: 60,
  prefillMsPerToken: 0.015,
  observations: 0,
};
const initialEventGapMs = 30;

/** Observations kept for each group of prompt sizes. */
const observationsPerGroup = 24;
/** Groups begin at powers of two; smaller prompts share the first group. */
const minGroupTokens = 256;
/** Quantile of a group's observations that counts. */
const observationQuantile = 0.15;
/** Sizes at which the initial estimates count as observations. */
const initialPromptTokens: readonly number[] = [256, 4_096];
/** Weight of the initial estimates at each size, before any observation. */
const initialWeight = 1.5;
/** Observations after which the initial estimates have their least weight. */
const observationsUntilLearned = 16;
const minInitialWeight = 0.25;
/** Bounds of the prefill time, as a multiple of the initial estimate. */
const maxPrefillFactor = 50;
/** A faster prefill tells that the caller stated a wrong size of its prompt. */
const minPrefillMsPerToken =
  initialEstimates.prefillMsPerToken / maxPrefillFactor;
/** The line is fitted again after this many observations. */
const observationsPerFit = 4;
/** Estimates with fewer observations do not count for the fleet. */
const minSharedObservations = 8;
/** Smoothing of the idle event gap towards shorter and longer gaps. */
const shorterGapSmoothing = 0.05;
const longerGapSmoothing = 0.005;

interface Group {
  readonly observations: FirstEventObservation[];
  next: number;
}

/** A point of the line, with its weight in observations. */
interface Point {
  readonly tokens: number;
  readonly ms: number;
  readonly weight: number;
}

type Line = Pick<EngineEstimates, 'baseMs' | 'prefillMsPerToken'>;

function groupIndexOf(tokens: number): number {
  return Math.max(0, Math.floor(Math.log2(tokens / minGroupTokens)));
}

function quantile(values: readonly number[], share: number): number {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[Math.floor(share * (sorted.length - 1))] ?? 0;
}

function weightedMean(
  points: readonly Point[],
  valueOf: (point: Point) => number,
): number {
  const weight = points.reduce((sum, point) => sum + point.weight, 0);
  return (
    points.reduce((sum, point) => sum + point.weight * valueOf(point), 0) /
    weight
  );
}

function toPoint({observations}: Group): Point {
  const tokens = observations.map(({prefilledTokens}) => prefilledTokens);
  const times = observations.map(({observedMs}) => observedMs);
  return {
    tokens: tokens.reduce((sum, count) => sum + count, 0) / tokens.length,
    ms: quantile(times, observationQuantile),
    weight: observations.length,
  };
}

function evaluate({baseMs, prefillMsPerToken}: Line, tokens: number): number {
  return baseMs + tokens * prefillMsPerToken;
}

/**
 * Returns the initial estimates as points of the line, scaled to the observed
 * level: observations of one prompt size tell nothing about the slope.
 */
function initialPoints(observed: readonly Point[], count: number): Point[] {
  const scale = weightedMean(
    observed,
    ({ms, tokens}) => ms / evaluate(initialEstimates, tokens),
  );
  const weight =
    initialWeight * Math.max(0, 1 - count / observationsUntilLearned);
  return initialPromptTokens.map(tokens => ({
    tokens,
    ms: scale * evaluate(initialEstimates, tokens),
    weight: Math.max(minInitialWeight, weight),
  }));
}

/** Fits a line by least squares; its slope and intercept stay positive. */
function fitLine(points: readonly Point[]): Line {
  const meanTokens = weightedMean(points, ({tokens}) => tokens);
  const meanMs = weightedMean(points, ({ms}) => ms);
  const variance = weightedMean(
    points,
    ({tokens}) => (tokens - meanTokens) ** 2,
  );
  const covariance = weightedMean(
    points,
    ({ms, tokens}) => (tokens - meanTokens) * (ms - meanMs),
  );
  const initialSlope = initialEstimates.prefillMsPerToken;
  const prefillMsPerToken = Math.min(
    Math.max(covariance / variance, minPrefillMsPerToken),
    initialSlope * maxPrefillFactor,
  );
  return {
    baseMs: Math.max(0, meanMs - prefillMsPerToken * meanTokens),
    prefillMsPerToken,
  };
}

function median(
  all: readonly EngineEstimates[],
  valueOf: (estimates: EngineEstimates) => number,
): number {
  return quantile(all.map(valueOf), 0.5);
}

/** Creates a model with the initial estimates. */
export function createEngineModel(
  options: EngineModelOptions = {},
): EngineModel {
  const groups = new Map<number, Group>();
  let own: EngineEstimates = initialEstimates;
  let idleEventGapMs = initialEventGapMs;
  let peersSeen: readonly EngineEstimates[] = [];
  let combined: Line = initialEstimates;

  /** Takes the median over all instances: few observations may mislead one. */
  function combine(): void {
    const learned = [own, ...peersSeen].filter(
      ({observations}) => observations >= minSharedObservations,
    );
    const all = learned.length > 0 ? learned : [own];
    combined = {
      baseMs: median(all, ({baseMs}) => baseMs),
      prefillMsPerToken: median(all, e => e.prefillMsPerToken),
    };
  }

  function currentLine(): Line {
    const peers = options.peerEstimates?.() ?? peersSeen;
    if (peers !== peersSeen) {
      peersSeen = peers;
      combine();
    }
    return combined;
  }

  function fit(count: number): void {
    const observed = [...groups.values()].map(toPoint);
    const line = fitLine([...initialPoints(observed, count), ...observed]);
    own = {...line, observations: count};
    combine();
  }

  let observationCount = 0;
  return {
    prefillMs: tokens => tokens * currentLine().prefillMsPerToken,
    firstEventMs: tokens => evaluate(currentLine(), tokens),
    idleEventGapMs: () => idleEventGapMs,
    observeFirstEvent: observation => {
      const {observedMs, prefilledTokens} = observation;
      if (observedMs < prefilledTokens * minPrefillMsPerToken) return;
      const index = groupIndexOf(prefilledTokens);
      const group = groups.get(index) ?? {observations: [], next: 0};
      groups.set(index, group);
      group.observations[group.next] = observation;
      group.next = (group.next + 1) % observationsPerGroup;
      observationCount += 1;
      if (observationCount % observationsPerFit === 0) fit(observationCount);
    },
    observeEventGap: gapMs => {
      const smoothing =
        gapMs < idleEventGapMs ? shorterGapSmoothing : longerGapSmoothing;
      idleEventGapMs += (gapMs - idleEventGapMs) * smoothing;
    },
    estimates: () => own,
  };
}
