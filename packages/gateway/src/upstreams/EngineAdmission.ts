/**
 * Refuses long prompts that no engine could finish in time. Load pattern: a
 * burst of long prompts. Each engine reads them between the tokens of its
 * running requests; once reading takes nearly all of its time, the requests
 * that run produce almost nothing, and all of them fail late. A request that
 * is refused at once has not run, and its caller can come back.
 */
import {workKindOf} from './EngineDivision.js';
import type {Prompt} from './Prompt.js';
import type {Choice} from './UpstreamChoice.js';

/** What the decision depends on beside the engine. */
export interface EngineDemand {
  readonly prompt: Prompt;
  /** Effective tier of the request; workspaces may have one of their own. */
  readonly tier: number;
  /** True when no class of the service is less urgent. */
  readonly leastUrgent: boolean;
  /** Usual number of events of the answers of this class. */
  readonly usualEvents: number;
  readonly remainingMs: number;
}

/**
 * Part of the remaining time that an answer may be expected to take, by tier:
 * requests that are already there slow down further while the prompt is read,
 * and urgent workspaces are refused last.
 */
const timeShareOfTier: readonly number[] = [0.9, 0.65, 0.5];

function timeShare(tier: number): number {
  return timeShareOfTier[tier] ?? (timeShareOfTier.at(-1) as number);
}
/** An engine with fewer requests than this speeds up soon. */
const fewRunning = 6;

/** Why the best engine cannot take the request now; undefined if it can. */
export function refusalReason(
  {candidate, expectedMs}: Choice,
  demand: EngineDemand,
  nowMs: number,
): string | undefined {
  if (workKindOf(demand.prompt) !== 'long_prompt') return undefined;
  // What is more urgent is left to the engines, which put it first: it must
  // not be refused while less urgent requests run.
  if (!demand.leastUrgent) return undefined;
  const {condition, others} = candidate;
  if (condition.running + others.running < fewRunning) return undefined;
  const gapMs = condition.meanGapMs(nowMs);
  const answerMs = expectedMs + demand.usualEvents * gapMs;
  if (answerMs <= demand.remainingMs * timeShare(demand.tier)) return undefined;
  return `the best engine needs about ${Math.round(answerMs)} ms at ${Math.round(gapMs)} ms an event`;
}
