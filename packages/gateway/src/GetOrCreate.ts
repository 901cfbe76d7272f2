/**
 * Lazily creates the values of a map.
 */

/** Returns the value of `key`; stores the result of `create` if it has none. */
export function getOrCreate<Key, Value>(
  values: Map<Key, Value>,
  key: Key,
  create: () => Value,
): Value {
  const existing = values.get(key);
  if (existing !== undefined) return existing;
  const value = create();
  values.set(key, value);
  return value;
}
