/**
 * A model engine in virtual time. It batches continuously: each step generates
 * one token for every running request and prefills one chunk of the waiting
 * prompts, and the step takes longer with both. Prompt segments stay in a cache
 * until others need its memory.
 */
import type {RandomSource} from '@toucanrouter/common';
import type {EventLoop} from '../EventLoop.js';

/** The properties of an engine, which the router does not know. */
export interface EngineShape {
  readonly slots: number;
  /** Requests that wait for a slot before further ones are rejected. */
  readonly queueLimit: number;
  readonly stepMs: number;
  /** Increase of a step with each running request. */
  readonly stepMsPerRunning: number;
  readonly prefillTokensPerMs: number;
  /** Attention cost of a million pairs of a prefilled and an earlier token. */
  readonly prefillMsPerMillionPairs: number;
  /** Largest number of prompt tokens that one step prefills. */
  readonly chunkTokens: number;
  readonly tokensPerEvent: number;
  /** Delay of the first event that occupies no engine time. */
  readonly firstEventDelayMs: number;
  readonly cacheTokens: number;
}

/** A request to an engine. */
export interface EngineRequest {
  /** Segments of the prompt as id and size, in order. */
  readonly segments: readonly (readonly [id: string, tokens: number])[];
  readonly outputTokens: number;
  /** 0 is scheduled first. */
  readonly priority: number;
  readonly onEvent: () => void;
  readonly onEnd: () => void;
  /** The engine crashed before the end of the response. */
  readonly onFailed: () => void;
}

/** A simulated engine. */
export interface EngineSimulator {
  /** Accepts a request and returns how to cancel it; undefined if it is full. */
  submit(request: EngineRequest): (() => void) | undefined;
  /** Prompt tokens that were prefilled, and those found in the cache. */
  readonly prefilledTokens: number;
  readonly cachedTokens: number;
  /** Fails all requests, empties the cache and rejects requests for a time. */
  crash(durationMs: number): void;
}

interface Job {
  readonly request: EngineRequest;
  readonly sequence: number;
  promptTokens: number;
  tokensToPrefill: number;
  generatedTokens: number;
  canceled: boolean;
}

/** Neighbours that nobody sees slow an engine for moments. */
const noisePeriodMs = 600;
const noiseShare = 0.15;
const noiseFactor = 2.5;
const pairsPerMillion = 1e6;

function compareJobs(a: Job, b: Job): number {
  return a.request.priority - b.request.priority || a.sequence - b.sequence;
}

/** Creates an idle engine with an empty cache. */
export function createEngineSimulator(
  loop: EventLoop,
  shape: EngineShape,
  random: RandomSource,
): EngineSimulator {
  const cache = new Map<string, number>();
  let cacheTokens = 0;
  let waiting: Job[] = [];
  let running: Job[] = [];
  let stepping = false;
  let sequence = 0;
  let prefilledTokens = 0;
  let cachedTokens = 0;
  let noisy = false;
  let noiseUntilMs = 0;
  let downUntilMs = 0;

  function noise(): number {
    if (loop.nowMs() >= noiseUntilMs) {
      noisy = random.next() < noiseShare;
      noiseUntilMs = loop.nowMs() + noisePeriodMs * (0.5 + random.next());
    }
    return noisy ? noiseFactor : 1;
  }

  /** Marks the segments as used and returns the tokens that are not cached. */
  function readSegments(segments: EngineRequest['segments']): number {
    let missing = 0;
    let contiguous = true;
    for (const [id, tokens] of segments) {
      contiguous &&= cache.has(id);
      if (!contiguous) missing += tokens;
      cacheTokens += tokens - (cache.get(id) ?? 0);
      cache.delete(id);
      cache.set(id, tokens);
    }
    for (const [id, tokens] of cache) {
      if (cacheTokens <= shape.cacheTokens) break;
      cache.delete(id);
      cacheTokens -= tokens;
    }
    return missing;
  }

  function admit(): void {
    waiting = waiting.filter(job => !job.canceled);
    running = running.filter(job => !job.canceled);
    waiting.sort(compareJobs);
    while (running.length < shape.slots && waiting.length > 0) {
      const job = waiting.shift()!;
      job.tokensToPrefill = readSegments(job.request.segments);
      cachedTokens += job.promptTokens - job.tokensToPrefill;
      running.push(job);
    }
  }

  function prefillChunk(): {ms: number; done: Job[]} {
    let budget = shape.chunkTokens;
    let ms = 0;
    const done: Job[] = [];
    const prefilling = running
      .filter(job => job.tokensToPrefill > 0)
      .sort(compareJobs);
    for (const job of prefilling) {
      if (budget <= 0) break;
      const tokens = Math.min(budget, job.tokensToPrefill);
      const context = job.promptTokens - job.tokensToPrefill + tokens / 2;
      ms +=
        tokens / shape.prefillTokensPerMs +
        (tokens * context * shape.prefillMsPerMillionPairs) / pairsPerMillion;
      job.tokensToPrefill -= tokens;
      budget -= tokens;
      prefilledTokens += tokens;
      if (job.tokensToPrefill <= 0) done.push(job);
    }
    return {ms, done};
  }

  function emit(job: Job): void {
    job.generatedTokens += 1;
    const {generatedTokens, request} = job;
    const last = generatedTokens >= request.outputTokens;
    if (last || generatedTokens % shape.tokensPerEvent === 0) {
      const first = generatedTokens <= shape.tokensPerEvent;
      if (first && shape.firstEventDelayMs > 0) {
        loop.after(shape.firstEventDelayMs, () => {
          if (!job.canceled) request.onEvent();
        });
      } else request.onEvent();
    }
    if (!last) return;
    running = running.filter(other => other !== job);
    loop.after(shape.firstEventDelayMs, () => {
      if (!job.canceled) request.onEnd();
    });
  }

  function step(): void {
    admit();
    if (running.length === 0) {
      stepping = false;
      return;
    }
    stepping = true;
    const decoding = running.filter(job => job.tokensToPrefill <= 0);
    const chunk = prefillChunk();
    const stepMs =
      (shape.stepMs + shape.stepMsPerRunning * running.length + chunk.ms) *
      noise();
    loop.after(stepMs, () => {
      for (const job of [...decoding, ...chunk.done]) {
        if (!job.canceled) emit(job);
      }
      step();
    });
  }

  return {
    submit: request => {
      if (loop.nowMs() < downUntilMs) return undefined;
      const job: Job = {
        request,
        sequence: sequence++,
        promptTokens: request.segments.reduce((sum, [, n]) => sum + n, 0),
        tokensToPrefill: 0,
        generatedTokens: 0,
        canceled: false,
      };
      const accepted = [...running, ...waiting].filter(
        other => !other.canceled,
      ).length;
      if (accepted >= shape.slots + shape.queueLimit) return undefined;
      waiting.push(job);
      if (!stepping) {
        stepping = true;
        loop.after(0, step);
      }
      return () => {
        job.canceled = true;
      };
    },
    crash: durationMs => {
      const lost = [...running, ...waiting].filter(job => !job.canceled);
      downUntilMs = loop.nowMs() + durationMs;
      running = [];
      waiting = [];
      cache.clear();
      cacheTokens = 0;
      for (const job of lost) {
        job.canceled = true;
        job.request.onFailed();
      }
    },
    get prefilledTokens() {
      return prefilledTokens;
    },
    get cachedTokens() {
      return cachedTokens;
    },
  };
}
