/**
 * Maps whose values are created when they are first asked for.
 */

/** Returns the value of `key`, which `create` makes if there is none. */
export function getOrCreate<Key, Value>(
  values: Map<Key, Value>,
  key: Key,
  create: () => Value,
): Value {
  const known = values.get(key);
  if (known !== undefined) return known;
  const value = create();
  values.set(key, value);
  return value;
}
