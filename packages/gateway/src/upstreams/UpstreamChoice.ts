/**
 * Chooses the upstream of a request by the time until its first answer there:
 * prompts that wait ahead of it, tokens of its own that the upstream does not
 * hold, how slow the upstream is, and how often it fails. Load pattern: many
 * requests that share long parts of their prompts, beside short urgent ones.
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

/** An upstream with its condition. */
export interface Candidate {
  readonly entry: UpstreamEntry;
  readonly health: UpstreamHealth;
  /** What other instances have in flight there. */
  readonly peerLoad: PeerLoad;
}

/** What is placed. */
export interface PlacementInput {
  readonly prompt: Prompt | undefined;
  /** True when the candidates are model engines. */
  readonly servesModels: boolean;
  readonly targetLatencyMs: number;
  /** True when a failed attempt may be followed by another. */
  readonly retryable: boolean;
  readonly failureDomain: string;
  readonly prefixAffinity: PrefixAffinity;
  /** Usual time that an answer occupies a slot of an engine. */
  readonly averageResponseMs: number;
  /** The work that each engine is meant for; empty without division. */
  readonly enginePools: ReadonlyMap<UpstreamId, WorkKind>;
  /** Breaks ties; from 0 to 1. */
  readonly tieBreak: () => number;
}

/** The chosen upstream, with what is expected of it. */
export interface Choice {
  readonly candidate: Candidate;
  /** Time to the first answer in an ordinary case, for the comparison. */
  readonly expectedMs: number;
  /** Prompt tokens that the upstream probably has to read. */
  readonly uncachedPromptTokens: number;
  /** Place in the ranking of the prompt's shared part, from 0; -1 for none. */
  readonly preferenceRank: number;
}

/** Prompt tokens that an engine reads in a millisecond, from the sheets. */
const prefillTokensPerMs = 100;
/** Time to a first event on an idle engine, seen on calm days. */
const idleFirstEventMs = 75;
/** Time of an ordinary plain call, from the sheets. */
const plainServiceCallMs = 60;
/**
 * Cost of reading a shared token again, in times of reading it once. It delays
 * everyone else at that engine, whose tokens are produced in the same steps.
 */
const prefixMissCostFactor = 6;
/**
 * The same for long shared parts, which also take much memory from others:
 * waiting about one target latency at the part's home is better.
 */
const longPrefixMissCostFactor = 25;
/**
 * Cost of each step down the ranking of the engines of a prompt. All instances
 * leave a busy home for the same next engine, where the part is then read once,
 * even if it lies in another failure domain. Requests of different rankings do
 * not all go to the engine that the last load reports showed to be idle.
 */
const rankStepCostMs = 30;
/** Engines further down the ranking cost no more than this many steps. */
const maxRankSteps = 10;
/** Cost of the bytes of a request between failure domains. */
const crossDomainCostMs = 25;
/** Prompts that are still to be read also stretch the pauses of a chat. */
const interactiveQueueFactor = 3;
/**
 * What a millisecond between events at an engine costs a request: a chat has
 * many events and short pauses, and a slow engine makes all of them late.
 */
const eventGapCostFactor: Readonly<Record<WorkKind, number>> = {
  interactive: 3,
  prompt: 1,
};
/** Tokens for which one copy in the whole fleet is better than one a domain. */
const minFleetWidePrefixTokens = 1_500;
/** Delay that each running request adds to the steps of an engine. */
const runningRequestDelayMs = 1.5;
/** What a failure costs the caller, in target latencies, if it is repeated. */
const retryableFailureCostTargets = 3;
/** The same for a request that may run once, and is lost by a failure. */
const finalFailureCostTargets = 12;
/** What an interactive request bears at an engine that is meant for prompts. */
const promptPoolCostMs = 150;
/**
 * What interactive requests bear while an engine that is meant for them reads a
 * prompt of at least one step, in times of reading it.
 */
const interactivePoolPrefillFactor = 12;
/** Prompt tokens that an engine reads in one step; fewer hardly delay others. */
const promptTokensPerStep = 4_000;
/** Random share of the cost, so that equal upstreams share the load. */
const maxJitterShare = 0.1;

/** What is the same for all engines in one choice. */
interface RequestTraits {
  /** Undefined for a call to a plain service. */
  readonly kind: WorkKind | undefined;
  readonly promptTokens: number;
  readonly sharedPrefixTokens: number;
  readonly prefixId: string | undefined;
  /** Place of each engine in the order of preference; 0 is the part's home. */
  readonly ranks: ReadonlyMap<UpstreamId, number>;
}

/** Cost of the time between events at the engine. */
function eventGapCostMs(
  {health}: Candidate,
  {kind}: RequestTraits,
  nowMs: number,
): number {
  return kind === undefined
    ? 0
    : health.averageEventGapMs(nowMs) * eventGapCostFactor[kind];
}

/** Cost of the engine's being meant for other work. */
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
 * Ranks the engines: those meant for the request before others, and for short
 * parts those of the own failure domain before far ones.
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
  // What shares nothing has a ranking of its own.
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

/** Cost of the engine's place in the ranking of the prompt. */
function rankCostMs({entry}: Candidate, {ranks}: RequestTraits): number {
  const steps = Math.min(ranks.get(entry.id) ?? maxRankSteps, maxRankSteps);
  return steps * rankStepCostMs;
}

/**
 * Time until one of the slots is free, when all are taken. Load pattern: long
 * answers on engines with few slots, where requests wait for a slot long
 * before reading prompts takes all of an engine's time.
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
