/**
 * Where the shared parts of prompts are kept. Every instance ranks the
 * upstreams of a part alike by rendezvous hashing, so a part is read at one
 * upstream without any message between the instances. What this instance sent
 * elsewhere, because the first choice was busy, is remembered for a while.
 */
import type {UpstreamId} from '@toucanrouter/common';
import {hash32} from '@toucanrouter/common';
import {getOrCreate} from '../GetOrCreate.js';
import type {Prompt} from './Prompt.js';

/** Knows which upstreams are likely to hold a shared part. */
export interface PrefixAffinity {
  /** The upstreams of a part; the first one is its home. */
  rankUpstreams(
    prefixId: string,
    upstreams: readonly UpstreamId[],
  ): readonly UpstreamId[];
  /** True when this instance sent the part there recently. */
  sentRecently(prefixId: string, upstream: UpstreamId, nowMs: number): boolean;
  recordSent(prefixId: string, upstream: UpstreamId, nowMs: number): void;
}

/** Engines evict unused parts; after this time one is taken to be gone. */
const prefixCacheLifetimeMs = 10_000;
/** Bounds the memory of parts; the oldest ones are forgotten. */
const maxTrackedPrefixes = 4_000;

/** Mixes two hashes into one; the finalizer of MurmurHash3. */
function mixHashes(left: number, right: number): number {
  let hash = (left ^ right) >>> 0;
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * The part by which a request is placed: the longest run of parts that it
 * shares, named by the last of them.
 */
export function placementPrefixId(prompt: Prompt): string | undefined {
  return (prompt.segments.at(-2) ?? prompt.segments.at(-1))?.id;
}

/** Creates homes without memory. */
export function createPrefixAffinity(): PrefixAffinity {
  const upstreamHashes = new Map<UpstreamId, number>();
  const sentAtMsByPrefix = new Map<string, Map<UpstreamId, number>>();

  const hashOf = (upstream: UpstreamId) =>
    getOrCreate(upstreamHashes, upstream, () => hash32(upstream));

  return {
    rankUpstreams: (prefixId, upstreams) => {
      const prefixHash = hash32(prefixId);
      return upstreams
        .map(id => ({id, weight: mixHashes(prefixHash, hashOf(id))}))
        .sort((a, b) => b.weight - a.weight)
        .map(({id}) => id);
    },
    sentRecently: (prefixId, upstream, nowMs) =>
      nowMs - (sentAtMsByPrefix.get(prefixId)?.get(upstream) ?? -Infinity) <
      prefixCacheLifetimeMs,
    recordSent: (prefixId, upstream, nowMs) => {
      const sentTo =
        sentAtMsByPrefix.get(prefixId) ?? new Map<UpstreamId, number>();
      sentTo.set(upstream, nowMs);
      sentAtMsByPrefix.delete(prefixId);
      sentAtMsByPrefix.set(prefixId, sentTo);
      if (sentAtMsByPrefix.size > maxTrackedPrefixes) {
        const [oldest] = sentAtMsByPrefix.keys();
        if (oldest !== undefined) sentAtMsByPrefix.delete(oldest);
      }
    },
  };
}
