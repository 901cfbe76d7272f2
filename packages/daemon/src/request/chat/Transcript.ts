/**
 * What has been received of one answer, over all attempts. It checks that the
 * events belong to the request and follow each other, tells when the answer is
 * whole, and yields the prefix from which another engine can go on.
 */
import {RouterError} from '@toucanrouter/common';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {ReceivedPrefix} from './ChatRequest.js';
import type {ScannedEvents, SseEvent} from './SseScanner.js';
import {formatEvent} from './SseScanner.js';

/** How an attempt's events relate to those received before. */
export type AttemptStart = 'continue' | 'fresh' | 'resume';

/** The answer of one request as received so far. */
export interface Transcript {
  readonly tokens: number;
  /** Id of the engine's last event; undefined before the first one. */
  readonly lastEventId: number | undefined;
  /** True once the end marker has come and all checks hold. */
  readonly complete: boolean;
  /** Announces an attempt; its events follow. */
  begin(start: AttemptStart): void;
  /** Takes in events and returns the bytes to relay to a streaming caller. */
  take(scanned: ScannedEvents): Result<Uint8Array, RouterError>;
  /** Undefined when the answer cannot be continued from its text. */
  prefix(): ReceivedPrefix | undefined;
  /** The answer as one document. */
  toWhole(): string;
}

