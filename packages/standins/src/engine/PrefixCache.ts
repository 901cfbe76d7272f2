/**
 * A bounded LRU cache of prompt prefixes in blocks of fixed size, as inference
 * engines use it.
 */
import {hash64} from '@toucanrouter/common';

/** Caches recently processed prompt prefixes. */
export interface PrefixCache {
  /**
   * Returns the number of leading characters that were cached, then caches the
   * prompt.
   */
  matchAndInsert(prompt: string): number;
}

const blockChars = 256;

/** Creates a cache that holds at most `maxBlocks` blocks. */
export function createPrefixCache(maxBlocks: number): PrefixCache {
  // A Map iterates in insertion order, so its first key is the least recently
  // used block.
  const blocks = new Map<bigint, true>();

  function touch(key: bigint): boolean {
    const wasCached = blocks.delete(key);
    blocks.set(key, true);
    return wasCached;
  }

  function evict(): void {
    for (const key of blocks.keys()) {
      if (blocks.size <= maxBlocks) return;
      blocks.delete(key);
    }
  }

  return {
    matchAndInsert: prompt => {
      let cachedChars = 0;
      let isPrefixCached = true;
      let chainedHash = 0n;
      for (
        let offset = 0;
        offset + blockChars <= prompt.length;
        offset += blockChars
      ) {
        chainedHash = hash64(
          `${chainedHash}:${prompt.slice(offset, offset + blockChars)}`,
        );
        isPrefixCached = touch(chainedHash) && isPrefixCached;
        if (isPrefixCached) cachedChars += blockChars;
      }
      evict();
      return cachedChars;
    },
  };
}
