/**
 * A bounded cache of prompt prefixes, in blocks, as engines keep them.
 */
import {hash64} from '@toucanrouter/common';

/** Remembers which prompt prefixes were processed lately. */
export interface PrefixCache {
  /** Returns how many leading characters are cached, and caches the prompt. */
  visit(prompt: string): number;
}

const blockChars = 256;

/** Creates a cache that holds at most `maxBlocks` blocks. */
export function createPrefixCache(maxBlocks: number): PrefixCache {
  // A Map iterates in insertion order, so its first key is the oldest block.
  const blocks = new Map<bigint, true>();

  function touch(key: bigint): boolean {
    const known = blocks.delete(key);
    blocks.set(key, true);
    return known;
  }

  function evict(): void {
    for (const key of blocks.keys()) {
      if (blocks.size <= maxBlocks) return;
      blocks.delete(key);
    }
  }

  return {
    visit: prompt => {
      let cachedChars = 0;
      let unbroken = true;
      let chain = 0n;
      for (let at = 0; at + blockChars <= prompt.length; at += blockChars) {
        chain = hash64(`${chain}:${prompt.slice(at, at + blockChars)}`);
        unbroken = touch(chain) && unbroken;
        if (unbroken) cachedChars += blockChars;
      }
      evict();
      return cachedChars;
    },
  };
}
