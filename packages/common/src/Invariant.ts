/**
 * Assertions of conditions that only a programming error can violate.
 */

/** Throws when `condition` is false. `message` states what must hold. */
export function invariant(
  condition: unknown,
  message: string,
): asserts condition {
  if (!condition) throw new Error(`Invariant violation: ${message}`);
}
