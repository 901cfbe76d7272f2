/**
 * Remembers a bounded number of ended attempts and permits, so that a late or
 * repeated message about one of them does not start it again.
 */

/** A bounded map that forgets its oldest entries first. */
export interface BoundedMap<Key, Value> {
  get(key: Key): Value | undefined;
  has(key: Key): boolean;
  set(key: Key, value: Value): void;
  delete(key: Key): void;
  readonly size: number;
}

/** Creates a memory of at most `capacity` entries. */
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
    get size() {
      return entries.size;
    },
  };
}
