/**
 * Splits a stream of server-sent events at event boundaries. If an upstream
 * fails within an event, the caller does not receive a partial event, and
 * another upstream can resume after the last complete one.
 */
import {createByteCollector} from '@toucanrouter/common';

/** Complete events, or comments between events, that arrived together. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  /** Number of events; 0 if there are only comments. */
  readonly count: number;
}

/** Buffers bytes until they form complete events. */
export interface EventSplitter {
  /** Adds bytes and returns the events that they complete. */
  push(chunk: Buffer): CompleteEvents | undefined;
  /** True once an event came that the caller already has; it is not returned. */
  repeatsEvents(): boolean;
  /** Number of buffered bytes of an incomplete event. */
  pendingBytes(): number;
  /** Id of the last complete event that has one. */
  lastEventId(): string | undefined;
}

const newline = 0x0a;
const carriageReturn = 0x0d;
/** A block without any of these fields is a comment, or means nothing. */
const eventFields: readonly Buffer[] = [Buffer.from('data'), Buffer.from('id')];
const maxFieldBytes = Math.max(...eventFields.map(({length}) => length));
const idLine = /^id:\s*(.*?)\r?$/gm;

/** Finds the ends of blocks, which are lines that end with a blank line. */
interface BlockScanner {
  /** Scans the next bytes; returns the number of events that they complete. */
  scan(chunk: Buffer): number;
  /** End of the last complete block, after the bytes that were dropped. */
  end(): number;
  /** End of the last event; comment blocks are no events. */
  eventEnd(): number;
  /** Drops scanned bytes, up to the end of a block. */
  drop(byteCount: number): void;
}

/** Creates a scanner that looks at each byte once, however blocks are chunked. */
function createBlockScanner(): BlockScanner {
  let scanned = 0;
  let end = 0;
  let eventEnd = 0;
  const lineStart = Buffer.alloc(maxFieldBytes);
  let lineBytes = 0;
  let hasField = false;

  /** Allocates nothing, since a line may arrive byte by byte. */
  function extendLine(chunk: Buffer, from: number, to: number): void {
    if (lineBytes < maxFieldBytes) {
      chunk.copy(lineStart, lineBytes, from, to);
    }
    lineBytes += to - from;
  }

  function startsWith(field: Buffer): boolean {
    return (
      lineBytes >= field.length &&
      lineStart.compare(field, 0, field.length, 0, field.length) === 0
    );
  }

  /** Returns whether the line completes an event. */
  function endLine(atOffset: number): boolean {
    const isBlank =
      lineBytes === 0 || (lineBytes === 1 && lineStart[0] === carriageReturn);
    if (!isBlank) hasField ||= eventFields.some(startsWith);
    lineBytes = 0;
    if (!isBlank) return false;
    end = atOffset;
    if (!hasField) return false;
    eventEnd = atOffset;
    hasField = false;
    return true;
  }

  return {
    scan: chunk => {
      let count = 0;
      let from = 0;
      for (
        let index = chunk.indexOf(newline);
        index >= 0;
        index = chunk.indexOf(newline, from)
      ) {
        extendLine(chunk, from, index);
        from = index + 1;
        if (endLine(scanned + from)) count += 1;
      }
      extendLine(chunk, from, chunk.length);
      scanned += chunk.length;
      return count;
    },
    end: () => end,
    eventEnd: () => eventEnd,
    drop: byteCount => {
      scanned -= byteCount;
      end = Math.max(0, end - byteCount);
      eventEnd = Math.max(0, eventEnd - byteCount);
    },
  };
}

function eventIds(bytes: Buffer): readonly string[] {
  const matches = bytes.toString('latin1').matchAll(idLine);
  return [...matches].map(([, id = '']) => id);
}

/** Returns whether an event follows another one; ids of events increase. */
function isLaterId(id: string, previousId: string): boolean {
  return id !== previousId && !(Number(id) < Number(previousId));
}

/**
 * Creates a splitter for one stream. If the stream continues another one, its
 * first event must follow the event `previousEventId`.
 */
export function createEventSplitter(previousEventId?: string): EventSplitter {
  const scanner = createBlockScanner();
  const pending = createByteCollector();
  let lastEventId: string | undefined;
  let started = false;
  let repeatsEvents = false;

  function isRepeated(ids: readonly string[]): boolean {
    const [firstId] = ids;
    return (
      previousEventId !== undefined &&
      lastEventId === undefined &&
      firstId !== undefined &&
      !isLaterId(firstId, previousEventId)
    );
  }

  return {
    push: chunk => {
      const count = scanner.scan(chunk);
      started ||= count > 0;
      // Comments before the first event wait for it: the response of another
      // upstream may still replace this one.
      const completeEnd = started ? scanner.end() : scanner.eventEnd();
      if (completeEnd === 0) {
        pending.add(chunk);
        return undefined;
      }
      const bytes =
        pending.sizeBytes === 0
          ? chunk
          : Buffer.concat([pending.take(), chunk]);
      const complete = bytes.subarray(0, completeEnd);
      pending.add(bytes.subarray(completeEnd));
      scanner.drop(completeEnd);
      // A block with an id is an event.
      const ids = count > 0 ? eventIds(complete) : [];
      repeatsEvents ||= isRepeated(ids);
      if (repeatsEvents) return undefined;
      lastEventId = ids.at(-1) ?? lastEventId;
      return {bytes: complete, count};
    },
    repeatsEvents: () => repeatsEvents,
    pendingBytes: () => pending.sizeBytes,
    lastEventId: () => lastEventId,
  };
}
