/**
 * Maps whose values are created when they are first asked for.
 */

/** Returns the value of `key`, which `create` makes if there is none. */
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
