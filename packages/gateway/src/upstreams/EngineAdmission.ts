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
  readonly tier: number;
  /** Usual number of events of the answers of this class. */
  readonly usualEvents: number;
  readonly remainingMs: number;
}

/**
 * Part of the remaining time that an answer may be expected to take, by tier:
 * requests that are already there slow down further, and urgent classes are
 * refused last.
 */
const timeShareOfTier: readonly number[] = [0.9, 0.7, 0.5];
/** An engine with fewer requests than this speeds up soon. */
const fewRunning = 6;

/** Why the best engine cannot take the request now; undefined if it can. */
export function refusalReason(
  {candidate, expectedMs}: Choice,
  demand: EngineDemand,
  nowMs: number,
): string | undefined {
  if (workKindOf(demand.prompt) !== 'long_prompt') return undefined;
  const {condition, others} = candidate;
  if (condition.running + others.running < fewRunning) return undefined;
  const share =
    timeShareOfTier[demand.tier] ?? (timeShareOfTier.at(-1) as number);
  const gapMs = condition.meanGapMs(nowMs);
  const answerMs = expectedMs + demand.usualEvents * gapMs;
  if (answerMs <= demand.remainingMs * share) return undefined;
  return `the best engine needs about ${Math.round(answerMs)} ms at ${Math.round(gapMs)} ms an event`;
}
