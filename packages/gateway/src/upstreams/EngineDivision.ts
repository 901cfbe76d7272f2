/**
 * Divides the engines of a service by the kind of work that they do best side
 * by side. Load pattern: prompts of up to tens of thousands of tokens beside
 * chats whose events may pause for a few hundred milliseconds. An engine reads
 * a prompt in chunks between the tokens of the other requests, so prompts in a
 * row make every chat there late, and a very long one holds up the shorter ones
 * behind it. Interactive requests get the engines that their requests in flight
 * need, which follows a burst within a second; medium and long prompts share
 * the others. All instances order the engines alike and know what the others
 * have in flight, so that they agree on the division without further messages.
 */
import type {UpstreamId} from '@toucanrouter/common';
import {hash64} from '@toucanrouter/common';
import type {Prompt} from './Prompt.js';
import {sharedTokens} from './Prompt.js';
import type {UpstreamEntry} from './UpstreamEntry.js';

/**
 * What dominates the work of a request: steady output after a short prompt, a
 * prompt of a few steps of an engine, or one of many.
 */
export type WorkKind = 'interactive' | 'long_prompt' | 'medium_prompt';

/** A number for each kind of work. */
export type CountByKind = Readonly<Record<WorkKind, number>>;

/** Keeps the division of the engines of one service. */
export interface EngineDivision {
  /** Requests of this instance that are at an engine. */
  inFlight(): CountByKind;
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
  readonly onDivided?: (engines: CountByKind) => void;
}

/** Reading a prompt of this size delays the tokens of a chat noticeably. */
const mediumPromptTokens = 4_000;
/** Engine time of an output token, in token times of a prompt. */
const outputTokenWork = 30;
/** Output is usually far shorter than the maximum that a caller allows. */
const usualOutputShare = 0.3;
/**
 * A prompt with this many tokens beside the shared ones takes several steps of
 * an engine to read.
 */
const longPromptTokens = 6_000;

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
/** A long prompt takes this many times the engine time of a medium one. */
const longPromptWeight = 1.5;
/** Requests of each kind that are assumed for each engine, to steady shares. */
const assumedPerEngine = 1;
/** A need that has fallen is kept up for about this long. */
const needHalfLifeMs = 2_000;
/** A bound of the division moves by at least this share of the engines. */
const hysteresisShare = 0.05;
/** A bound of the division moves by at least this many engines. */
const minHysteresisEngines = 1;

/** Zero for each kind. */
export const noCount: CountByKind = {
  interactive: 0,
  long_prompt: 0,
  medium_prompt: 0,
};

/** Adds up counts of each kind. */
export function addCounts(a: CountByKind, b: CountByKind): CountByKind {
  return {
    interactive: a.interactive + b.interactive,
    long_prompt: a.long_prompt + b.long_prompt,
    medium_prompt: a.medium_prompt + b.medium_prompt,
  };
}

/** The kind of work that a request is. */
export function workKindOf(prompt: Prompt): WorkKind {
  const ownTokens = prompt.promptTokens - sharedTokens(prompt);
  if (ownTokens >= longPromptTokens) return 'long_prompt';
  const outputWork =
    prompt.maxOutputTokens * usualOutputShare * outputTokenWork;
  return prompt.promptTokens < mediumPromptTokens &&
    outputWork > prompt.promptTokens
    ? 'interactive'
    : 'medium_prompt';
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

/** Part of the other engines that long prompts need. */
function longShare(inFlight: CountByKind, engineCount: number): number {
  const assumed = assumedPerEngine * engineCount;
  const long = (inFlight.long_prompt + assumed) * longPromptWeight;
  return long / (long + inFlight.medium_prompt + assumed);
}

/** Limits a count to at least one engine and at most `most`. */
function within(count: number, most: number): number {
  return Math.max(1, Math.min(count, most));
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
        : need * 0.5 ** (Math.max(0, nowMs - needAtMs) / needHalfLifeMs);
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
    const wanted = heldNeed(
      interactiveNeed(inFlight.interactive, slots, all),
      all,
      nowMs,
    );
    const interactive = within(
      follow(counts.interactive, wanted, all),
      all - 1,
    );
    const rest = all - interactive;
    const wantedLong = rest * longShare(inFlight, all);
    const long = within(
      follow(counts.long_prompt, wantedLong, all),
      Math.max(1, rest - 1),
    );
    return {interactive, long_prompt: long, medium_prompt: rest - long};
  }

  function kindAt(index: number): WorkKind {
    if (index < counts.long_prompt) return 'long_prompt';
    return index < counts.long_prompt + counts.medium_prompt
      ? 'medium_prompt'
      : 'interactive';
  }

  return {
    inFlight: () => own,
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
      const next = count(engines, nowMs);
      const moved =
        next.interactive !== counts.interactive ||
        next.long_prompt !== counts.long_prompt;
      if (!moved && !changed) return division;
      counts = next;
      division = new Map(order.map((id, index) => [id, kindAt(index)]));
      options.onDivided?.(counts);
      return division;
    },
  };
}
