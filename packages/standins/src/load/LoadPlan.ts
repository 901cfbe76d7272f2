/**
 * Plans an open-loop load: the seed determines every request and its arrival
 * time in advance, so slow responses do not delay later arrivals.
 */
import type {RandomSource, ServiceClass} from '@toucanrouter/common';
import {createSeededRandom, hash64, invariant} from '@toucanrouter/common';
import type {ChatMessage} from '../engine/EngineResponses.js';
import {lengthMarker} from '../engine/EngineResponses.js';
import type {ClassLoad, LoadProfile} from './LoadProfile.js';
import {pickOne, pickWeighted, sampleGap, sampleLength} from './Sampling.js';

/** A workspace that sends requests. */
export interface CallerWorkspace {
  readonly id: string;
  readonly key: string;
  readonly weight: number;
}

/** A planned chat request. */
export interface PlannedChat {
  readonly kind: 'chat';
  readonly model: string;
  readonly messages: readonly ChatMessage[];
  /** Tokens of the complete response. */
  readonly outputTokens: number;
  /** Limits the response to less than the length that the prompt requests. */
  readonly maxTokens?: number;
  readonly streamed: boolean;
}

/** A planned call of a plain service. */
export interface PlannedCall {
  readonly kind: 'call';
  readonly service: string;
  readonly method: string;
  /** Path and query below the service. */
  readonly path: string;
  readonly body: string;
  readonly idempotencyKey?: string;
}

export interface PlannedRequest {
  readonly requestId: string;
  readonly atMs: number;
  readonly classId: string;
  readonly named: boolean;
  readonly workspace: CallerWorkspace;
  readonly timeoutMs: number;
  /** The caller closes its connection after this time. */
  readonly abandonAfterMs?: number;
  readonly content: PlannedCall | PlannedChat;
}

export interface LoadPlanOptions {
  readonly profile: LoadProfile;
  readonly classes: readonly ServiceClass[];
  readonly seconds: number;
  readonly seed: number;
  /** Multiplies all rates. */
  readonly rateFactor: number;
  /** Distinguishes ids and prompts from those of other load runs. */
  readonly tag: string;
}

const millisecondsPerSecond = 1000;
const charsPerToken = 4;
// Long enough for retries to arrive both while the first request runs and after
// it has completed.
const maxRetryDelayMs = 1500;
const maxAbandonMs = 1500;
const seedModulus = 2n ** 31n;

/** Plans all requests, ordered by arrival time. */
export function planLoad(options: LoadPlanOptions): readonly PlannedRequest[] {
  const planned: PlannedRequest[] = [];
  for (const [classId, load] of Object.entries(options.profile.class)) {
    const serviceClass = options.classes.find(c => c.id === classId);
    if (serviceClass === undefined) {
      throw new Error(`class "${classId}" is not in the classes file`);
    }
    planned.push(...planClass(options, serviceClass, load));
  }
  return planned.sort((a, b) => a.atMs - b.atMs);
}

function planClass(
  options: LoadPlanOptions,
  serviceClass: ServiceClass,
  load: ClassLoad,
): PlannedRequest[] {
  const random = createClassRandom(options.seed, serviceClass.id);
  const planned: PlannedRequest[] = [];
  const peakRate = peakRateOf(options, load);
  for (
    let atSeconds = sampleGap(random, peakRate);
    atSeconds < options.seconds;
    atSeconds += sampleGap(random, peakRate)
  ) {
    const accepted =
      random.next() * peakRate < rateAt(options, load, atSeconds);
    if (!accepted) continue;
    const requestId = `${options.tag}-${serviceClass.id}-${planned.length}`;
    const earlier = pickRetried(random, load, planned);
    const atMs = atSeconds * millisecondsPerSecond;
    planned.push(
      earlier === undefined
        ? planRequest(options, serviceClass, load, random, requestId, atMs)
        : retryRequest(earlier, requestId, random),
    );
  }
  return planned;
}

function createClassRandom(seed: number, classId: string): RandomSource {
  return createSeededRandom(Number(hash64(`${seed}:${classId}`) % seedModulus));
}

function peakRateOf(options: LoadPlanOptions, load: ClassLoad): number {
  const swingFactor = 1 + options.profile.load.swing_depth;
  const burstFactor = Math.max(1, load.burst_factor);
  return load.rate_per_second * options.rateFactor * swingFactor * burstFactor;
}

