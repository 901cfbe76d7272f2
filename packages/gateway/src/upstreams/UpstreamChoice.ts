/**
 * Chooses the upstream of a request by the time until its first answer there:
 * prompts that wait ahead of it, tokens of its own that the upstream does not
 * hold, how slow the upstream is, and how often it fails. Load pattern: many
 * requests that share long parts of their prompts, beside short urgent ones.
 */
import type {UpstreamId} from '@toucanrouter/common';
import type {OthersLoad} from '../peers/LoadReports.js';
import type {WorkKind} from './EngineDivision.js';
import {workKindOf} from './EngineDivision.js';
import type {Prompt} from './Prompt.js';
import {sharedTokens} from './Prompt.js';
import type {PromptHomes} from './PromptHomes.js';
import {placementPart} from './PromptHomes.js';
import {failureShares} from './FailureShare.js';
import type {UpstreamCondition} from './UpstreamCondition.js';
import type {UpstreamEntry} from './UpstreamEntry.js';

/** An upstream with its condition. */
export interface Candidate {
  readonly entry: UpstreamEntry;
  readonly condition: UpstreamCondition;
  /** What other instances have in flight there. */
  readonly others: OthersLoad;
}

/** What is placed. */
export interface Placement {
  readonly prompt: Prompt | undefined;
  /** True when the candidates are model engines. */
  readonly servesModels: boolean;
  readonly targetLatencyMs: number;
  /** True when a failed attempt may be followed by another. */
  readonly repeatable: boolean;
  readonly failureDomain: string;
  readonly homes: PromptHomes;
  /** Usual time that an answer occupies a slot of an engine. */
  readonly usualAnswerMs: number;
  /** The work that each engine is meant for; empty without division. */
  readonly division: ReadonlyMap<UpstreamId, WorkKind>;
  /** Breaks ties; from 0 to 1. */
  readonly tieBreak: () => number;
}

/** The chosen upstream, with what is expected of it. */
export interface Choice {
  readonly candidate: Candidate;
  /** Time to the first answer in an ordinary case, for the comparison. */
  readonly expectedMs: number;
  /** Prompt tokens that the upstream probably has to read. */
  readonly tokensToRead: number;
  /** Place in the ranking of the prompt's shared part, from 0; -1 for none. */
  readonly homeRank: number;
}

/** Prompt tokens that an engine reads in a millisecond, from the sheets. */
const promptTokensPerMs = 100;
/** Time to a first event on an idle engine, seen on calm days. */
const idleFirstEventMs = 75;
/** Time of an ordinary plain call, from the sheets. */
const plainCallMs = 60;
/**
 * Cost of reading a shared token again, in times of reading it once. It delays
 * everyone else at that engine, whose tokens are produced in the same steps.
 */
const repeatedReadFactor = 6;
/**
 * The same for long shared parts, which also take much memory from others:
 * waiting about one target latency at the part's home is better.
 */
const repeatedLongReadFactor = 25;
/**
 * Cost of each step down the ranking of the engines of a prompt. All instances
 * leave a busy home for the same next engine, where the part is then read once,
 * even if it lies in another failure domain. Requests of different rankings do
 * not all go to the engine that the last load reports showed to be idle.
 */
const rankStepMs = 30;
/** Engines further down the ranking cost no more than this many steps. */
const maxRankSteps = 10;
/** Cost of the bytes of a request between failure domains. */
const crossDomainMs = 25;
/** Prompts that are still to be read also stretch the pauses of a chat. */
const pauseFactor = 3;
/**
 * What a millisecond between events at an engine costs a request: a chat has
 * many events and short pauses, and a slow engine makes all of them late.
 */
const eventGapCost: Readonly<Record<WorkKind, number>> = {
  interactive: 3,
  prompt: 1,
};
/** Tokens for which one copy in the whole fleet is better than one a domain. */
const fleetWideShareTokens = 1_500;
/** Delay that each running request adds to the steps of an engine. */
const runningRequestMs = 1.5;
/** What a failure costs the caller, in target latencies, if it is repeated. */
const repeatedFailureTargets = 3;
/** The same for a request that may run once, and is lost by a failure. */
const finalFailureTargets = 12;
/** What an interactive request bears at an engine that is meant for prompts. */
const amongPromptsMs = 150;
/**
 * What interactive requests bear while an engine that is meant for them reads a
 * prompt of at least one step, in times of reading it.
 */
const promptHarmFactor = 12;
/** Prompt tokens that an engine reads in one step; fewer hardly delay others. */
const tokensPerStep = 4_000;
/** Random share of the cost, so that equal upstreams share the load. */
const tieShare = 0.1;

/** What is the same for all engines in one choice. */
interface Terms {
  /** Undefined for a call to a plain service. */
  readonly kind: WorkKind | undefined;
  readonly promptTokens: number;
  readonly sharedTokens: number;
  readonly part: string | undefined;
  /** Place of each engine in the order of preference; 0 is the part's home. */
  readonly ranks: ReadonlyMap<UpstreamId, number>;
}

/** Cost of the time between events at the engine. */
function gapMs({condition}: Candidate, {kind}: Terms, nowMs: number): number {
  return kind === undefined
    ? 0
    : condition.meanGapMs(nowMs) * eventGapCost[kind];
}

/** Cost of the engine's being meant for other work. */
function divisionMs(
  {entry}: Candidate,
  {division}: Placement,
  {kind, promptTokens}: Pick<Terms, 'kind' | 'promptTokens'>,
): number {
  const meantFor = division.get(entry.id);
  if (kind === undefined || meantFor === undefined) return 0;
  if (kind === meantFor) return 0;
  if (kind === 'interactive') return amongPromptsMs;
  const harm = promptHarmFactor * Math.min(1, promptTokens / tokensPerStep);
  return (promptTokens / promptTokensPerMs) * harm;
}

