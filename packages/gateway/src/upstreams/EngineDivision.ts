/**
 * Divides the engines of a service between long prompts and everything else.
 * Load pattern: prompts of many thousand tokens beside chats whose events may
 * pause for a few hundred milliseconds. An engine reads a prompt in chunks
 * between the tokens of the other requests, so a few long prompts in a row
 * make every chat there late. All instances order the engines alike, so they
 * agree on the division without a message as long as they see similar work.
 */
import type {UpstreamId} from '@toucanrouter/common';
import {hash64} from '@toucanrouter/common';
import type {Prompt} from './Prompt.js';
import {sharedTokens} from './Prompt.js';
import type {UpstreamEntry} from './UpstreamEntry.js';

/** Recent work, in prompt tokens. */
export interface SeenWork {
  readonly longWork: number;
  readonly allWork: number;
}

/** Keeps the division of the engines of one service. */
export interface EngineDivision {
  /** Recent work of this instance. */
  work(nowMs: number): SeenWork;
  /** Counts the work of a request that is sent to an engine. */
  sent(prompt: Prompt, nowMs: number): void;
  /** Engines for long prompts; empty when there is nothing to divide. */
  longPromptEngines(
    engines: readonly UpstreamEntry[],
    nowMs: number,
  ): ReadonlySet<UpstreamId>;
}

/** Tokens beyond what one chunk of a prompt usually holds. */
export const longPromptTokens = 4_000;
/** Engine time of a prompt token, in token times of a prompt. */
const outputTokenWork = 30;
/** Output is usually far shorter than the maximum that a caller allows. */
const usualOutputShare = 0.5;
/** Work counts for about this long. */
const workHalfLifeMs = 10_000;
/** Share before anything was seen, and how much seen work outweighs it. */
const initialLongShare = 0.55;
const initialWorkTokens = 100_000;
/** The division changes when the share has moved by this part of an engine. */
const hysteresisEngines = 1;

/** True when a prompt delays the others at its engine noticeably. */
export function isLongPrompt(prompt: Prompt): boolean {
  return prompt.promptTokens >= longPromptTokens;
}

function workOf(prompt: Prompt): number {
  const toRead = prompt.promptTokens - sharedTokens(prompt) / 2;
  return toRead + prompt.maxOutputTokens * usualOutputShare * outputTokenWork;
}

/** Orders engines by domain in turn, so that each domain is divided. */
function inTurn(engines: readonly UpstreamEntry[]): readonly UpstreamId[] {
  const byDomain = new Map<string, UpstreamEntry[]>();
  const rank = ({id}: UpstreamEntry) => hash64(id);
  const sorted = [...engines].sort((a, b) => (rank(a) < rank(b) ? -1 : 1));
  for (const engine of sorted) {
    const list = byDomain.get(engine.failureDomain) ?? [];
    list.push(engine);
    byDomain.set(engine.failureDomain, list);
  }
  const lists = [...byDomain.values()];
  const longest = Math.max(0, ...lists.map(list => list.length));
  const order: UpstreamId[] = [];
  for (let turn = 0; turn < longest; turn++) {
    for (const list of lists) {
      const engine = list[turn];
      if (engine !== undefined) order.push(engine.id);
    }
  }
  return order;
}

/** Options of a division. */
export interface EngineDivisionOptions {
  /** Recent work of the other instances. */
  readonly othersWork?: () => SeenWork;
  readonly onDivided?: (longCount: number, engineCount: number) => void;
}

/** Creates a division that has seen no work. */
export function createEngineDivision(
  options: EngineDivisionOptions = {},
): EngineDivision {
  let longWork = 0;
  let allWork = 0;
  let atMs = 0;
  let dividedEngines: readonly UpstreamEntry[] | undefined;
  let order: readonly UpstreamId[] = [];
  let longCount = 0;
  let longSet: ReadonlySet<UpstreamId> = new Set();

  function fade(nowMs: number): void {
    const kept = 0.5 ** (Math.max(0, nowMs - atMs) / workHalfLifeMs);
    atMs = nowMs;
    allWork *= kept;
    longWork *= kept;
  }

  function wantedCount(engineCount: number): number {
    const others = options.othersWork?.() ?? {longWork: 0, allWork: 0};
    const share =
      (longWork + others.longWork + initialWorkTokens * initialLongShare) /
      (allWork + others.allWork + initialWorkTokens);
    const wanted = engineCount * share;
    if (Math.abs(wanted - longCount) < hysteresisEngines) return longCount;
    return Math.min(Math.max(Math.round(wanted), 1), engineCount - 1);
  }

  return {
    work: nowMs => {
      fade(nowMs);
      return {longWork, allWork};
    },
    sent: (prompt, nowMs) => {
      fade(nowMs);
      const work = workOf(prompt);
      allWork += work;
      if (isLongPrompt(prompt)) longWork += work;
    },
    longPromptEngines: (engines, nowMs) => {
      if (engines.length < 2) return new Set();
      fade(nowMs);
      const changed = engines !== dividedEngines;
      if (changed) {
        order = inTurn(engines);
        dividedEngines = engines;
      }
      const count = Math.min(wantedCount(engines.length), engines.length - 1);
      if (changed || count !== longCount) {
        longCount = Math.max(count, 1);
        longSet = new Set(order.slice(0, longCount));
        options.onDivided?.(longCount, engines.length);
      }
      return longSet;
    },
  };
}
