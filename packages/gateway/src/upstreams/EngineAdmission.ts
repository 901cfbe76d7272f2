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
export interface AdmissionInput {
  readonly prompt: Prompt;
  /** Effective tier of the request; workspaces may have one of their own. */
  readonly tier: number;
  /** True when no class of the service is less urgent. */
  readonly leastUrgent: boolean;
  /** Usual number of events of the answers of this class. */
  readonly expectedEvents: number;
  /** Usual time between events of this class at present, at all engines. */
  readonly averageEventGapMs: number;
  readonly remainingMs: number;
  readonly targetLatencyMs: number;
}

/**
 * Part of the remaining time that an answer may be expected to take, by tier:
 * requests that are already there slow down further while the prompt is read,
 * and urgent workspaces are refused last.
 */
const maxTimeShareByTier: readonly number[] = [0.9, 0.65, 0.5];

/** The value of a tier; the last one holds for all tiers after it. */
function valueForTier(values: readonly number[], tier: number): number {
  return values[tier] ?? (values.at(-1) as number);
}

/** Prompts below this size are soon read and are left to the engines. */
const minRefusedPromptTokens = 4_000;
/**
 * Target latencies within which the first event must be expected, by tier.
 * Estimates are rough, so an answer that may come in time is tried.
 */
const maxFirstEventTargetsByTier: readonly number[] = [2, 1.5, 1.25];

/** An engine with fewer requests than this speeds up soon. */
const minBusyRequests = 6;

/** Why the best engine cannot take the request now; undefined if it can. */
export function refusalReason(
  {candidate, expectedMs}: Choice,
  input: AdmissionInput,
  nowMs: number,
): string | undefined {
  if (input.prompt.promptTokens < minRefusedPromptTokens) return undefined;
  // What is more urgent is left to the engines, which put it first: it must
  // not be refused while less urgent requests run.
  if (!input.leastUrgent) return undefined;
  const {health, peerLoad} = candidate;
  if (health.running + peerLoad.running < minBusyRequests) return undefined;
  const maxFirstEventMs =
    input.targetLatencyMs *
    valueForTier(maxFirstEventTargetsByTier, input.tier);
  if (expectedMs > maxFirstEventMs) {
    return `the best engine needs about ${Math.round(expectedMs)} ms to the first event`;
  }
  const eventGapMs = Math.max(
    health.averageEventGapMs(nowMs),
    input.averageEventGapMs,
  );
  const responseMs = expectedMs + input.expectedEvents * eventGapMs;
  const maxResponseMs =
    input.remainingMs * valueForTier(maxTimeShareByTier, input.tier);
  if (responseMs <= maxResponseMs) return undefined;
  return `the best engine needs about ${Math.round(responseMs)} ms at ${Math.round(eventGapMs)} ms an event`;
}
