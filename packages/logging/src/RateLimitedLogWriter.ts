/**
 * Writes log lines in batches at a limited rate and never blocks on a slow
 * reader of standard output. Excess lines are dropped and their number is
 * logged. Warnings and errors bypass the rate limit, since they are rare and
 * needed.
 */
import type {Clock} from '@toucanrouter/common';

/** Writes to a stream; returns false when the stream signals backpressure. */
export type WriteChunk = (text: string) => boolean;

/** Options of a log writer. */
export interface RateLimitedLogWriterOptions {
  readonly clock: Clock;
  readonly write: WriteChunk;
  readonly maxLinesPerSecond?: number;
}

/** Buffers lines and writes them in batches. */
export interface RateLimitedLogWriter {
  /** Buffers a line, or drops it when a limit is exceeded. */
  add(line: string, bypassRateLimit: boolean): void;
  /** Resumes writing; to be called on the `drain` event of the stream. */
  onDrain(): void;
  /** Writes the buffered lines, unless the stream signaled backpressure. */
  flush(): void;
  /** Stops the flush timer and writes the buffered lines. */
  close(): void;
}

/** Allows two lines per request at the highest request rate of an instance. */
const defaultMaxLinesPerSecond = 300;
/** Batches lines, because each write costs a system call. */
const flushIntervalMs = 100;
/** Lines buffered while the reader of the log is stalled; more are dropped. */
const maxBacklogLines = 2_000;
/** The same in characters, since callers choose a part of each line. */
const maxBacklogChars = 1024 * 1024;
const secondMs = 1_000;

/** Creates a log writer and starts its flush timer. */
export function createRateLimitedLogWriter(
  options: RateLimitedLogWriterOptions,
): RateLimitedLogWriter {
  const {clock, write} = options;
  const maxLines = options.maxLinesPerSecond ?? defaultMaxLinesPerSecond;
  let lines: string[] = [];
  let backlogChars = 0;
  let blocked = false;
  let windowStartMs = clock.nowMs();
  let linesInWindow = 0;
  let dropped = 0;

  function flush(): void {
    if (blocked) return;
    if (dropped > 0) {
      lines.push(
        JSON.stringify({level: 'warn', message: 'log lines dropped', dropped}),
      );
      dropped = 0;
    }
    if (lines.length === 0) return;
    const text = `${lines.join('\n')}\n`;
    lines = [];
    backlogChars = 0;
    blocked = !write(text);
  }

  const cancelFlushTimer = clock.every(flushIntervalMs, flush);
  return {
    add: (line, bypassRateLimit) => {
      const nowMs = clock.nowMs();
      if (nowMs - windowStartMs >= secondMs) {
        windowStartMs = nowMs;
        linesInWindow = 0;
      }
      const exceedsRate = !bypassRateLimit && linesInWindow >= maxLines;
      const exceedsBacklog =
        lines.length >= maxBacklogLines ||
        backlogChars + line.length > maxBacklogChars;
      if (exceedsRate || exceedsBacklog) {
        dropped += 1;
        return;
      }
      linesInWindow += 1;
      lines.push(line);
      backlogChars += line.length;
    },
    onDrain: () => {
      blocked = false;
    },
    flush,
    close: () => {
      cancelFlushTimer();
      flush();
    },
  };
}
