/**
 * Sheds load by refusing long prompts that no engine could complete in time.
 * Load pattern: a burst of long prompts that outlasts the engines' queues. Once
 * all slots are occupied, each further prompt delays all prompts behind it.
 * Once prefill takes nearly all of an engine's time, running requests generate
 * almost no tokens and fail late. A request that is refused at once has not
 * run, and its caller can retry after the burst.
 */
import type {EngineModel} from './EngineModel.js';
import type {Prompt} from './Prompt.js';
import type {Choice} from './UpstreamChoice.js';

/** The properties of a request that admission depends on. */
export interface AdmissionInput {
  readonly prompt: Prompt;
  readonly engineModel: EngineModel;
  /** Effective tier of the request; the workspace may override the route's. */
  readonly tier: number;
  /** True when no other class of the service is less urgent. */
  readonly leastUrgent: boolean;
  /** Average number of events in a response of this class. */
  readonly expectedEvents: number;
  /** Recent average event gap of this class on all engines. */
  readonly averageEventGapMs: number;
  readonly remainingMs: number;
  readonly targetLatencyMs: number;
}

/**
 * Largest share of the remaining time that a response may be expected to take,
 * by tier. The rest is an allowance, because the requests on the engine slow
 * down further during prefill. Urgent workspaces are refused last.
 */
const maxTimeShareByTier: readonly number[] = [0.9, 0.65, 0.5];

/** Returns the value of a tier; the last one applies to all later tiers. */
function valueForTier(values: readonly number[], tier: number): number {
  return values[tier] ?? (values.at(-1) as number);
}

/**
 * Prompts whose prefill takes a smaller share of the target latency are always
 * admitted.
 */
const minRefusedPrefillTargets = 0.025;
/**
 * Latest expected time to the first event, in target latencies, by tier. The
 * rest covers requests that other instances send to the engine at the same
 * time, and moments in which it is slow.
 */
const maxFirstEventTargetsByTier: readonly number[] = [0.8, 0.6, 0.6];
/**
 * A prompt that waits for others for a shorter time, in target latencies, is
 * admitted however long its own prefill takes: later it would take as long.
 */
const minRefusedQueueTargets = 0.15;

/** An engine with fewer requests than this soon generates faster again. */
const minBusyRequests = 6;

/** Returns why the request is refused, or undefined when it is admitted. */
export function refusalReason(
  {candidate, expectedMs, uncachedPromptTokens}: Choice,
  input: AdmissionInput,
  nowMs: number,
): string | undefined {
  const prefillMs = input.engineModel.prefillMs(input.prompt.promptTokens);
  if (prefillMs < minRefusedPrefillTargets * input.targetLatencyMs) {
    return undefined;
  }
  // More urgent requests must not be refused while less urgent ones run. The
  // engines schedule the more urgent ones first.
  if (!input.leastUrgent) return undefined;
  const {engineModel, targetLatencyMs, tier} = input;
  const queueMs = expectedMs - engineModel.firstEventMs(uncachedPromptTokens);
  const maxFirstEventMs =
    targetLatencyMs * valueForTier(maxFirstEventTargetsByTier, tier);
  if (
    expectedMs > maxFirstEventMs &&
    queueMs > minRefusedQueueTargets * targetLatencyMs
  ) {
    return `the best engine needs about ${Math.round(expectedMs)} ms to the first event`;
  }
  const {health, peerLoad} = candidate;
  if (health.running + peerLoad.running < minBusyRequests) return undefined;
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
