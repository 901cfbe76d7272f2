/**
 * Bounds the values of a JSON text before it is parsed. A value of two bytes
 * occupies over ten times its size once it is parsed, so that a bound on the
 * size of a text alone does not bound memory.
 */

/** Texts with more values are not parsed. */
const maxValues = 500_000;
const valueSeparators = new Set(
  [...',[{'].map(character => character.charCodeAt(0)),
);
const quote = '"'.charCodeAt(0);
const backslash = '\\'.charCodeAt(0);

/**
 * True if a JSON text has more values than may be parsed. Text within strings
 * does not count: strings may hold JSON themselves, which is not parsed with
 * them.
 */
export function hasTooManyValues(text: string): boolean {
  if (text.length <= maxValues) return false;
  let count = 0;
  let isInString = false;
  for (let at = 0; at < text.length && count <= maxValues; at += 1) {
    const code = text.charCodeAt(at);
    if (code === quote) isInString = !isInString;
    else if (isInString) at += code === backslash ? 1 : 0;
    else if (valueSeparators.has(code)) count += 1;
  }
  return count > maxValues;
}
