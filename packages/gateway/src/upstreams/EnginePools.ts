/**
 * Divides the engines of a service by the kind of work that they do best side
 * by side. Load pattern: prompts of up to tens of thousands of tokens beside
 * chats whose events may pause for a few hundred milliseconds. An engine reads
 * a prompt in chunks between the tokens of the other requests, so prompts in a
 * row make every chat there late. Interactive requests get the engines that
 * their requests in flight need, which follows a burst within a second; prompts
 * get the others. All instances order the engines alike and know what the
 * others have in flight; they take over the counts of one of them, since a
 * prompt whose engine differs from instance to instance is read once at each.
 */
import type {UpstreamId} from '@toucanrouter/common';
import {hash64} from '@toucanrouter/common';
import {decayFactor} from './HalfLifeDecay.js';
import type {Prompt} from './Prompt.js';
import type {UpstreamEntry} from './UpstreamEntry.js';

/**
 * What dominates the work of a request: steady output after a short prompt, or
 * the reading of the prompt.
 */
export type WorkKind = 'interactive' | 'prompt';

/** A number for each kind of work. */
export type WorkKindCounts = Readonly<Record<WorkKind, number>>;

/** Keeps the division of the engines of one service. */
export interface EnginePools {
  /** Requests of this instance that are at an engine. */
  inFlight(): WorkKindCounts;
  /** Engines of each kind at present. */
  poolSizes(): WorkKindCounts;
  /** Counts a request that is sent to an engine; returns its undo. */
  registerRequest(prompt: Prompt): () => void;
  /** The kind of work that each engine is meant for. */
  assign(
    engines: readonly UpstreamEntry[],
    nowMs: number,
  ): ReadonlyMap<UpstreamId, WorkKind>;
}

/** Options of a division. */
export interface EnginePoolsOptions {
  /** Requests of the other instances that are at an engine. */
  readonly peersInFlight?: () => WorkKindCounts;
  /** The division of the instance that the others follow; undefined if none. */
  readonly leaderPoolSizes?: () => WorkKindCounts | undefined;
  readonly onResized?: (engines: WorkKindCounts) => void;
}

/** Reading a prompt of this size delays the tokens of a chat noticeably. */
const longPromptTokens = 4_000;
/** Engine time of an output token, in token times of a prompt. */
const outputTokenCost = 30;
/** Output is usually far shorter than the maximum that a caller allows. */
const expectedOutputShare = 0.3;

/** Part of an engine's slots that interactive requests in flight fill. */
const interactiveSlotShare = 0.5;
/** More interactive requests than this stretch the steps of an engine. */
const maxInteractivePerEngine = 12;
/**
 * Engines for interactive requests beyond the mean need, in square roots of
 * that need: requests arrive in clumps, and a clump weighs more among few
 * engines.
 */
const interactiveSafetyFactor = 1;
/** Part of the engines that interactive requests get at most. */
const maxInteractiveEngineShare = 0.5;
/** Part of the engines that they get before anything was seen. */
const initialInteractiveEngineShare = 0.25;
/** The engines of another division may differ by this part and still fit. */
const maxLeaderDifferenceShare = 0.1;
/** A need that has fallen is kept up for about this long. */
const demandHalfLifeMs = 2_000;
/** A bound of the division moves by at least this share of the engines. */
const hysteresisShare = 0.05;
/** A bound of the division moves by at least this many engines. */
const minHysteresisEngines = 1;

/** Zero for each kind. */
export const zeroCounts: WorkKindCounts = {interactive: 0, prompt: 0};

/** Adds up counts of each kind. */
export function addCounts(
  a: WorkKindCounts,
  b: WorkKindCounts,
): WorkKindCounts {
  return {
    interactive: a.interactive + b.interactive,
    prompt: a.prompt + b.prompt,
  };
}

/** The kind of work that a request is. */
export function workKindOf(prompt: Prompt): WorkKind {
  const outputCost =
    prompt.maxOutputTokens * expectedOutputShare * outputTokenCost;
  return prompt.promptTokens < longPromptTokens &&
    outputCost > prompt.promptTokens
    ? 'interactive'
    : 'prompt';
}

/**
 * Orders engines alike on all instances. An engine that comes or goes moves
 * each bound of the division by one engine at most: an engine that changes its
 * work still has the old work in flight.
 */
function sortByHash(engines: readonly UpstreamEntry[]): readonly UpstreamId[] {
  return engines
    .map(({id}) => ({id, rank: hash64(id)}))
    .sort((a, b) => (a.rank < b.rank ? -1 : 1))
    .map(({id}) => id);
}

/** A whole number that follows a value with hysteresis. */
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

/** Engines that interactive requests in flight need. */
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

/** Counts for `all` engines; each kind has at least one. */
function toPoolSizes(interactive: number, engineCount: number): WorkKindCounts {
  const count = Math.max(1, Math.min(interactive, engineCount - 1));
  return {interactive: count, prompt: engineCount - count};
}

/** Creates a division that has seen no requests. */
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

  /** The need of interactive requests, which falls slowly. */
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

  /** The counts of the leading instance, as far as they fit these engines. */
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
      options.onResized?.(sizes);
      return assignment;
    },
  };
}
