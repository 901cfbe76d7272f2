/**
 * A map of bounded size. The scheduler keeps its records of past requests in
 * such maps, for instance ended attempts and permits, so that a late or
 * duplicate message about one of them does not start it again.
 */

/** A map that evicts the entries that were set least recently. */
export interface BoundedMap<Key, Value> {
  get(key: Key): Value | undefined;
  has(key: Key): boolean;
  set(key: Key, value: Value): void;
  delete(key: Key): void;
  /** Returns the values that the map holds now. */
  values(): readonly Value[];
  readonly size: number;
}

/** Creates a map of at most `capacity` entries. */
export function createBoundedMap<Key, Value>(
  capacity: number,
): BoundedMap<Key, Value> {
  const entries = new Map<Key, Value>();

  function evictOldest(): void {
    for (const key of entries.keys()) {
      if (entries.size <= capacity) return;
      entries.delete(key);
    }
  }

  return {
    get: key => entries.get(key),
    has: key => entries.has(key),
    set: (key, value) => {
      entries.delete(key);
      entries.set(key, value);
      evictOldest();
    },
    delete: key => {
      entries.delete(key);
    },
    values: () => [...entries.values()],
    get size() {
      return entries.size;
    },
  };
}
