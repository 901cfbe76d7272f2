/**
 * Splits the engines of a service into a pool for interactive requests and a
 * pool for long prompts. Load pattern: prompts of up to tens of thousands of
 * tokens alongside chats that tolerate event gaps of a few hundred
 * milliseconds. An engine prefills a prompt in chunks between the tokens of the
 * other requests, so consecutive prompts delay every chat on that engine.
 *
 * The interactive pool is sized by the interactive requests in flight, which
 * follows a burst within a second; the prompt pool gets the other engines. All
 * instances order the engines alike, know what their peers have in flight, and
 * adopt the pool sizes of one leader: if instances sent a prompt to different
 * engines, each of those engines would prefill it.
 */
import type {UpstreamId} from '@toucanrouter/common';
import {hash64} from '@toucanrouter/common';
import {decayFactor} from './HalfLifeDecay.js';
import type {Prompt} from './Prompt.js';
import type {UpstreamEntry} from './UpstreamEntry.js';

/**
 * What dominates the cost of a request: `interactive` for steady output after a
 * short prompt, `prompt` for prefill.
 */
export type WorkKind = 'interactive' | 'prompt';

/** A count for each kind of work. */
export type WorkKindCounts = Readonly<Record<WorkKind, number>>;

/** The engine pools of one service. */
export interface EnginePools {
  /** Requests that this instance has in flight on engines. */
  inFlight(): WorkKindCounts;
  /** Current number of engines in each pool. */
  poolSizes(): WorkKindCounts;
  /** Counts a request that is sent to an engine; returns a function to undo. */
  registerRequest(prompt: Prompt): () => void;
  /** Returns the pool of each engine; empty for fewer than two engines. */
  assign(
    engines: readonly UpstreamEntry[],
    nowMs: number,
  ): ReadonlyMap<UpstreamId, WorkKind>;
}

/** Options of {@link createEnginePools}. */
export interface EnginePoolsOptions {
  /** Requests that peers have in flight on engines. */
  readonly peersInFlight?: () => WorkKindCounts;
  /** Pool sizes of the leader; undefined when this instance follows none. */
  readonly leaderPoolSizes?: () => WorkKindCounts | undefined;
  /** Called when the pool sizes or the engines changed. */
  readonly onAssigned?: (engines: WorkKindCounts) => void;
}

/** Prefill of a prompt of this size noticeably delays the tokens of a chat. */
const longPromptTokens = 4_000;
/** Engine time of an output token, relative to that of a prompt token. */
const outputTokenCost = 30;
/** Responses are usually far shorter than the maximum that a caller allows. */
const expectedOutputShare = 0.3;

/** Share of an engine's slots that interactive requests may occupy. */
const interactiveSlotShare = 0.5;
/** More interactive requests than this lengthen the steps of an engine. */
const maxInteractivePerEngine = 12;
/**
 * Interactive engines in reserve, as a multiple of the square root of the mean
 * demand: arrivals vary randomly, relatively more so with few engines.
 */
const interactiveSafetyFactor = 1;
/** Upper bound of the interactive pool, as a share of the engines. */
const maxInteractiveEngineShare = 0.5;
/** Size of the interactive pool before any request, as a share of engines. */
const initialInteractiveEngineShare = 0.25;
/** Sizes of a leader are adopted if its engine count differs by at most this. */
const maxLeaderDifferenceShare = 0.1;
/** Half-life of the interactive demand after it has fallen. */
const demandHalfLifeMs = 2_000;
/** Smallest change of the pool sizes, as a share of the engines. */
const hysteresisShare = 0.05;
/** Smallest change of the pool sizes, in engines. */
const minHysteresisEngines = 1;

export const zeroCounts: WorkKindCounts = {interactive: 0, prompt: 0};

export function addCounts(
  a: WorkKindCounts,
  b: WorkKindCounts,
): WorkKindCounts {
  return {
    interactive: a.interactive + b.interactive,
    prompt: a.prompt + b.prompt,
  };
}

/** Classifies a request by the estimated cost of its prompt and output. */
export function workKindOf(prompt: Prompt): WorkKind {
  const outputCost =
    prompt.maxOutputTokens * expectedOutputShare * outputTokenCost;
  return prompt.promptTokens < longPromptTokens &&
    outputCost > prompt.promptTokens
    ? 'interactive'
    : 'prompt';
}

/**
 * Orders engines alike on all instances. Adding or removing an engine shifts the
 * boundary of the pools by at most one engine. Few engines should change pools,
 * because such an engine still has work of the other kind in flight.
 */
