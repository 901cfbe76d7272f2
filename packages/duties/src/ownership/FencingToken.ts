/**
 * Fencing tokens of the duties. A token grows whenever the owner changes. The
 * revision of the write that takes the duties grows within one history of the
 * store; the era grows from one history to the next, in which revisions are given
 * out again. Together they never repeat, and no token of a write that the store
 * has lost is used by another holder.
 */
declare const brand: unique symbol;

/** Orders the owners of the duties; a higher one is later. */
export type FencingToken = number & {readonly [brand]: 'FencingToken'};

/** Revisions in one era; a store that makes 10,000 changes a second lasts 79 days. */
const revisionsPerEra = 2 ** 36;
/** Tokens stay below 2^53, up to which numbers are exact. */
const maxEra = 2 ** 17 - 1;

/** Returns the token of a write; undefined if a number is out of range. */
export function toFencingToken(
  era: number | undefined,
  revision: number,
): FencingToken | undefined {
  const knownEra = era ?? 0;
  const isInRange =
    Number.isSafeInteger(knownEra) &&
    knownEra >= 0 &&
    knownEra <= maxEra &&
    Number.isSafeInteger(revision) &&
    revision > 0 &&
    revision < revisionsPerEra;
  return isInRange
    ? ((knownEra * revisionsPerEra + revision) as FencingToken)
    : undefined;
}
