/**
 * Chooses the upstream of a request by estimated cost. The cost starts with the
 * time to the first response event, which depends on the prefill work queued
 * there and on the request's uncached prompt tokens. Slowdown, failure rate and
 * the engine pool of the upstream add to it. Load pattern: many requests with
 * long shared prompt prefixes alongside short urgent requests.
 */
import type {UpstreamId} from '@toucanrouter/common';
import type {WorkKind} from '@toucanrouter/policy';
import type {PeerLoad} from '../peers/LoadReports.js';
import type {EngineModel} from './EngineModel.js';
import {workKindOf} from './EnginePools.js';
import type {Prompt} from './Prompt.js';
import {sharedPrefixTokens} from './Prompt.js';
import type {PrefixAffinity} from './PrefixAffinity.js';
import {placementPrefixId} from './PrefixAffinity.js';
import {excessFailureRates} from './FailureRates.js';
import type {UpstreamHealth} from './UpstreamHealth.js';
import type {UpstreamEntry} from './UpstreamEntry.js';

/** An upstream that can be chosen, with what is known of its load. */
export interface Candidate {
  readonly entry: UpstreamEntry;
  readonly health: UpstreamHealth;
  /** Load that peers reported for this upstream. */
  readonly peerLoad: PeerLoad;
}

/** The properties of a request, and the state, that a choice depends on. */
export interface PlacementInput {
  readonly prompt: Prompt | undefined;
  /** True when the candidates are model engines. */
  readonly servesModels: boolean;
  readonly targetLatencyMs: number;
  /** True when a failed attempt may be retried on another upstream. */
  readonly retryable: boolean;
  readonly failureDomain: string;
  readonly prefixAffinity: PrefixAffinity;
  /** Learned speed of the upstreams. */
  readonly engineModel: EngineModel;
  /** Average time that a response occupies a slot of an engine. */
  readonly averageResponseMs: number;
  /** The pool of each engine; empty when engines are not split into pools. */
  readonly enginePools: ReadonlyMap<UpstreamId, WorkKind>;
  /** Returns a random number from 0 to 1, which breaks ties. */
  readonly tieBreak: () => number;
}

/** The chosen upstream and the estimates for the request there. */
export interface Choice {
  readonly candidate: Candidate;
  /** Estimated time to the first response event at normal speed. */
  readonly expectedMs: number;
  /** Prompt tokens that are probably not in the upstream's prefix cache. */
  readonly uncachedPromptTokens: number;
  /** Position in the ranking for the prompt prefix, from 0; -1 if not ranked. */
  readonly preferenceRank: number;
  /**
   * True if the time to the first response shows the speed of the upstream: the
   * request is not expected to queue, and its uncached tokens are known well.
   */
  readonly isUnqueued: boolean;
}

/**
 * Cost of a prefix-cache miss, as a multiple of the prefill time of the missing
 * tokens. The extra prefill delays all other requests on that engine, because
 * their tokens are generated in the same steps.
 */
const prefixMissCostFactor = 6;
/**
 * The same for long shared prefixes, which also take cache memory from others.
 * Waiting about one target latency at the preferred upstream costs less.
 */
const longPrefixMissCostFactor = 25;
/**
 * Cost of each step down the ranking of engines for a prompt, in target
 * latencies. When the preferred engine is busy, all instances fall back to the
 * same next engine, even in another failure domain, so the prefix is prefilled
 * there only once. Requests with different rankings do not all move to the
 * engine that the latest load reports showed as idle.
 */
const rankStepCostTargets = 0.02;
/** Upper bound of the rank cost, in steps. */
const maxRankSteps = 10;
/** Cost of transferring a request to another failure domain. */
const crossDomainCostMs = 25;
/** Queued prefill also widens the event gaps of an interactive request. */
const interactiveQueueFactor = 3;
/**
 * Cost of each millisecond of the average event gap. A chat has many events and
 * short gaps, and a slow engine delays all of them.
 */
const eventGapCostFactor: Readonly<Record<WorkKind, number>> = {
  interactive: 3,
  prompt: 1,
};
/**
 * Prefixes that take at least this time to prefill are cached once in the fleet
 * rather than once in each failure domain, and reported to peers.
 */
const minFleetWidePrefillMs = 15;
/** Cost of each running request, in target latencies. */
const runningRequestCostTargets = 0.015;
/** Cost of a failed attempt that can be retried, in target latencies. */
const retryableFailureCostTargets = 3;
/** The same for a request that may run only once and is lost by a failure. */
const finalFailureCostTargets = 12;
/**
 * Cost of an interactive request on an engine of the prompt pool, in target
 * latencies.
 */
const promptPoolCostTargets = 0.4;
/**
 * Cost of prefilling a long prompt in the interactive pool, as a multiple of
 * its prefill time: it delays the interactive requests there.
 */
const interactivePoolPrefillFactor = 12;
/** Shorter prefill hardly delays the streams on an engine. */
const noticeablePrefillMs = 40;
/** Share of the slots up to which requests are not expected to queue. */
const maxUnqueuedSlotShare = 0.25;
/** Share of a prompt up to which it matters little whether it is cached. */
const maxUncertainPromptShare = 0.3;
/** Random increase of a cost, so that equal upstreams share the load. */
const maxJitterShare = 0.1;

