/**
 * Reads a streamed answer: its text, its end, and what is wrong with it.
 */
import type {ErrorBody} from '@toucanrouter/common';

/** What a stream has brought so far. */
export interface StreamState {
  readonly text: string;
  readonly contentEvents: number;
  readonly finishReason: string | undefined;
  readonly done: boolean;
  readonly error: ErrorBody['error'] | undefined;
  /** Breaches of the format, such as events after the end. */
  readonly breaches: readonly string[];
}

/** Reads the events of one stream. */
export interface StreamReader {
  /** Takes the next part; returns true when it brought answer text. */
  push(part: string): boolean;
  state(): StreamState;
}

interface ChatChunk {
  readonly id?: string;
  readonly choices?: readonly {
    readonly delta?: {readonly content?: string | null};
    readonly finish_reason?: string | null;
  }[];
  readonly error?: ErrorBody['error'];
}

/** Creates a reader. */
export function createStreamReader(): StreamReader {
  let rest = '';
  let text = '';
  let contentEvents = 0;
  let finishReason: string | undefined;
  let done = false;
  let error: ErrorBody['error'] | undefined;
  let chunkId: string | undefined;
  const breaches: string[] = [];

  function readEvent(event: string): boolean {
    const data = dataOf(event);
    if (data === undefined) return false;
    if (done) breaches.push('data after the end of the stream');
    if (error !== undefined) breaches.push('data after the error event');
    if (data === '[DONE]') {
      done = true;
      return false;
    }
    return readChunk(data);
  }

  function readChunk(data: string): boolean {
    const chunk = parseChunk(data);
    if (chunk === undefined) {
      breaches.push(`an event is not JSON: ${data.slice(0, 80)}`);
      return false;
    }
    error ??= chunk.error;
    checkId(chunk.id);
    const choice = chunk.choices?.[0];
    if (finishReason !== undefined && choice !== undefined) {
      breaches.push('a choice after the finish reason');
    }
    finishReason ??= choice?.finish_reason ?? undefined;
    const content = choice?.delta?.content ?? '';
    text += content;
    if (content !== '') contentEvents++;
    return content !== '';
  }

  function checkId(id: string | undefined): void {
    if (id === undefined) return;
    chunkId ??= id;
    if (id !== chunkId) breaches.push(`chunks of ${chunkId} and of ${id}`);
  }

  return {
    push: part => {
      const events = (rest + part).split('\n\n');
      rest = events.pop() ?? '';
      let hasText = false;
      for (const event of events) hasText = readEvent(event) || hasText;
      return hasText;
    },
    state: () => ({text, contentEvents, finishReason, done, error, breaches}),
  };
}

function dataOf(event: string): string | undefined {
  const lines = event.split('\n').filter(line => line.startsWith('data:'));
  if (lines.length === 0) return undefined;
  return lines.map(line => line.slice('data:'.length).trimStart()).join('\n');
}

function parseChunk(data: string): ChatChunk | undefined {
  try {
    return JSON.parse(data) as ChatChunk;
  } catch {
    return undefined;
  }
}
