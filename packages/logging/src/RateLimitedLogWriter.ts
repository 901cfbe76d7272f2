/**
 * Writes log lines without ever waiting for the reader of standard output, and
 * with a bound on their rate. Lines beyond the bound are counted and the count
 * is logged. Errors and starts pass the bound, since they are rare and needed.
 */
import type {Clock} from '@toucanrouter/common';

/** Where lines go; false when the stream has a backlog. */
export type WriteChunk = (text: string) => boolean;

/** Options of bounded lines. */
export interface RateLimitedLogWriterOptions {
  readonly clock: Clock;
  readonly write: WriteChunk;
  readonly maxLinesPerSecond?: number;
}

/** Collects lines and writes them in batches. */
export interface RateLimitedLogWriter {
  /** Takes a line; `always` passes the bound on the rate. */
  add(line: string, bypassRateLimit: boolean): void;
  /** The stream has no backlog any more. */
  onDrain(): void;
  /** Writes what is collected. */
  flush(): void;
  close(): void;
}

/** Enough for two lines a request at the highest rate of one instance. */
const defaultMaxLinesPerSecond = 300;
/** Writes are gathered for this long; each write costs a system call. */
const flushIntervalMs = 100;
/** Lines kept while the reader of the log does not read. */
const maxBacklogLines = 2_000;
const secondMs = 1_000;

/** Creates an empty collector. */
export function createRateLimitedLogWriter(
  options: RateLimitedLogWriterOptions,
): RateLimitedLogWriter {
  const {clock, write} = options;
  const maxLines = options.maxLinesPerSecond ?? defaultMaxLinesPerSecond;
  let pendingLines: string[] = [];
  let hasBackpressure = false;
  let windowStartMs = clock.nowMs();
  let linesInWindow = 0;
  let dropped = 0;

  function flush(): void {
    if (hasBackpressure) return;
    if (dropped > 0) {
      pendingLines.push(
        JSON.stringify({level: 'warn', message: 'log lines dropped', dropped}),
      );
      dropped = 0;
    }
    if (pendingLines.length === 0) return;
    const text = `${pendingLines.join('\n')}\n`;
    pendingLines = [];
    hasBackpressure = !write(text);
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
      if (exceedsRate || pendingLines.length >= maxBacklogLines) {
        dropped += 1;
        return;
      }
      linesInWindow += 1;
      pendingLines.push(line);
    },
    onDrain: () => {
      hasBackpressure = false;
    },
    flush,
    close: () => {
      cancelFlushTimer();
      flush();
    },
  };
}
