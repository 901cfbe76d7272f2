/**
 * Splits a stream of server-sent events at event boundaries. If an upstream
 * fails within an event, the caller does not receive a partial event, and
 * another upstream can resume after the last complete one.
 */

/** Complete events that arrived together. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  readonly count: number;
}

/** Buffers bytes until they form complete events. */
export interface EventSplitter {
  /** Adds bytes and returns the events that they complete. */
  push(chunk: Buffer): CompleteEvents | undefined;
  /** Number of buffered bytes of an incomplete event. */
  pendingBytes(): number;
  /** Id of the last complete event that has one. */
  lastEventId(): string | undefined;
}

const newline = 0x0a;
const carriageReturn = 0x0d;
const emptyBuffer = Buffer.alloc(0);
const idLine = /^id:\s*(.*?)\r?$/gm;

/** Finds the end of the last blank line of `bytes` and counts blank lines. */
function lastBoundary(bytes: Buffer): {end: number; count: number} {
  let end = 0;
  let count = 0;
  let lineStart = 0;
  for (
    let index = bytes.indexOf(newline);
    index >= 0;
    index = bytes.indexOf(newline, index + 1)
  ) {
    const blank =
      index === lineStart ||
      (index === lineStart + 1 && bytes[lineStart] === carriageReturn);
    lineStart = index + 1;
    if (!blank) continue;
    end = lineStart;
    count += 1;
  }
  return {end, count};
}

/** Creates a splitter for one stream. */
export function createEventSplitter(): EventSplitter {
  let pending: Buffer = emptyBuffer;
  let lastEventId: string | undefined;
  return {
    push: chunk => {
      const bytes =
        pending.length === 0 ? chunk : Buffer.concat([pending, chunk]);
      const {count, end} = lastBoundary(bytes);
      pending = bytes.subarray(end);
      if (count === 0) return undefined;
      const complete = bytes.subarray(0, end);
      for (const match of complete.toString('latin1').matchAll(idLine)) {
        lastEventId = match[1];
      }
      return {bytes: complete, count};
    },
    pendingBytes: () => pending.length,
    lastEventId: () => lastEventId,
  };
}
