/**
 * Cuts a stream of server-sent events at the ends of events, so that an
 * upstream that stops in the middle of one never shows half of it to a caller,
 * and another upstream can continue after the last whole one.
 */

/** Whole events that arrived together. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  readonly count: number;
}

/** Collects bytes and returns whole events. */
export interface EventSplitter {
  /** Takes in bytes; returns the events that they complete. */
  push(chunk: Buffer): CompleteEvents | undefined;
  /** Bytes of an event that has not ended. */
  pendingBytes(): number;
  /** Id of the last whole event; undefined before the first. */
  lastEventId(): string | undefined;
}

const newline = 0x0a;
const carriageReturn = 0x0d;
const emptyBuffer = Buffer.alloc(0);
const idLine = /^id:\s*(.*?)\r?$/gm;

/** Index after the last blank line of `bytes`, and how many there are. */
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

/** Creates a cutter for one stream. */
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
