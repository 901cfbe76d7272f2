/**
 * Reads the `Retry-After` header of a response. Only delays in seconds are
 * accepted, which may have fractions. A date would depend on the clocks of two
 * machines.
 */

/** What a `Retry-After` header asks for. */
export interface RetryAfter {
  /** Undefined without a header, or if it is not usable. */
  readonly delayMs: number | undefined;
  /** Why the value was not used, or not used as it is. */
  readonly problem: string | undefined;
}

/** A longer delay is a mistake; leaving for good is announced otherwise. */
export const maxRetryAfterMs = 60 * 60 * 1_000;

const secondsPattern = /^\d+(\.\d+)?$/;
const msPerSecond = 1_000;
/** Bounds the part of a value that is logged. */
const maxQuotedLength = 64;

/**
 * Reads the value of a `Retry-After` header. Of several values the longest
 * counts, if each of them is valid.
 */
export function readRetryAfter(
  value: string | readonly string[] | undefined,
): RetryAfter {
  if (value === undefined) return {delayMs: undefined, problem: undefined};
  const text = typeof value === 'string' ? value : value.join(',');
  const values = text.split(',').map(part => part.trim());
  if (!values.every(part => secondsPattern.test(part))) {
    const quoted = JSON.stringify(text.slice(0, maxQuotedLength));
    const problem = `${quoted} is not a number of seconds`;
    return {delayMs: undefined, problem};
  }
  const delayMs = Math.max(...values.map(Number)) * msPerSecond;
  if (delayMs <= maxRetryAfterMs) return {delayMs, problem: undefined};
  const problem = `the delay exceeds ${maxRetryAfterMs} ms`;
  return {delayMs: maxRetryAfterMs, problem};
}