/** Values of a request that are the same for all candidates of a choice. */
interface RequestTraits {
  /** Undefined for a request without a prompt. */
  readonly kind: WorkKind | undefined;
  readonly promptTokens: number;
  readonly sharedPrefixTokens: number;
  readonly prefixId: string | undefined;
  /** True for a prefix that is cached once in the fleet. */
  readonly hasFleetWidePrefix: boolean;
  /** True if an instance recently sent the prefix to the engine. */
  readonly sentRecently: (upstream: UpstreamId) => boolean;
  /** Position of each engine in the order of preference, from 0. */
  readonly ranks: ReadonlyMap<UpstreamId, number>;
}

/** Cost of the average event gap on the engine. */
function eventGapCostMs(
  {health}: Candidate,
  {kind}: RequestTraits,
  nowMs: number,
): number {
  return kind === undefined
    ? 0
    : health.averageEventGapMs(nowMs) * eventGapCostFactor[kind];
}

/** Cost of placing a request in the pool for the other kind of work. */
function poolMismatchCostMs(
  {entry}: Candidate,
  {engineModel, enginePools, targetLatencyMs}: PlacementInput,
  {kind, promptTokens}: Pick<RequestTraits, 'kind' | 'promptTokens'>,
): number {
  const pool = enginePools.get(entry.id);
  if (kind === undefined || pool === undefined) return 0;
  if (kind === pool) return 0;
  if (kind === 'interactive') return promptPoolCostTargets * targetLatencyMs;
  const prefillMs = engineModel.prefillMs(promptTokens);
  const noticeableShare = Math.min(1, prefillMs / noticeablePrefillMs);
  return prefillMs * interactivePoolPrefillFactor * noticeableShare;
}

/**
 * Ranks the engines. Engines in the pool of the request come before others.
 * For short prefixes, engines in the instance's own failure domain come before
 * those in other failure domains.
 */
function rankCandidates(
  candidates: readonly Candidate[],
  placement: PlacementInput,
  traits: Omit<RequestTraits, 'ranks'>,
): ReadonlyMap<UpstreamId, number> {
  const {failureDomain, prefixAffinity, tieBreak} = placement;
  const groupOf = (candidate: Candidate) => {
    if (poolMismatchCostMs(candidate, placement, traits) > 0) return 2;
    const isNear = candidate.entry.failureDomain === failureDomain;
    return traits.hasFleetWidePrefix || isNear ? 0 : 1;
  };
  const groups = new Map(
    candidates.map(candidate => [candidate.entry.id, groupOf(candidate)]),
  );
  const groupById = (id: UpstreamId) => groups.get(id) ?? 0;
  // A request without a prompt prefix gets a random ranking.
  const key = traits.prefixId ?? String(tieBreak());
  const ranked = prefixAffinity
    .rankUpstreams(key, [...groups.keys()])
    .toSorted((a, b) => groupById(a) - groupById(b));
  return new Map(ranked.map((id, place) => [id, place]));
}

/** True for a prompt whose prefix is cached once in the fleet. */
export function hasFleetWidePrefix(
  prompt: Prompt,
  engineModel: EngineModel,
): boolean {
  const prefillMs = engineModel.prefillMs(sharedPrefixTokens(prompt));
  return prefillMs >= minFleetWidePrefillMs;
}

function traitsOf(
  candidates: readonly Candidate[],
  placement: PlacementInput,
  nowMs: number,
): RequestTraits {
  const {engineModel, prefixAffinity, prompt} = placement;
  const prefixId = prompt && placementPrefixId(prompt);
  const traits = {
    kind: prompt && workKindOf(prompt),
    promptTokens: prompt?.promptTokens ?? 0,
    sharedPrefixTokens: prompt === undefined ? 0 : sharedPrefixTokens(prompt),
    prefixId,
    hasFleetWidePrefix:
      prompt !== undefined && hasFleetWidePrefix(prompt, engineModel),
    sentRecently:
      prefixId === undefined
        ? () => false
        : prefixAffinity.sentRecently(prefixId, nowMs),
  };
  return {
    ...traits,
    ranks: rankCandidates(candidates, placement, traits),
  };
}

/**
 * Peers do not report short prefixes, so those count as cached by the preferred
 * engine.
 */
function estimateUncachedTokens(
  {entry}: Candidate,
  traits: RequestTraits,
): number {
  const isPreferred = traits.ranks.get(entry.id) === 0;
  const isPrefixCached =
    traits.prefixId !== undefined &&
    ((isPreferred && !traits.hasFleetWidePrefix) ||
      traits.sentRecently(entry.id));
  return isPrefixCached
    ? traits.promptTokens - traits.sharedPrefixTokens
    : traits.promptTokens;
}

/**
 * A prefix that is cached once in the fleet has one ranking for all failure
 * domains, so where a request comes from does not count.
 */
