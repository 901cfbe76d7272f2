/**
 * Parses a streamed chat response and checks its format.
 */
import type {ErrorBody} from '@toucanrouter/common';

/** State of a stream after the parts read so far. */
export interface StreamState {
  readonly text: string;
  readonly contentEvents: number;
  readonly finishReason: string | undefined;
  readonly done: boolean;
  readonly error: ErrorBody['error'] | undefined;
  /** Format violations, such as events after the end marker. */
  readonly violations: readonly string[];
}

/** Parses the events of one stream. */
export interface StreamReader {
  /** Parses the next part; returns true if it contained response text. */
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

/** Creates a reader at the start of a stream. */
export function createStreamReader(): StreamReader {
  let buffered = '';
  let text = '';
  let contentEvents = 0;
  let finishReason: string | undefined;
  let done = false;
  let error: ErrorBody['error'] | undefined;
  let chunkId: string | undefined;
  const violations: string[] = [];

  function readEvent(event: string): boolean {
    const data = dataOf(event);
    if (data === undefined) return false;
    if (done) violations.push('data after the end marker');
    if (error !== undefined) violations.push('data after the error event');
    if (data === '[DONE]') {
      done = true;
      return false;
    }
    return readChunk(data);
  }

  function readChunk(data: string): boolean {
    const chunk = parseChunk(data);
    if (chunk === undefined) {
      violations.push(`event data is not JSON: ${data.slice(0, 80)}`);
      return false;
    }
    error ??= chunk.error;
    checkId(chunk.id);
    const choice = chunk.choices?.[0];
    if (finishReason !== undefined && choice !== undefined) {
      violations.push('choice after the finish reason');
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
    if (id !== chunkId) violations.push(`mixed chunk ids: ${chunkId}, ${id}`);
  }

  return {
    push: part => {
      const events = (buffered + part).split('\n\n');
      buffered = events.pop() ?? '';
      let hasText = false;
      for (const event of events) hasText = readEvent(event) || hasText;
      return hasText;
    },
    state: () => ({text, contentEvents, finishReason, done, error, violations}),
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
