/**
 * Divides the engines of a service by the kind of work that they do best side
 * by side. Load pattern: prompts of many thousand tokens and short prompts
 * with short answers, beside chats whose events may pause for a few hundred
 * milliseconds. An engine reads a prompt in chunks between the tokens of the
 * other requests, so prompts in a row make every chat there late. All
 * instances order the engines alike and know each other's work, so that they
 * agree on the division without further messages.
 */
import type {UpstreamId} from '@toucanrouter/common';
import {hash64} from '@toucanrouter/common';
import type {Prompt} from './Prompt.js';
import {sharedTokens} from './Prompt.js';
import type {UpstreamEntry} from './UpstreamEntry.js';

/**
 * What dominates the work of a request: a long prompt, a short prompt with
 * little output, or the steady generation of output.
 */
export type WorkKind = 'generation' | 'long_prompt' | 'short_prompt';

/** Recent work by kind, in prompt tokens. */
export type SeenWork = Readonly<Record<WorkKind, number>>;

/** Keeps the division of the engines of one service. */
export interface EngineDivision {
  /** Recent work of this instance. */
  work(nowMs: number): SeenWork;
  /** Counts the work of a request that is sent to an engine. */
  sent(prompt: Prompt, nowMs: number): void;
  /** The kind of work that each engine is meant for. */
  divide(
    engines: readonly UpstreamEntry[],
    nowMs: number,
  ): ReadonlyMap<UpstreamId, WorkKind>;
}

/** Options of a division. */
export interface EngineDivisionOptions {
  /** Recent work of the other instances. */
  readonly othersWork?: () => SeenWork;
  readonly onDivided?: (counts: SeenWork) => void;
}

/** Prompts of this many tokens take several steps of an engine to read. */
const longPromptTokens = 4_000;
/** Engine time of an output token, in token times of a prompt. */
const outputTokenWork = 30;
/** Output is usually far shorter than the maximum that a caller allows. */
const usualOutputShare = 0.5;
/** Bursts last a few seconds, so work counts for about this long. */
const workHalfLifeMs = 4_000;
/** Shares before anything was seen, about those of the known deployments. */
const initialWork: SeenWork = {
  long_prompt: 55_000,
  short_prompt: 13_000,
  generation: 32_000,
};
/**
 * Engines for each unit of work. Long prompts have long targets and may queue;
 * the others arrive in clumps, and a few at once already stretch the pauses.
 */
const headroom: SeenWork = {
  long_prompt: 1,
  short_prompt: 1.5,
  generation: 1.7,
};
/** A bound of the division moves by at least this share of the engines. */
const hysteresisShare = 0.04;
/** A bound of the division moves by at least this many engines. */
const minHysteresisEngines = 1;

/** No work. */
export const noWork: SeenWork = {
  long_prompt: 0,
  short_prompt: 0,
  generation: 0,
};

/** Adds work of each kind. */
export function addWork(a: SeenWork, b: SeenWork): SeenWork {
  return {
    long_prompt: a.long_prompt + b.long_prompt,
    short_prompt: a.short_prompt + b.short_prompt,
    generation: a.generation + b.generation,
  };
}

function outputWork({maxOutputTokens}: Prompt): number {
  return maxOutputTokens * usualOutputShare * outputTokenWork;
}

/** The kind of work that dominates a request. */
export function workKindOf(prompt: Prompt): WorkKind {
  if (prompt.promptTokens >= longPromptTokens) return 'long_prompt';
  return outputWork(prompt) > prompt.promptTokens
    ? 'generation'
    : 'short_prompt';
}

function workOf(prompt: Prompt): number {
  const toRead = prompt.promptTokens - sharedTokens(prompt) / 2;
  return toRead + outputWork(prompt);
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
function follow(current: number, wanted: number, engineCount: number): number {
  const hysteresis = Math.max(
    minHysteresisEngines,
    engineCount * hysteresisShare,
  );
  return Math.abs(wanted - current) < hysteresis ? current : Math.round(wanted);
}

/** Limits a count to what leaves the others at least one engine each. */
function within(count: number, most: number): number {
  return Math.max(1, Math.min(count, most));
}

/** Creates a division that has seen no work. */
export function createEngineDivision(
  options: EngineDivisionOptions = {},
): EngineDivision {
  let own: SeenWork = noWork;
  let atMs = 0;
  let dividedEngines: readonly UpstreamEntry[] | undefined;
  let order: readonly UpstreamId[] = [];
  let longCount = 0;
  let generationCount = 0;
  let division: ReadonlyMap<UpstreamId, WorkKind> = new Map();

  function fade(nowMs: number): void {
    const kept = 0.5 ** (Math.max(0, nowMs - atMs) / workHalfLifeMs);
    atMs = nowMs;
    own = {
      long_prompt: own.long_prompt * kept,
      short_prompt: own.short_prompt * kept,
      generation: own.generation * kept,
    };
  }

  function kindAt(index: number, engineCount: number): WorkKind {
    if (index < longCount) return 'long_prompt';
    return index < engineCount - generationCount
      ? 'short_prompt'
      : 'generation';
  }

  function recount(engineCount: number): boolean {
    const seen = addWork(
      addWork(own, options.othersWork?.() ?? noWork),
      initialWork,
    );
    const longNeed = seen.long_prompt * headroom.long_prompt;
    const generationNeed = seen.generation * headroom.generation;
    const all =
      longNeed + generationNeed + seen.short_prompt * headroom.short_prompt;
    const wantedLong = (engineCount * longNeed) / all;
    const wantedGeneration = (engineCount * generationNeed) / all;
    const forShort = engineCount > 2 ? 1 : 0;
    const long = within(
      follow(longCount, wantedLong, engineCount),
      engineCount - 1 - forShort,
    );
    const generation = within(
      follow(generationCount, wantedGeneration, engineCount),
      engineCount - long - forShort,
    );
    if (long === longCount && generation === generationCount) return false;
    longCount = long;
    generationCount = generation;
    return true;
  }

  return {
    work: nowMs => {
      fade(nowMs);
      return own;
    },
    sent: (prompt, nowMs) => {
      fade(nowMs);
      const kind = workKindOf(prompt);
      own = {...own, [kind]: own[kind] + workOf(prompt)};
    },
    divide: (engines, nowMs) => {
      if (engines.length < 2) return new Map();
      fade(nowMs);
      const changed = engines !== dividedEngines;
      if (changed) {
        order = inOrder(engines);
        dividedEngines = engines;
      }
      if (!recount(engines.length) && !changed) return division;
      division = new Map(
        order.map((id, index) => [id, kindAt(index, engines.length)]),
      );
      options.onDivided?.({
        long_prompt: longCount,
        short_prompt: engines.length - longCount - generationCount,
        generation: generationCount,
      });
      return division;
    },
  };
}
