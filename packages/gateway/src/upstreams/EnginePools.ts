/**
 * Splits the engines of a service into a pool for interactive requests and a
 * pool for long prompts. Load pattern: prompts of up to tens of thousands of
 * tokens alongside chats that tolerate event gaps of a few hundred
 * milliseconds. An engine prefills a prompt in chunks between the tokens of the
 * other requests, so consecutive prompts delay every chat on that engine.
 *
 * The pools are sized by the engines that each kind of work needs: so many that
 * prefill takes a bounded share of their time, and that slots are left. All
 * instances order the engines alike, know what their peers have in flight and
 * were offered, and adopt the pool sizes of one leader: if instances sent a
 * prompt to different engines, each of those engines would prefill it.
 */
import type {UpstreamId} from '@toucanrouter/common';
import {hash64} from '@toucanrouter/common';
import type {
  EngineDemand,
  WorkKind,
  WorkKindCounts,
} from '@toucanrouter/policy';
import {addCounts, enginesNeeded, zeroCounts} from '@toucanrouter/policy';
import {decayFactor} from './HalfLifeDecay.js';
import type {Prompt} from './Prompt.js';
import type {UpstreamEntry} from './UpstreamEntry.js';

/** The engine pools of one service. */
export interface EnginePools {
  /** Requests that this instance has in flight on engines. */
  inFlight(): WorkKindCounts;
  /** Engines that the work offered to this instance keeps busy. */
  offered(nowMs: number): WorkKindCounts;
  /** Records the prefill time of a request, also if it is refused for load. */
  recordOffered(prompt: Prompt, prefillMs: number, nowMs: number): void;
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
  /** Engines that the work offered to peers keeps busy. */
  readonly peersOffered?: () => WorkKindCounts;
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

/** Size of the interactive pool without demand, as a share of the engines. */
const initialInteractiveEngineShare = 0.2;
/** Bounds of the interactive pool, as a share of the engines. */
const minInteractiveEngineShare = 0.1;
const maxInteractiveEngineShare = 0.75;
/** Below this demand, in engines, the pools keep their initial sizes. */
const minDemandEngines = 0.3;
/** Half-life of the offered work. */
const offeredHalfLifeMs = 1_500;
/** Sizes of a leader are adopted if its engine count differs by at most this. */
const maxLeaderDifferenceShare = 0.1;
/** Smallest change of the pool sizes, as a share of the engines. */
const hysteresisShare = 0.05;
/** Smallest change of the pool sizes, in engines. */
const minHysteresisEngines = 1;

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

/** Divides the engines in proportion to what both kinds of work need. */
function interactiveEngines(
  demand: EngineDemand,
  slots: number,
  engineCount: number,
): number {
  const interactive = enginesNeeded('interactive', demand, slots);
  const total = interactive + enginesNeeded('prompt', demand, slots);
  if (total < minDemandEngines) {
    return engineCount * initialInteractiveEngineShare;
  }
  const wanted = (engineCount * interactive) / total;
  return Math.min(
    Math.max(wanted, engineCount * minInteractiveEngineShare),
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
  let offeredMs: WorkKindCounts = zeroCounts;
  let offeredAtMs = 0;

  function decayedOfferedMs(nowMs: number): WorkKindCounts {
    const left = decayFactor(nowMs - offeredAtMs, offeredHalfLifeMs);
    return {
      interactive: offeredMs.interactive * left,
      prompt: offeredMs.prompt * left,
    };
  }

  /** The decayed sum divided by its mean age is the work in each millisecond. */
  function ownOffered(nowMs: number): WorkKindCounts {
    const {interactive, prompt} = decayedOfferedMs(nowMs);
    const meanAgeMs = offeredHalfLifeMs / Math.LN2;
    return {interactive: interactive / meanAgeMs, prompt: prompt / meanAgeMs};
  }

  function computeSizes(
    engines: readonly UpstreamEntry[],
    nowMs: number,
  ): WorkKindCounts {
    const demand = {
      inFlight: addCounts(ownInFlight, options.peersInFlight?.() ?? zeroCounts),
      offered: addCounts(
        ownOffered(nowMs),
        options.peersOffered?.() ?? zeroCounts,
      ),
    };
    const slots = engines[0]?.slots ?? 1;
    const engineCount = engines.length;
    const wanted = interactiveEngines(demand, slots, engineCount);
    return toPoolSizes(
      applyHysteresis(sizes.interactive, wanted, engineCount),
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
    offered: ownOffered,
    recordOffered: (prompt, prefillMs, nowMs) => {
      const kind = workKindOf(prompt);
      const earlier = decayedOfferedMs(nowMs);
      offeredMs = {...earlier, [kind]: earlier[kind] + prefillMs};
      offeredAtMs = nowMs;
    },
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
