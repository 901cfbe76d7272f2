/**
 * Non-cryptographic hashing (xxHash64) with the same results on all instances.
 */
import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** Returns the 64-bit hash of a string. */
export function hash64(text: string): bigint {
  return hasher.h64(text);
}

const low32Bits = 0xffffffffn;

/** Returns the low 32 bits of the hash of a string, as a number. */
export function hash32(text: string): number {
  return Number(hash64(text) & low32Bits);
}

/** Returns the index of `key` among `count` partitions. */
export function partitionOf(key: string, count: number): number {
  return Number(hash64(key) % BigInt(count));
}
