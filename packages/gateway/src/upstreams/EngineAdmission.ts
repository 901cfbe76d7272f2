/**
 * Refuses long prompts that no engine could answer in time. Load pattern: a
 * burst of long prompts that lasts longer than the engines' queues. Once all
 * slots are taken, every further prompt makes all that follow it late; and once
 * reading takes nearly all of an engine's time, the requests that run produce
 * almost nothing and fail late. A request that is refused at once has not run,
 * and its caller can come back when the burst is over.
 */
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
  /** Usual time between events of this class at present, at all engines. */
  readonly usualGapMs: number;
  readonly remainingMs: number;
  readonly targetLatencyMs: number;
}

/**
 * Part of the remaining time that an answer may be expected to take, by tier:
 * requests that are already there slow down further while the prompt is read,
 * and urgent workspaces are refused last.
 */
const timeShareOfTier: readonly number[] = [0.9, 0.65, 0.5];

/** The value of a tier; the last one holds for all tiers after it. */
function ofTier(values: readonly number[], tier: number): number {
  return values[tier] ?? (values.at(-1) as number);
}

/** Prompts below this size are soon read and are left to the engines. */
const minRefusedTokens = 4_000;
/**
 * Target latencies within which the first event must be expected, by tier.
 * Estimates are rough, so an answer that may come in time is tried.
 */
const firstAnswerTargetsOfTier: readonly number[] = [2, 1.5, 1.25];

/** An engine with fewer requests than this speeds up soon. */
const fewRunning = 6;

/** Why the best engine cannot take the request now; undefined if it can. */
export function refusalReason(
  {candidate, expectedMs}: Choice,
  demand: EngineDemand,
  nowMs: number,
): string | undefined {
  if (demand.prompt.promptTokens < minRefusedTokens) return undefined;
  // What is more urgent is left to the engines, which put it first: it must
  // not be refused while less urgent requests run.
  if (!demand.leastUrgent) return undefined;
  const {condition, others} = candidate;
  if (condition.running + others.running < fewRunning) return undefined;
  const latestFirstMs =
    demand.targetLatencyMs * ofTier(firstAnswerTargetsOfTier, demand.tier);
  if (expectedMs > latestFirstMs) {
    return `the best engine needs about ${Math.round(expectedMs)} ms to the first event`;
  }
  const gapMs = Math.max(condition.meanGapMs(nowMs), demand.usualGapMs);
  const answerMs = expectedMs + demand.usualEvents * gapMs;
  const latestMs = demand.remainingMs * ofTier(timeShareOfTier, demand.tier);
  if (answerMs <= latestMs) return undefined;
  return `the best engine needs about ${Math.round(answerMs)} ms at ${Math.round(gapMs)} ms an event`;
}
