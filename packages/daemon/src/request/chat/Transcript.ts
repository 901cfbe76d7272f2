/**
 * The response of one call as received across its attempts. The transcript
 * checks that events belong to the request and are consecutive, detects when
 * the response is complete, and provides the prefix from which another engine
 * can continue it.
 */
import {RouterError} from '@toucanrouter/common';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {ReceivedPrefix} from './ChatRequest.js';
import type {ScannedEvents, SseEvent} from './SseScanner.js';
import {formatEvent} from './SseScanner.js';

/** How the events of an attempt relate to those received before. */
export type AttemptStart = 'continue' | 'fresh' | 'resume';

/** The response to one request as received so far. */
export interface Transcript {
  readonly tokens: number;
  /** Id of the last event from the engine; undefined before the first one. */
  readonly lastEventId: number | undefined;
  /** True once the end marker has arrived and all checks have passed. */
  readonly complete: boolean;
  /** Begins an attempt, to which the events that follow belong. */
  begin(start: AttemptStart): void;
  /** Adds events and returns the bytes to relay to a streaming caller. */
  receive(scanned: ScannedEvents): Result<Uint8Array, RouterError>;
  /** Undefined if the response cannot be continued from its text. */
  prefix(): ReceivedPrefix | undefined;
  /**
   * Returns the response as one JSON document for a non-streaming caller, or an
   * error if it was too large to be stored whole.
   */
  toCompletion(): Result<string, RouterError>;
}

const finishPattern = /"finish_reason"\s*:\s*"/;
const rolePattern = /"role"\s*:\s*"assistant"/;
const usagePattern = /"usage"\s*:\s*\{/;
const nonContinuablePattern =
  /"(tool_calls|function_call|logprobs)"\s*:\s*[[{]/;
const endMarker = '[DONE]';

/** Larger responses are relayed, but cannot be continued or returned whole. */
const maxStoredChars = 8 * 1024 * 1024;

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

/** Creates the transcript of a response whose events carry `responseId`. */
export function createTranscript(
  responseId: string,
  wantsUsage: boolean,
): Transcript {
  const idPattern = new RegExp(`"id"\\s*:\\s*"${escapePattern(responseId)}"`);
  let storedChunks: string[] = [];
  let storedChars = 0;
  let continuable = true;
  let tokens = 0;
  let tokensBeforeAttempt = 0;
  let lastEventId: number | undefined;
  let lastRelayedId = -1;
  /** Added to the event ids of the engine to obtain the relayed ids. */
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
    storedChunks = [];
    storedChars = 0;
    continuable = true;
    tokens = 0;
    lastRelayedId = -1;
  }

  function receive(scanned: ScannedEvents): Result<Uint8Array, RouterError> {
    const relayed: string[] = [];
    let hasOmissions = false;
    for (const event of scanned.events) {
      const fault = check(event);
      if (fault !== undefined) return err(fault);
      const relayedText = accept(event);
      if (relayedText !== undefined) {
        relayed.push(relayedText);
        continue;
      }
      hasOmissions = true;
      // Shifts the ids of later events, so that the relayed ids have no gap.
      if (event.id !== undefined) idOffset -= 1;
    }
    if (!hasOmissions && idOffset === 0) return ok(scanned.bytes);
    return ok(Buffer.from(relayed.join('')));
  }

  function check(event: SseEvent): RouterError | undefined {
    if (ended) return invalidError('events follow the end marker');
    if (event.data === endMarker) return checkEnd();
    if (!idPattern.test(event.data)) {
      return invalidError('an event does not belong to the request');
    }
    const {id} = event;
    const previous = lastEventId;
    if (id !== undefined && previous !== undefined && id !== previous + 1) {
      return invalidError(`event ${id} follows event ${previous}`);
    }
    return undefined;
  }

  function checkEnd(): RouterError | undefined {
    if (!finished) return invalidError('the end marker has no finish reason');
    const received = tokens - tokensBeforeAttempt;
    if (usage !== undefined && usage.completion_tokens < received) {
      return invalidError('it has more tokens than its usage reports');
    }
    return undefined;
  }

  /** Returns the event for the caller, or undefined to omit it. */
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
    // The role event of the first attempt has been relayed already.
    if (isRole && start === 'continue') return undefined;
    if (finishPattern.test(event.data)) finished = true;
    else if (!isRole) tokens += 1;
    storeChunk(event.data);
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
      storeChunk(event.data);
    }
    if (!wantsUsage && chunk.choices.length === 0) return undefined;
    return relay(event.id, JSON.stringify({...chunk, usage: totalUsage()}));
  }

  /** Converts the usage of the last attempt to that of the whole response. */
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

  function storeChunk(data: string): void {
    if (nonContinuablePattern.test(data)) continuable = false;
    storedChars += data.length;
    if (storedChars > maxStoredChars) {
      continuable = false;
      return;
    }
    storedChunks.push(data);
  }

  /** Parses the stored chunks; returns undefined if one is malformed. */
  function parseChunks(): Chunk[] | undefined {
    const chunks = storedChunks.map(parseChunk);
    return chunks.every(chunk => chunk !== undefined) ? chunks : undefined;
  }

  function prefix(): ReceivedPrefix | undefined {
    const chunks = continuable ? parseChunks() : undefined;
    if (chunks === undefined) return undefined;
    const text = chunks.map(chunk => chunk.choices[0]?.delta?.content ?? '');
    return {text: text.join(''), tokens};
  }

  function toCompletion(): Result<string, RouterError> {
    if (storedChars > maxStoredChars) {
      return err(
        invalidError(`it exceeds ${maxStoredChars} characters; stream it`),
      );
    }
    const chunks = parseChunks();
    if (chunks === undefined) return err(invalidError('a chunk is malformed'));
    const last = chunks[chunks.length - 1];
    const finishReason = chunks
      .map(chunk => chunk.choices[0]?.finish_reason)
      .find(reason => typeof reason === 'string');
    const completion = {
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
    };
    return ok(JSON.stringify(completion));
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
    receive,
    prefix,
    toCompletion,
  };
}

function parseChunk(data: string): Chunk | undefined {
  try {
    const chunk = JSON.parse(data) as Partial<Chunk> | null;
    return Array.isArray(chunk?.choices) ? (chunk as Chunk) : undefined;
  } catch {
    return undefined;
  }
}

/** Merges the deltas of all chunks into one message. */
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
    const existing = calls.get(part.index);
    const args = existing?.function?.arguments ?? '';
    calls.set(part.index, {
      ...existing,
      ...part,
      function: {
        name: existing?.function?.name ?? part.function?.name,
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

function invalidError(reason: string): RouterError {
  const message = `the upstream's response is not valid: ${reason}`;
  return new RouterError('answer_incomplete', message);
}

function escapePattern(text: string): string {
  return text.replace(/[.*+?^${}()|[\]\\]/g, '\\$&');
}
