/**
 * Splits a stream of server-sent events at event boundaries and keeps the
 * bytes, so that complete events can be relayed unchanged.
 */

import {createByteCollector} from '@toucanrouter/common';

/** The complete events of one scan. */
export interface ScannedEvents {
  /** The bytes of all events, with their separators. */
  readonly bytes: Buffer;
  readonly events: readonly SseEvent[];
}

/** One server-sent event. */
export interface SseEvent {
  /** The event's `id` field, if it is a number. */
  readonly id: number | undefined;
  /** The event's `data` field. */
  readonly data: string;
}

/** Accepts the chunks of a stream and returns the events that are complete. */
export interface SseScanner {
  push(chunk: Buffer): ScannedEvents | undefined;
  /** Number of buffered bytes of an incomplete event. */
  pendingBytes(): number;
}

const separator = '\n\n';
const newline = 10;
const carriageReturn = 13;
const idPattern = /^id: ?(\d+)$/m;
const dataPattern = /^data: ?(.*)$/gm;

/** Creates a scanner at the start of a stream. */
export function createSseScanner(): SseScanner {
  const pending = createByteCollector();
  let endsWithNewline = false;

  /** Returns the end of the last separator in `chunk`, or 0. */
  function separatorEnd(chunk: Buffer): number {
    const within = chunk.lastIndexOf(separator);
    if (within >= 0) return within + separator.length;
    return endsWithNewline && chunk[0] === newline ? 1 : 0;
  }

  function push(chunk: Buffer): ScannedEvents | undefined {
    const normalized = withoutCarriageReturns(chunk);
    if (normalized.length === 0) return undefined;
    const end = separatorEnd(normalized);
    const endsEvent = end > 0;
    const rest = endsEvent ? normalized.subarray(end) : normalized;
    let bytes: Buffer | undefined;
    if (endsEvent) {
      pending.add(normalized.subarray(0, end));
      bytes = pending.take();
    }
    pending.add(rest);
    endsWithNewline = rest.at(-1) === newline;
    return bytes && {bytes, events: parseEvents(bytes)};
  }

  return {push, pendingBytes: () => pending.sizeBytes};
}

/** Lines may end with CR LF, while the separator search expects LF only. */
function withoutCarriageReturns(chunk: Buffer): Buffer {
  if (!chunk.includes(carriageReturn)) return chunk;
  return Buffer.from(chunk.filter(byte => byte !== carriageReturn));
}

function parseEvents(bytes: Buffer): SseEvent[] {
  const events: SseEvent[] = [];
  for (const text of bytes.toString('utf8').split(separator)) {
    if (text === '') continue;
    const id = idPattern.exec(text)?.[1];
    const lines = [...text.matchAll(dataPattern)].map(match => match[1]);
    if (lines.length === 0) continue;
    events.push({
      id: id === undefined ? undefined : Number(id),
      data: lines.join('\n'),
    });
  }
  return events;
}

/** Formats an event with the given fields. */
export function formatEvent(event: SseEvent): string {
  const idLine = event.id === undefined ? '' : `id: ${event.id}\n`;
  return `${idLine}data: ${event.data}${separator}`;
}
