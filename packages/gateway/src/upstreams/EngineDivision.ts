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
import {keptShare} from './Fading.js';
import type {Prompt} from './Prompt.js';
import type {UpstreamEntry} from './UpstreamEntry.js';

/**
 * What dominates the work of a request: steady output after a short prompt, or
 * the reading of the prompt.
 */
export type WorkKind = 'interactive' | 'prompt';

/** A number for each kind of work. */
export type CountByKind = Readonly<Record<WorkKind, number>>;

/** Keeps the division of the engines of one service. */
export interface EngineDivision {
  /** Requests of this instance that are at an engine. */
  inFlight(): CountByKind;
  /** Engines of each kind at present. */
  counts(): CountByKind;
  /** Counts a request that is sent to an engine; returns its undo. */
  registerRequest(prompt: Prompt): () => void;
  /** The kind of work that each engine is meant for. */
  divide(
    engines: readonly UpstreamEntry[],
    nowMs: number,
  ): ReadonlyMap<UpstreamId, WorkKind>;
}

/** Options of a division. */
export interface EngineDivisionOptions {
  /** Requests of the other instances that are at an engine. */
  readonly othersInFlight?: () => CountByKind;
  /** The division of the instance that the others follow; undefined if none. */
  readonly leadingCounts?: () => CountByKind | undefined;
  readonly onDivided?: (engines: CountByKind) => void;
}

/** Reading a prompt of this size delays the tokens of a chat noticeably. */
const longPromptTokens = 4_000;
/** Engine time of an output token, in token times of a prompt. */
const outputTokenWork = 30;
/** Output is usually far shorter than the maximum that a caller allows. */
const usualOutputShare = 0.3;

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
const maxInteractiveShare = 0.5;
/** Part of the engines that they get before anything was seen. */
const initialInteractiveShare = 0.25;
/** The engines of another division may differ by this part and still fit. */
const fittingShare = 0.1;
/** A need that has fallen is kept up for about this long. */
const needHalfLifeMs = 2_000;
/** A bound of the division moves by at least this share of the engines. */
const hysteresisShare = 0.05;
/** A bound of the division moves by at least this many engines. */
const minHysteresisEngines = 1;

/** Zero for each kind. */
export const noCount: CountByKind = {interactive: 0, prompt: 0};

/** Adds up counts of each kind. */
export function addCounts(a: CountByKind, b: CountByKind): CountByKind {
  return {
    interactive: a.interactive + b.interactive,
    prompt: a.prompt + b.prompt,
  };
}

/** The kind of work that a request is. */
export function workKindOf(prompt: Prompt): WorkKind {
  const outputWork =
    prompt.maxOutputTokens * usualOutputShare * outputTokenWork;
  return prompt.promptTokens < longPromptTokens &&
    outputWork > prompt.promptTokens
    ? 'interactive'
    : 'prompt';
}

/**
 * Orders engines alike on all instances. An engine that comes or goes moves
 * each bound of the division by one engine at most: an engine that changes its
 * work still has the old work in flight.
 */
function inOrder(engines: readonly UpstreamEntry[]): readonly UpstreamId[] {
  return engines
    .map(({id}) => ({id, rank: hash64(id)}))
    .sort((a, b) => (a.rank < b.rank ? -1 : 1))
    .map(({id}) => id);
}

/** A whole number that follows a value with hysteresis. */
function follow(count: number, wanted: number, engineCount: number): number {
  const hysteresis = Math.max(
    minHysteresisEngines,
    engineCount * hysteresisShare,
  );
  return Math.abs(wanted - count) < hysteresis ? count : Math.round(wanted);
}

/** Engines that interactive requests in flight need. */
function interactiveNeed(
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
    engineCount * maxInteractiveShare,
  );
}

/** Counts for `all` engines; each kind has at least one. */
function fitted(interactive: number, all: number): CountByKind {
  const count = Math.max(1, Math.min(interactive, all - 1));
  return {interactive: count, prompt: all - count};
}

/** Creates a division that has seen no requests. */
export function createEngineDivision(
  options: EngineDivisionOptions = {},
): EngineDivision {
  let own: CountByKind = noCount;
  let dividedEngines: readonly UpstreamEntry[] | undefined;
  let order: readonly UpstreamId[] = [];
  let counts: CountByKind = noCount;
  let division: ReadonlyMap<UpstreamId, WorkKind> = new Map();
  let need: number | undefined;
  let needAtMs = 0;

  /** The need of interactive requests, which falls slowly. */
  function heldNeed(wanted: number, engineCount: number, nowMs: number) {
    const before =
      need === undefined
        ? engineCount * initialInteractiveShare
        : need * keptShare(nowMs - needAtMs, needHalfLifeMs);
    needAtMs = nowMs;
    need = Math.max(wanted, before);
    return need;
  }

  function count(
    engines: readonly UpstreamEntry[],
    nowMs: number,
  ): CountByKind {
    const inFlight = addCounts(own, options.othersInFlight?.() ?? noCount);
    const slots = engines[0]?.slots ?? 1;
    const all = engines.length;
    const wanted = interactiveNeed(inFlight.interactive, slots, all);
    const held = heldNeed(wanted, all, nowMs);
    return fitted(follow(counts.interactive, held, all), all);
  }

  /** The counts of the leading instance, as far as they fit these engines. */
  function followedCounts(all: number): CountByKind | undefined {
    const leading = options.leadingCounts?.();
    if (leading === undefined) return undefined;
    const differing = Math.abs(leading.interactive + leading.prompt - all);
    return differing <= all * fittingShare
      ? fitted(leading.interactive, all)
      : undefined;
  }

  const kindAt = (index: number): WorkKind =>
    index < counts.prompt ? 'prompt' : 'interactive';

  return {
    inFlight: () => own,
    counts: () => counts,
    registerRequest: prompt => {
      const kind = workKindOf(prompt);
      own = {...own, [kind]: own[kind] + 1};
      return () => {
        own = {...own, [kind]: own[kind] - 1};
      };
    },
    divide: (engines, nowMs) => {
      if (engines.length < 2) return new Map();
      const changed = engines !== dividedEngines;
      if (changed) {
        order = inOrder(engines);
        dividedEngines = engines;
      }
      const ownCounts = count(engines, nowMs);
      const next = followedCounts(engines.length) ?? ownCounts;
      const moved = next.interactive !== counts.interactive;
      if (!moved && !changed) return division;
      counts = next;
      division = new Map(order.map((id, index) => [id, kindAt(index)]));
      options.onDivided?.(counts);
      return division;
    },
  };
}
