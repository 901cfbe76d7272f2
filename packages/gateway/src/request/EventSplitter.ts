/**
 * Splits a stream of server-sent events at event boundaries. If an upstream
 * fails within an event, the caller does not receive a partial event, and
 * another upstream can resume after the last complete one.
 */

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
const emptyBuffer = Buffer.alloc(0);
const idLine = /^id:\s*(.*?)\r?$/gm;

/** Blocks of lines that end with a blank line. */
interface CompleteBlocks {
  /** End of the last complete block. */
  readonly end: number;
  /** End of the last event; comment blocks are no events. */
  readonly eventEnd: number;
  /** Number of events. */
  readonly count: number;
}

function hasEventField(line: Buffer): boolean {
  return eventFields.some(
    field => line.subarray(0, field.length).compare(field) === 0,
  );
}

/** Finds the complete blocks at the start of `bytes`. */
function findBlocks(bytes: Buffer): CompleteBlocks {
  let end = 0;
  let eventEnd = 0;
  let count = 0;
  let lineStart = 0;
  let hasField = false;
  for (
    let index = bytes.indexOf(newline);
    index >= 0;
    index = bytes.indexOf(newline, index + 1)
  ) {
    const blank =
      index === lineStart ||
      (index === lineStart + 1 && bytes[lineStart] === carriageReturn);
    if (!blank) hasField ||= hasEventField(bytes.subarray(lineStart, index));
    lineStart = index + 1;
    if (!blank) continue;
    end = lineStart;
    if (!hasField) continue;
    eventEnd = lineStart;
    count += 1;
    hasField = false;
  }
  return {end, eventEnd, count};
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
  let pending: Buffer = emptyBuffer;
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
      const bytes =
        pending.length === 0 ? chunk : Buffer.concat([pending, chunk]);
      const {count, end, eventEnd} = findBlocks(bytes);
      started ||= count > 0;
      // Comments before the first event wait for it: the response of another
      // upstream may still replace this one.
      const completeEnd = started ? end : eventEnd;
      pending = bytes.subarray(completeEnd);
      if (completeEnd === 0) return undefined;
      const complete = bytes.subarray(0, completeEnd);
      const ids = eventIds(complete);
      repeatsEvents ||= isRepeated(ids);
      if (repeatsEvents) return undefined;
      lastEventId = ids.at(-1) ?? lastEventId;
      return {bytes: complete, count};
    },
    repeatsEvents: () => repeatsEvents,
    pendingBytes: () => pending.length,
    lastEventId: () => lastEventId,
  };
}