function domainCostMs(
  {entry}: Candidate,
  {failureDomain}: PlacementInput,
  traits: RequestTraits,
): number {
  const isNear = entry.failureDomain === failureDomain;
  return isNear || traits.hasFleetWidePrefix ? 0 : crossDomainCostMs;
}

/** Spreads requests over engines without a queue. */
function runningCostMs(
  candidate: Candidate,
  {servesModels, targetLatencyMs}: PlacementInput,
): number {
  return servesModels
    ? runningAt(candidate) * runningRequestCostTargets * targetLatencyMs
    : 0;
}

/** Cost of the engine's position in the ranking. */
function rankCostMs(
  {entry}: Candidate,
  {targetLatencyMs}: PlacementInput,
  {ranks}: RequestTraits,
): number {
  const steps = Math.min(ranks.get(entry.id) ?? maxRankSteps, maxRankSteps);
  return steps * rankStepCostTargets * targetLatencyMs;
}

function runningAt({health, peerLoad}: Candidate): number {
  return health.running + peerLoad.running;
}

function waitingTokensAt({health, peerLoad}: Candidate): number {
  return Math.max(0, health.waitingPromptTokens + peerLoad.waitingPromptTokens);
}

function isUnqueued(candidate: Candidate, traits: RequestTraits): boolean {
  const {promptTokens, sharedPrefixTokens: uncertainTokens} = traits;
  const {entry} = candidate;
  return (
    waitingTokensAt(candidate) === 0 &&
    runningAt(candidate) < entry.slots * maxUnqueuedSlotShare &&
    (uncertainTokens <= promptTokens * maxUncertainPromptShare ||
      traits.sentRecently(entry.id))
  );
}

/**
 * Estimates the wait for a slot when all slots are occupied. Load pattern: long
 * responses on engines with few slots, where slots run out long before prefill
 * takes all of an engine's time.
 */
function slotWaitMs(
  {entry}: Candidate,
  {averageResponseMs}: PlacementInput,
  running: number,
): number {
  const slots = Math.max(entry.slots, 1);
  const queuedRequests = Math.max(0, running + 1 - slots);
  return (queuedRequests * averageResponseMs) / slots;
}

function estimateFirstResponseMs(
  candidate: Candidate,
  placement: PlacementInput,
  {kind}: RequestTraits,
  uncachedTokens: number,
): number {
  const {engineModel} = placement;
  const running = runningAt(candidate);
  if (!placement.servesModels) {
    const occupancy = running / Math.max(candidate.entry.slots, 1);
    return engineModel.firstEventMs(0) * (1 + 2 * occupancy);
  }
  const queuedTokens =
    waitingTokensAt(candidate) *
    (kind === 'interactive' ? interactiveQueueFactor : 1);
  return (
    engineModel.firstEventMs(queuedTokens + uncachedTokens) +
    slotWaitMs(candidate, placement, running)
  );
}

/** Chooses among `candidates`; undefined when there is none. */
export function chooseUpstream(
  candidates: readonly Candidate[],
  placement: PlacementInput,
  nowMs: number,
): Choice | undefined {
  const healthy = candidates.filter(({health}) => !health.isEjected(nowMs));
  const eligible = healthy.length > 0 ? healthy : candidates;
  const traits = traitsOf(eligible, placement, nowMs);
  const failureRates = excessFailureRates(eligible, nowMs);
  const missCostFactor = traits.hasFleetWidePrefix
    ? longPrefixMissCostFactor
    : prefixMissCostFactor;
  let best: Choice | undefined;
  let lowestCostMs = Infinity;
  for (const candidate of eligible) {
    const {health, entry} = candidate;
    const uncachedTokens = estimateUncachedTokens(candidate, traits);
    const firstResponseMs = estimateFirstResponseMs(
      candidate,
      placement,
      traits,
      uncachedTokens,
    );
    const missedPrefixTokens =
      uncachedTokens - (traits.promptTokens - traits.sharedPrefixTokens);
    const costMs =
      firstResponseMs * health.slowdownFactor(nowMs) +
      placement.engineModel.prefillMs(missedPrefixTokens) *
        (missCostFactor - 1) +
      runningCostMs(candidate, placement) +
      rankCostMs(candidate, placement, traits) +
      domainCostMs(candidate, placement, traits) +
      poolMismatchCostMs(candidate, placement, traits) +
      eventGapCostMs(candidate, traits, nowMs) +
      (failureRates.get(candidate) ?? 0) *
        (placement.retryable
          ? retryableFailureCostTargets
          : finalFailureCostTargets) *
        placement.targetLatencyMs;
    const jitteredCostMs = costMs * (1 + maxJitterShare * placement.tieBreak());
    if (jitteredCostMs < lowestCostMs) {
      lowestCostMs = jitteredCostMs;
      best = {
        candidate,
        expectedMs: firstResponseMs,
        uncachedPromptTokens: uncachedTokens,
        preferenceRank: traits.ranks.get(entry.id) ?? -1,
        isUnqueued: isUnqueued(candidate, traits),
      };
    }
  }
  return best;
}