const finishPattern = /"finish_reason"\s*:\s*"/;
const rolePattern = /"role"\s*:\s*"assistant"/;
const usagePattern = /"usage"\s*:\s*\{/;
const continuablePattern = /"(tool_calls|function_call|logprobs)"\s*:\s*[[{]/;
const endMarker = '[DONE]';

/** Answers above this size are relayed but can no longer be continued. */
const maxKeptChars = 8 * 1024 * 1024;

interface Chunk {
  readonly choices: readonly {
    readonly delta?: Delta;
    readonly finish_reason?: string | null;
  }[];
  readonly usage?: Usage;
}

interface Delta {
  readonly content?: string | null;
  readonly tool_calls?: readonly ToolCallDelta[];
}

interface ToolCallDelta {
  readonly index: number;
  readonly id?: string;
  readonly type?: string;
  readonly function?: {readonly name?: string; readonly arguments?: string};
}

interface Usage {
  readonly prompt_tokens: number;
  readonly completion_tokens: number;
  readonly total_tokens: number;
}

/** Creates the transcript of a request whose engine answers carry `answerId`. */
export function createTranscript(
  answerId: string,
  wantsUsage: boolean,
): Transcript {
  const idPattern = new RegExp(`"id"\\s*:\\s*"${escapePattern(answerId)}"`);
  let kept: string[] = [];
  let keptChars = 0;
  let continuable = true;
  let tokens = 0;
  let tokensBeforeAttempt = 0;
  let lastEventId: number | undefined;
  let lastRelayedId = -1;
  /** Difference between relayed ids and those of the engine. */
  let idOffset = 0;
  let start: AttemptStart = 'fresh';
  let finished = false;
  let finishedBeforeAttempt = false;
  let usage: Usage | undefined;
  let ended = false;

  function begin(next: AttemptStart): void {
    start = next;
    finishedBeforeAttempt = finished;
    if (next === 'resume') return;
    if (next === 'fresh') reset();
    idOffset = lastRelayedId + 1;
    lastEventId = undefined;
    tokensBeforeAttempt = tokens;
  }

  function reset(): void {
    kept = [];
    keptChars = 0;
    continuable = true;
    tokens = 0;
    lastRelayedId = -1;
  }

  function take(scanned: ScannedEvents): Result<Uint8Array, RouterError> {
    const relayed: string[] = [];
    let changed = false;
    for (const event of scanned.events) {
      const fault = check(event);
      if (fault !== undefined) return err(fault);
      const text = accept(event);
      if (text !== undefined) {
        relayed.push(text);
        continue;
      }
      changed = true;
      // Later events close the gap that the event leaves in the ids.
      if (event.id !== undefined) idOffset -= 1;
    }
    if (!changed && idOffset === 0) return ok(scanned.bytes);
    return ok(Buffer.from(relayed.join('')));
  }

  function check(event: SseEvent): RouterError | undefined {
    if (ended) return incomplete('events follow the end marker');
    if (event.data === endMarker) return checkEnd();
    if (!idPattern.test(event.data)) {
      return incomplete('an event does not belong to the request');
    }
    const {id} = event;
    const previous = lastEventId;
    if (id !== undefined && previous !== undefined && id !== previous + 1) {
      return incomplete(`event ${id} follows event ${previous}`);
    }
    return undefined;
  }

  function checkEnd(): RouterError | undefined {
    if (!finished) return incomplete('the end marker has no finish reason');
    const received = tokens - tokensBeforeAttempt;
    if (usage !== undefined && usage.completion_tokens < received) {
      return incomplete('the answer is longer than its token count');
    }
    return undefined;
  }

  /** Returns the event for the caller, or undefined to leave it out. */
  function accept(event: SseEvent): string | undefined {
    if (event.data === endMarker) {
      ended = true;
      return formatEvent(event);
    }
    lastEventId = event.id;
    if (usagePattern.test(event.data)) return acceptUsage(event);
    if (finishedBeforeAttempt) return undefined;
    return acceptChunk(event);
  }

  function acceptChunk(event: SseEvent): string | undefined {
    const isRole = rolePattern.test(event.data);
    // The caller has the role event of the first attempt.
    if (isRole && start === 'continue') return undefined;
    if (finishPattern.test(event.data)) finished = true;
    else if (!isRole) tokens += 1;
    keep(event.data);
    return relay(event.id, event.data);
  }

  function relay(id: number | undefined, data: string): string {
    if (id === undefined) return formatEvent({id, data});
    lastRelayedId = id + idOffset;
    return formatEvent({id: lastRelayedId, data});
  }

  function acceptUsage(event: SseEvent): string | undefined {
    const chunk = JSON.parse(event.data) as Chunk;
    usage = chunk.usage;
    if (chunk.choices.length > 0 && !finishedBeforeAttempt) {
      if (finishPattern.test(event.data)) finished = true;
      keep(event.data);
    }
    if (!wantsUsage && chunk.choices.length === 0) return undefined;
    return relay(event.id, JSON.stringify({...chunk, usage: totalUsage()}));
  }

  /** Usage counts one attempt; the caller sees the whole answer. */
  function totalUsage(): Usage | undefined {
    if (usage === undefined) return undefined;
    const promptTokens = usage.prompt_tokens - tokensBeforeAttempt;
    const completionTokens = usage.completion_tokens + tokensBeforeAttempt;
    return {
      prompt_tokens: promptTokens,
      completion_tokens: completionTokens,
      total_tokens: promptTokens + completionTokens,
    };
  }

  function keep(data: string): void {
    if (continuablePattern.test(data)) continuable = false;
    keptChars += data.length;
    if (keptChars > maxKeptChars) {
      continuable = false;
      return;
    }
    kept.push(data);
  }

  function text(): string {
    return kept
      .map(data => (JSON.parse(data) as Chunk).choices[0]?.delta?.content ?? '')
      .join('');
  }

  function toWhole(): string {
    const chunks = kept.map(data => JSON.parse(data) as Chunk & object);
    const last = chunks[chunks.length - 1];
    const finishReason = chunks
      .map(chunk => chunk.choices[0]?.finish_reason)
      .find(reason => typeof reason === 'string');
    return JSON.stringify({
      ...last,
      object: 'chat.completion',
      choices: [
        {
          index: 0,
          message: {...mergeDeltas(chunks), role: 'assistant'},
          finish_reason: finishReason,
        },
      ],
      usage: totalUsage(),
    });
  }

  return {
    get tokens() {
      return tokens;
    },
    get lastEventId() {
      return lastEventId;
    },
    get complete() {
      return ended;
    },
    begin,
    take,
    prefix: () => (continuable ? {text: text(), tokens} : undefined),
    toWhole,
  };
}

/** Joins the deltas of all chunks into one message. */
function mergeDeltas(chunks: readonly Chunk[]): object {
  const deltas = chunks.map(chunk => chunk.choices[0]?.delta ?? {});
  const content = deltas.map(delta => delta.content ?? '').join('');
  const toolCalls = mergeToolCalls(deltas);
  if (toolCalls.length === 0) return {content};
  return {content: content === '' ? null : content, tool_calls: toolCalls};
}

function mergeToolCalls(deltas: readonly Delta[]): object[] {
  const calls = new Map<number, ToolCallDelta>();
  for (const part of deltas.flatMap(delta => delta.tool_calls ?? [])) {
    const known = calls.get(part.index);
    const args = known?.function?.arguments ?? '';
    calls.set(part.index, {
      ...known,
      ...part,
      function: {
        name: known?.function?.name ?? part.function?.name,
        arguments: args + (part.function?.arguments ?? ''),
      },
    });
  }
  return [...calls.values()].map(({id, type, function: fn}) => ({
    id,
    type,
    function: fn,
  }));
}

function incomplete(reason: string): RouterError {
  const message = `the upstream's answer is not valid: ${reason}`;
  return new RouterError('answer_incomplete', message);
}

function escapePattern(text: string): string {
  return text.replace(/[.*+?^${}()|[\]\\]/g, '\\$&');
}
