/**
 * Logs uncaught errors of a process that continues after them, each with their
 * number so far. A fault that repeats must not spend the processor on its log, so
 * that only one error an interval is logged.
 */
import type {Clock} from '@toucanrouter/common';
import type {Logger} from './Logger.js';

const logIntervalMs = 1_000;

function describe(error: unknown): string {
  if (error instanceof Error) return error.stack ?? error.message;
  return typeof error === 'string' ? error : typeof error;
}

/** Returns a function that counts and logs an error; it never throws. */
export function createUncaughtErrorLog(
  clock: Clock,
  logger: Pick<Logger, 'error'>,
): (error: unknown) => void {
  let count = 0;
  let loggedAtMs = -Infinity;
  return error => {
    count += 1;
    const nowMs = clock.nowMs();
    if (nowMs - loggedAtMs < logIntervalMs) return;
    loggedAtMs = nowMs;
    try {
      logger.error('uncaught exception; the process continues', {
        error: describe(error),
        count,
      });
    } catch {
      // An error here would end the process, and there is nowhere to log it.
    }
  };
}
