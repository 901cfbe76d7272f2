/**
 * Writes the events of a stream to its caller. A write costs several objects in
 * the queue of a response, however small it is, and the queue counts only bytes.
 * So events that arrive together become one write, and those that arrive during
 * a write wait for its end in one block of bytes.
 */
import {createByteCollector} from '@toucanrouter/common';

/** Options of a writer. */
export interface EventWriterOptions {
  /** Writes bytes; calls `done` once they were handed to the system. */
  readonly write: (bytes: Buffer, done: () => void) => void;
  /** Returns from how many unsent bytes on no more are accepted. */
  readonly maxUnsentBytes: () => number;
  /** Calls `run` once the current callback has returned, within the same turn. */
  readonly defer?: (run: () => void) => void;
}

/** Collects events and writes them. */
export interface EventWriter {
  /** Adds events; false asks to wait for the drain. */
  write(events: Buffer): boolean;
  /** Calls `run` once events are accepted again. */
  onDrain(run: () => void): void;
  /** Returns the events that are not written yet, and accepts no more. */
  close(): Buffer;
}

/** Creates a writer without events. */
export function createEventWriter(options: EventWriterOptions): EventWriter {
  const {defer = process.nextTick} = options;
  const waiting = createByteCollector();
  let drainHandlers: (() => void)[] = [];
  let writingBytes = 0;
  let isFlushDue = false;
  let isClosed = false;

  const accepts = () =>
    waiting.sizeBytes + writingBytes < options.maxUnsentBytes();

  function flush(): void {
    isFlushDue = false;
    if (isClosed || writingBytes > 0 || waiting.sizeBytes === 0) return;
    writingBytes = waiting.sizeBytes;
    options.write(waiting.take(), onWritten);
  }

  function onWritten(): void {
    writingBytes = 0;
    flush();
    if (isClosed || !accepts()) return;
    const handlers = drainHandlers;
    drainHandlers = [];
    for (const run of handlers) run();
  }

  return {
    write: events => {
      if (isClosed) return true;
      waiting.add(events);
      if (!isFlushDue && writingBytes === 0) {
        isFlushDue = true;
        defer(flush);
      }
      return accepts();
    },
    onDrain: run => {
      drainHandlers.push(run);
    },
    close: () => {
      isClosed = true;
      drainHandlers = [];
      return waiting.take();
    },
  };
}