/**
 * Ranks the engines: those meant for the request before others, and for short
 * parts those of the own failure domain before far ones.
 */
function ranksOf(
  candidates: readonly Candidate[],
  placement: Placement,
  terms: Omit<Terms, 'ranks'>,
): ReadonlyMap<UpstreamId, number> {
  const {failureDomain, homes, tieBreak} = placement;
  const wide = terms.sharedTokens >= fleetWideShareTokens;
  const groupOf = (candidate: Candidate) => {
    if (divisionMs(candidate, placement, terms) > 0) return 2;
    return wide || candidate.entry.failureDomain === failureDomain ? 0 : 1;
  };
  const groups = new Map(
    candidates.map(candidate => [candidate.entry.id, groupOf(candidate)]),
  );
  const group = (id: UpstreamId) => groups.get(id) ?? 0;
  // What shares nothing has a ranking of its own.
  const key = terms.part ?? String(tieBreak());
  const ranked = homes
    .rank(key, [...groups.keys()])
    .toSorted((a, b) => group(a) - group(b));
  return new Map(ranked.map((id, place) => [id, place]));
}

function termsOf(
  candidates: readonly Candidate[],
  placement: Placement,
): Terms {
  const {prompt} = placement;
  const terms = {
    kind: prompt && workKindOf(prompt),
    promptTokens: prompt?.promptTokens ?? 0,
    sharedTokens: prompt === undefined ? 0 : sharedTokens(prompt),
    part: prompt && placementPart(prompt),
  };
  return {...terms, ranks: ranksOf(candidates, placement, terms)};
}

function tokensToRead(
  {entry}: Candidate,
  {homes}: Placement,
  terms: Terms,
  nowMs: number,
): number {
  const holdsShared =
    terms.part !== undefined &&
    (terms.ranks.get(entry.id) === 0 ||
      homes.sentRecently(terms.part, entry.id, nowMs));
  return holdsShared
    ? terms.promptTokens - terms.sharedTokens
    : terms.promptTokens;
}

/** Cost of the engine's place in the ranking of the prompt. */
function rankMs({entry}: Candidate, {ranks}: Terms): number {
  const steps = Math.min(ranks.get(entry.id) ?? maxRankSteps, maxRankSteps);
  return steps * rankStepMs;
}

/**
 * Time until one of the slots is free, when all are taken. Load pattern: long
 * answers on engines with few slots, where requests wait for a slot long
 * before reading prompts takes all of an engine's time.
 */
function slotWaitMs(
  {entry}: Candidate,
  {usualAnswerMs}: Placement,
  running: number,
): number {
  const slots = Math.max(entry.slots, 1);
  const waiting = Math.max(0, running + 1 - slots);
  return (waiting * usualAnswerMs) / slots;
}

function expectedMs(
  candidate: Candidate,
  placement: Placement,
  {kind}: Terms,
  read: number,
): number {
  const {entry, condition, others} = candidate;
  const running = condition.running + others.running;
  if (!placement.servesModels) {
    const occupied = running / Math.max(entry.slots, 1);
    return plainCallMs * (1 + 2 * occupied);
  }
  const waiting = condition.waitingPromptTokens + others.waitingPromptTokens;
  const ahead =
    Math.max(0, waiting) * (kind === 'interactive' ? pauseFactor : 1);
  return (
    idleFirstEventMs +
    (ahead + read) / promptTokensPerMs +
    running * runningRequestMs +
    slotWaitMs(candidate, placement, running)
  );
}

/** Chooses among `candidates`; undefined when there is none. */
export function chooseUpstream(
  candidates: readonly Candidate[],
  placement: Placement,
  nowMs: number,
): Choice | undefined {
  const sound = candidates.filter(({condition}) => !condition.avoided(nowMs));
  const pool = sound.length > 0 ? sound : candidates;
  const terms = termsOf(pool, placement);
  const failures = failureShares(pool, nowMs);
  const repeatFactor =
    terms.sharedTokens >= fleetWideShareTokens
      ? repeatedLongReadFactor
      : repeatedReadFactor;
  let best: Choice | undefined;
  let lowestMs = Infinity;
  for (const candidate of pool) {
    const {condition, entry} = candidate;
    const read = tokensToRead(candidate, placement, terms, nowMs);
    const firstMs = expectedMs(candidate, placement, terms, read);
    const repeated = read - (terms.promptTokens - terms.sharedTokens);
    const far = entry.failureDomain !== placement.failureDomain;
    const costMs =
      firstMs * condition.slowness(nowMs) +
      (repeated * (repeatFactor - 1)) / promptTokensPerMs +
      rankMs(candidate, terms) +
      (far ? crossDomainMs : 0) +
      divisionMs(candidate, placement, terms) +
      gapMs(candidate, terms, nowMs) +
      (failures.get(candidate) ?? 0) *
        (placement.repeatable ? repeatedFailureTargets : finalFailureTargets) *
        placement.targetLatencyMs;
    const spreadMs = costMs * (1 + tieShare * placement.tieBreak());
    if (spreadMs < lowestMs) {
      lowestMs = spreadMs;
      best = {
        candidate,
        expectedMs: firstMs,
        tokensToRead: read,
        homeRank: terms.ranks.get(entry.id) ?? -1,
      };
    }
  }
  return best;
}