function sortByHash(engines: readonly UpstreamEntry[]): readonly UpstreamId[] {
  return engines
    .map(({id}) => ({id, rank: hash64(id)}))
    .sort((a, b) => (a.rank < b.rank ? -1 : 1))
    .map(({id}) => id);
}

/** Rounds the wanted count, or keeps the present one if both are close. */
function applyHysteresis(
  count: number,
  wanted: number,
  engineCount: number,
): number {
  const hysteresis = Math.max(
    minHysteresisEngines,
    engineCount * hysteresisShare,
  );
  return Math.abs(wanted - count) < hysteresis ? count : Math.round(wanted);
}

/** Estimates the engines that the interactive requests in flight need. */
function interactiveDemand(
  inFlight: number,
  slots: number,
  engineCount: number,
): number {
  const perEngine = Math.min(
    slots * interactiveSlotShare,
    maxInteractivePerEngine,
  );
  const mean = inFlight / Math.max(perEngine, 1);
  return Math.min(
    mean + interactiveSafetyFactor * Math.sqrt(mean),
    engineCount * maxInteractiveEngineShare,
  );
}

/** Splits the engines so that each pool has at least one. */
function toPoolSizes(interactive: number, engineCount: number): WorkKindCounts {
  const count = Math.max(1, Math.min(interactive, engineCount - 1));
  return {interactive: count, prompt: engineCount - count};
}

/** Creates engine pools without requests in flight. */
export function createEnginePools(
  options: EnginePoolsOptions = {},
): EnginePools {
  let ownInFlight: WorkKindCounts = zeroCounts;
  let assignedEngines: readonly UpstreamEntry[] | undefined;
  let order: readonly UpstreamId[] = [];
  let sizes: WorkKindCounts = zeroCounts;
  let assignment: ReadonlyMap<UpstreamId, WorkKind> = new Map();
  let demand: number | undefined;
  let demandAtMs = 0;

  /** Follows a rising demand at once and a falling one by half-life decay. */
  function smoothedDemand(current: number, engineCount: number, nowMs: number) {
    const decayed =
      demand === undefined
        ? engineCount * initialInteractiveEngineShare
        : demand * decayFactor(nowMs - demandAtMs, demandHalfLifeMs);
    demandAtMs = nowMs;
    demand = Math.max(current, decayed);
    return demand;
  }

  function computeSizes(
    engines: readonly UpstreamEntry[],
    nowMs: number,
  ): WorkKindCounts {
    const inFlight = addCounts(
      ownInFlight,
      options.peersInFlight?.() ?? zeroCounts,
    );
    const slots = engines[0]?.slots ?? 1;
    const engineCount = engines.length;
    const current = interactiveDemand(inFlight.interactive, slots, engineCount);
    const smoothed = smoothedDemand(current, engineCount, nowMs);
    return toPoolSizes(
      applyHysteresis(sizes.interactive, smoothed, engineCount),
      engineCount,
    );
  }

  /** Pool sizes of the leader, unless its number of engines differs too much. */
  function leaderSizes(engineCount: number): WorkKindCounts | undefined {
    const leader = options.leaderPoolSizes?.();
    if (leader === undefined) return undefined;
    const difference = Math.abs(
      leader.interactive + leader.prompt - engineCount,
    );
    return difference <= engineCount * maxLeaderDifferenceShare
      ? toPoolSizes(leader.interactive, engineCount)
      : undefined;
  }

  const poolAt = (index: number): WorkKind =>
    index < sizes.prompt ? 'prompt' : 'interactive';

  return {
    inFlight: () => ownInFlight,
    poolSizes: () => sizes,
    registerRequest: prompt => {
      const kind = workKindOf(prompt);
      ownInFlight = {...ownInFlight, [kind]: ownInFlight[kind] + 1};
      return () => {
        ownInFlight = {...ownInFlight, [kind]: ownInFlight[kind] - 1};
      };
    },
    assign: (engines, nowMs) => {
      if (engines.length < 2) return new Map();
      const enginesChanged = engines !== assignedEngines;
      if (enginesChanged) {
        order = sortByHash(engines);
        assignedEngines = engines;
      }
      const ownSizes = computeSizes(engines, nowMs);
      const next = leaderSizes(engines.length) ?? ownSizes;
      const resized = next.interactive !== sizes.interactive;
      if (!resized && !enginesChanged) return assignment;
      sizes = next;
      assignment = new Map(order.map((id, index) => [id, poolAt(index)]));
      options.onAssigned?.(sizes);
      return assignment;
    },
  };
}