/** Returns the arrival rate of a class at a time in seconds. */
export function rateAt(
  options: LoadPlanOptions,
  load: ClassLoad,
  atSeconds: number,
): number {
  const {swing_depth, swing_seconds} = options.profile.load;
  const swingFactor =
    1 + swing_depth * Math.sin((2 * Math.PI * atSeconds) / swing_seconds);
  const inBurst = atSeconds % load.burst_every_seconds < load.burst_seconds;
  const burstFactor = inBurst ? load.burst_factor : 1;
  return load.rate_per_second * options.rateFactor * swingFactor * burstFactor;
}

function planRequest(
  options: LoadPlanOptions,
  serviceClass: ServiceClass,
  load: ClassLoad,
  random: RandomSource,
  requestId: string,
  atMs: number,
): PlannedRequest {
  const workspaces = Object.entries(options.profile.workspace).map(
    ([id, {key, weight}]) => ({id, key, weight}),
  );
  const workspace = pickWeighted(random, workspaces);
  const model = serviceClass.match.models[0];
  const content =
    model === undefined
      ? planCall(serviceClass, load, random, requestId, workspace)
      : planChat(model, load, random, requestId, workspace);
  const abandoned = random.next() < load.abandoned_share;
  return {
    requestId,
    atMs,
    classId: serviceClass.id,
    named: load.named,
    workspace,
    timeoutMs: load.timeout_ms,
    abandonAfterMs: abandoned ? random.next() * maxAbandonMs : undefined,
    content,
  };
}

function planChat(
  model: string,
  load: ClassLoad,
  random: RandomSource,
  requestId: string,
  workspace: CallerWorkspace,
): PlannedChat {
  const isLong = random.next() < load.long_share;
  const length = sampleLength(
    random,
    load.output_tokens_median,
    load.output_tokens_spread,
  );
  const requestedTokens = Math.round(length * (isLong ? load.long_factor : 1));
  const isCut = random.next() < load.cut_share;
  const outputTokens = isCut ? Math.ceil(requestedTokens / 2) : requestedTokens;
  const promptTokens = sampleLength(
    random,
    load.prompt_tokens_median,
    load.prompt_tokens_spread,
  );
  // Requests of a workspace share a prompt prefix, as with system prompts.
  const systemPrompt = `${workspace.id} `.repeat(
    Math.ceil((promptTokens * charsPerToken) / (workspace.id.length + 1)),
  );
  const question = `${requestId} ${lengthMarker(requestedTokens)}`;
  return {
    kind: 'chat',
    model,
    messages: [
      {role: 'system', content: systemPrompt},
      {role: 'user', content: question},
    ],
    outputTokens,
    maxTokens: isCut ? outputTokens : undefined,
    streamed: random.next() < load.streamed_share,
  };
}

function planCall(
  serviceClass: ServiceClass,
  load: ClassLoad,
  random: RandomSource,
  requestId: string,
  workspace: CallerWorkspace,
): PlannedCall {
  const service = serviceClass.match.services[0];
  invariant(service !== undefined, `class ${serviceClass.id} has an upstream`);
  const path = pickOne(random, load.paths);
  const hasBody = load.method !== 'GET';
  return {
    kind: 'call',
    service,
    method: load.method,
    path: hasBody ? path : `${path}?item=${requestId}`,
    body: hasBody
      ? JSON.stringify({workspace: workspace.id, item: requestId})
      : '',
    idempotencyKey: serviceClass.idempotent ? undefined : `key-${requestId}`,
  };
}

function pickRetried(
  random: RandomSource,
  load: ClassLoad,
  earlier: readonly PlannedRequest[],
): PlannedRequest | undefined {
  if (load.repeated_key_share === 0 || earlier.length === 0) return undefined;
  if (random.next() >= load.repeated_key_share) return undefined;
  return earlier[earlier.length - 1];
}

function retryRequest(
  earlier: PlannedRequest,
  requestId: string,
  random: RandomSource,
): PlannedRequest {
  return {
    ...earlier,
    requestId,
    atMs: earlier.atMs + random.next() * maxRetryDelayMs,
    abandonAfterMs: undefined,
  };
}
