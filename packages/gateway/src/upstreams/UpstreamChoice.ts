/**
 * Chooses the upstream of a request by estimated cost. The cost starts with the
 * time to the first response event, which depends on the prefill work queued
 * there and on the request's uncached prompt tokens. Slowdown, failure rate and
 * the engine pool of the upstream add to it. Load pattern: many requests with
 * long shared prompt prefixes alongside short urgent requests.
 */
import type {UpstreamId} from '@toucanrouter/common';
import type {PeerLoad} from '../peers/LoadReports.js';
import type {WorkKind} from './EnginePools.js';
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
}

/** Prefill speed of an engine. */
const prefillTokensPerMs = 100;
/** Time to the first event on an idle engine. */
const idleFirstEventMs = 75;
/** Duration of a call to an idle plain service. */
const plainServiceCallMs = 60;
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
 * Cost of each step down the ranking of engines for a prompt. When the
 * preferred engine is busy, all instances fall back to the same next engine,
 * even in another failure domain, so the prefix is prefilled there only once.
 * Requests with different rankings do not all move to the engine that the
 * latest load reports showed as idle.
 */
const rankStepCostMs = 30;
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
 * Prefixes of at least this size are cached once in the fleet rather than once
 * in each failure domain.
 */
const minFleetWidePrefixTokens = 1_500;
/** Delay that each running request adds to the first event. */
const runningRequestDelayMs = 1.5;
/** Cost of a failed attempt that can be retried, in target latencies. */
const retryableFailureCostTargets = 3;
/** The same for a request that may run only once and is lost by a failure. */
const finalFailureCostTargets = 12;
/** Cost of an interactive request on an engine of the prompt pool. */
const promptPoolCostMs = 150;
/**
 * Cost of prefilling a prompt of at least one step in the interactive pool, as
 * a multiple of its prefill time: it delays the interactive requests there.
 */
const interactivePoolPrefillFactor = 12;
/** Prefill tokens in one engine step; shorter prompts hardly delay others. */
const promptTokensPerStep = 4_000;
/** Random increase of a cost, so that equal upstreams share the load. */
const maxJitterShare = 0.1;

/** Values of a request that are the same for all candidates of a choice. */
interface RequestTraits {
  /** Undefined for a request without a prompt. */
  readonly kind: WorkKind | undefined;
  readonly promptTokens: number;
  readonly sharedPrefixTokens: number;
  readonly prefixId: string | undefined;
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
  {enginePools}: PlacementInput,
  {kind, promptTokens}: Pick<RequestTraits, 'kind' | 'promptTokens'>,
): number {
  const pool = enginePools.get(entry.id);
  if (kind === undefined || pool === undefined) return 0;
  if (kind === pool) return 0;
  if (kind === 'interactive') return promptPoolCostMs;
  const factor =
    interactivePoolPrefillFactor *
    Math.min(1, promptTokens / promptTokensPerStep);
  return (promptTokens / prefillTokensPerMs) * factor;
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
  const fleetWide = traits.sharedPrefixTokens >= minFleetWidePrefixTokens;
  const groupOf = (candidate: Candidate) => {
    if (poolMismatchCostMs(candidate, placement, traits) > 0) return 2;
    return fleetWide || candidate.entry.failureDomain === failureDomain ? 0 : 1;
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

function traitsOf(
  candidates: readonly Candidate[],
  placement: PlacementInput,
): RequestTraits {
  const {prompt} = placement;
  const traits = {
    kind: prompt && workKindOf(prompt),
    promptTokens: prompt?.promptTokens ?? 0,
    sharedPrefixTokens: prompt === undefined ? 0 : sharedPrefixTokens(prompt),
    prefixId: prompt && placementPrefixId(prompt),
  };
  return {
    ...traits,
    ranks: rankCandidates(candidates, placement, traits),
  };
}

function estimateUncachedTokens(
  {entry}: Candidate,
  {prefixAffinity}: PlacementInput,
  traits: RequestTraits,
  nowMs: number,
): number {
  const isPrefixCached =
    traits.prefixId !== undefined &&
    (traits.ranks.get(entry.id) === 0 ||
      prefixAffinity.sentRecently(traits.prefixId, entry.id, nowMs));
  return isPrefixCached
    ? traits.promptTokens - traits.sharedPrefixTokens
    : traits.promptTokens;
}

/** Cost of the engine's position in the ranking. */
function rankCostMs({entry}: Candidate, {ranks}: RequestTraits): number {
  const steps = Math.min(ranks.get(entry.id) ?? maxRankSteps, maxRankSteps);
  return steps * rankStepCostMs;
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
  const {entry, health, peerLoad} = candidate;
  const running = health.running + peerLoad.running;
  if (!placement.servesModels) {
    const occupancy = running / Math.max(entry.slots, 1);
    return plainServiceCallMs * (1 + 2 * occupancy);
  }
  const waitingTokens =
    health.waitingPromptTokens + peerLoad.waitingPromptTokens;
  const queuedTokens =
    Math.max(0, waitingTokens) *
    (kind === 'interactive' ? interactiveQueueFactor : 1);
  return (
    idleFirstEventMs +
    (queuedTokens + uncachedTokens) / prefillTokensPerMs +
    running * runningRequestDelayMs +
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
  const traits = traitsOf(eligible, placement);
  const failureRates = excessFailureRates(eligible, nowMs);
  const missCostFactor =
    traits.sharedPrefixTokens >= minFleetWidePrefixTokens
      ? longPrefixMissCostFactor
      : prefixMissCostFactor;
  let best: Choice | undefined;
  let lowestCostMs = Infinity;
  for (const candidate of eligible) {
    const {health, entry} = candidate;
    const uncachedTokens = estimateUncachedTokens(
      candidate,
      placement,
      traits,
      nowMs,
    );
    const firstResponseMs = estimateFirstResponseMs(
      candidate,
      placement,
      traits,
      uncachedTokens,
    );
    const missedPrefixTokens =
      uncachedTokens - (traits.promptTokens - traits.sharedPrefixTokens);
    const crossDomain = entry.failureDomain !== placement.failureDomain;
    const costMs =
      firstResponseMs * health.slowdownFactor(nowMs) +
      (missedPrefixTokens * (missCostFactor - 1)) / prefillTokensPerMs +
      rankCostMs(candidate, traits) +
      (crossDomain ? crossDomainCostMs : 0) +
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
      };
    }
  }
  return best;
}
