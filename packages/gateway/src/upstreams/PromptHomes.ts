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
export interface PromptHomes {
  /** The upstreams of a part; the first one is its home. */
  rank(partId: string, upstreams: readonly UpstreamId[]): readonly UpstreamId[];
  /** True when this instance sent the part there recently. */
  sentRecently(partId: string, upstream: UpstreamId, nowMs: number): boolean;
  sent(partId: string, upstream: UpstreamId, nowMs: number): void;
}

/** Engines evict unused parts; after this time one is taken to be gone. */
const keptForMs = 10_000;
/** Bounds the memory of parts; the oldest ones are forgotten. */
const maxRememberedParts = 4_000;

/** Mixes two hashes into one; the finalizer of MurmurHash3. */
function mix(left: number, right: number): number {
  let hash = (left ^ right) >>> 0;
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * The part by which a request is placed: the longest run of parts that it
 * shares, named by the last of them.
 */
export function placementPart(prompt: Prompt): string | undefined {
  return (prompt.parts.at(-2) ?? prompt.parts.at(-1))?.id;
}

/** Creates homes without memory. */
export function createPromptHomes(): PromptHomes {
  const upstreamHashes = new Map<UpstreamId, number>();
  const sentAtMs = new Map<string, Map<UpstreamId, number>>();

  const hashOf = (upstream: UpstreamId) =>
    getOrCreate(upstreamHashes, upstream, () => hash32(upstream));

  return {
    rank: (partId, upstreams) => {
      const partHash = hash32(partId);
      return upstreams
        .map(id => ({id, weight: mix(partHash, hashOf(id))}))
        .sort((a, b) => b.weight - a.weight)
        .map(({id}) => id);
    },
    sentRecently: (partId, upstream, nowMs) =>
      nowMs - (sentAtMs.get(partId)?.get(upstream) ?? -Infinity) < keptForMs,
    sent: (partId, upstream, nowMs) => {
      const places = sentAtMs.get(partId) ?? new Map<UpstreamId, number>();
      places.set(upstream, nowMs);
      sentAtMs.delete(partId);
      sentAtMs.set(partId, places);
      if (sentAtMs.size > maxRememberedParts) {
        const [oldest] = sentAtMs.keys();
        if (oldest !== undefined) sentAtMs.delete(oldest);
      }
    },
  };
}
