/**
 * Estimates which upstreams have a prompt prefix in their cache. All instances
 * compute the same ranking of upstreams for a prefix by rendezvous hashing, so
 * a prefix is prefilled on one upstream without messages between instances.
 * When the preferred upstream was busy, the instance records for a limited time
 * where it sent the prefix instead.
 */
import type {UpstreamId} from '@toucanrouter/common';
import {hash32} from '@toucanrouter/common';
import {getOrCreate} from '../GetOrCreate.js';
import type {Prompt} from './Prompt.js';

/** Tracks which upstreams are likely to have a prefix in their cache. */
export interface PrefixAffinity {
  /** Ranks the upstreams for a prefix; the first one is preferred. */
  rankUpstreams(
    prefixId: string,
    upstreams: readonly UpstreamId[],
  ): readonly UpstreamId[];
  /** True when this instance recently sent the prefix to the upstream. */
  sentRecently(prefixId: string, upstream: UpstreamId, nowMs: number): boolean;
  recordSent(prefixId: string, upstream: UpstreamId, nowMs: number): void;
}

/** An unused prefix is assumed to be evicted from an engine after this time. */
const prefixCacheLifetimeMs = 10_000;
/** Bounds memory; the least recently sent prefix is dropped first. */
const maxTrackedPrefixes = 4_000;

/** Combines two hashes with the finalizer of MurmurHash3. */
function mixHashes(left: number, right: number): number {
  let hash = (left ^ right) >>> 0;
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * Returns the id of the prefix that a request is placed by: the longest prefix
 * that other requests may share, or else its only segment.
 */
export function placementPrefixId(prompt: Prompt): string | undefined {
  return (prompt.segments.at(-2) ?? prompt.segments.at(-1))?.id;
}

/** Creates an affinity without recorded prefixes. */
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
      const sentAtMsByUpstream =
        sentAtMsByPrefix.get(prefixId) ?? new Map<UpstreamId, number>();
      sentAtMsByUpstream.set(upstream, nowMs);
      sentAtMsByPrefix.delete(prefixId);
      sentAtMsByPrefix.set(prefixId, sentAtMsByUpstream);
      if (sentAtMsByPrefix.size > maxTrackedPrefixes) {
        const [oldest] = sentAtMsByPrefix.keys();
        if (oldest !== undefined) sentAtMsByPrefix.delete(oldest);
      }
    },
  };
}
