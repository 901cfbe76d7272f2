/**
 * Estimates which upstreams have a prompt prefix in their cache. All instances
 * compute the same ranking of upstreams for a prefix by rendezvous hashing, so
 * a prefix is prefilled on one upstream without messages between instances.
 *
 * Load pattern: hundreds of long prefixes, each of which arrives at another
 * instance every time. An instance alone cannot tell a prefix that its preferred
 * engine has read from one that no engine has, and underestimates the queues by
 * the prefill of all first reads. Instances therefore report where they sent
 * long prefixes.
 */
import type {UpstreamId} from '@toucanrouter/common';
import {hash32} from '@toucanrouter/common';
import {getOrCreate} from '../GetOrCreate.js';
import type {PrefixHash, UpstreamShortId} from '../peers/ShortIds.js';
import {prefixHashOf, upstreamShortIdOf} from '../peers/ShortIds.js';
import type {Prompt} from './Prompt.js';

/** A prefix that was sent to an upstream, in short ids. */
export interface SentPrefix {
  readonly prefix: PrefixHash;
  readonly upstream: UpstreamShortId;
}

/** Tracks which upstreams are likely to have a prefix in their cache. */
export interface PrefixAffinity {
  /** Ranks the upstreams for a prefix; the first one is preferred. */
  rankUpstreams(
    prefixId: string,
    upstreams: readonly UpstreamId[],
  ): readonly UpstreamId[];
  /** Returns whether an instance recently sent the prefix to an upstream. */
  sentRecently(
    prefixId: string,
    nowMs: number,
  ): (upstream: UpstreamId) => boolean;
  recordSent(prefixId: string, upstream: UpstreamId, nowMs: number): void;
  /** Like `recordSent`, and includes the prefix in the next report to peers. */
  recordAndReport(prefixId: string, upstream: UpstreamId, nowMs: number): void;
  /** Records what a peer sent. */
  recordPeer(sent: readonly SentPrefix[], nowMs: number): void;
  /** Returns what has not been reported to peers yet. */
  takeUnreported(): readonly SentPrefix[];
  /** Forgets an upstream that stopped; its cache is gone. */
  forget(upstream: UpstreamId): void;
}

/** An unused prefix is assumed to be evicted from an engine after this time. */
const prefixCacheLifetimeMs = 20_000;
/** Bounds memory; the least recently sent prefix is dropped first. */
const maxTrackedPrefixes = 8_000;
/** Bounds the size of a report; the oldest prefixes are left out. */
const maxUnreported = 64;

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
  const shortIds = new Map<UpstreamId, UpstreamShortId>();
  const sentAtMsByPrefix = new Map<PrefixHash, Map<UpstreamShortId, number>>();
  let unreported: SentPrefix[] = [];

  const hashOf = (upstream: UpstreamId) =>
    getOrCreate(upstreamHashes, upstream, () => hash32(upstream));

  const shortIdOfUpstream = (upstream: UpstreamId) =>
    getOrCreate(shortIds, upstream, () => upstreamShortIdOf(upstream));

  function record({prefix, upstream}: SentPrefix, nowMs: number): void {
    const sentAtMs =
      sentAtMsByPrefix.get(prefix) ?? new Map<UpstreamShortId, number>();
    sentAtMs.set(upstream, nowMs);
    sentAtMsByPrefix.delete(prefix);
    sentAtMsByPrefix.set(prefix, sentAtMs);
    if (sentAtMsByPrefix.size > maxTrackedPrefixes) {
      const [oldest] = sentAtMsByPrefix.keys();
      if (oldest !== undefined) sentAtMsByPrefix.delete(oldest);
    }
  }

  function toSent(prefixId: string, upstream: UpstreamId): SentPrefix {
    return {
      prefix: prefixHashOf(prefixId),
      upstream: shortIdOfUpstream(upstream),
    };
  }

  return {
    rankUpstreams: (prefixId, upstreams) => {
      const prefixHash = hash32(prefixId);
      return upstreams
        .map(id => ({id, weight: mixHashes(prefixHash, hashOf(id))}))
        .sort((a, b) => b.weight - a.weight)
        .map(({id}) => id);
    },
    sentRecently: (prefixId, nowMs) => {
      const sentAtMs = sentAtMsByPrefix.get(prefixHashOf(prefixId));
      return upstream => {
        const atMs = sentAtMs?.get(shortIdOfUpstream(upstream)) ?? -Infinity;
        return nowMs - atMs < prefixCacheLifetimeMs;
      };
    },
    recordSent: (prefixId, upstream, nowMs) =>
      record(toSent(prefixId, upstream), nowMs),
    recordAndReport: (prefixId, upstream, nowMs) => {
      const sent = toSent(prefixId, upstream);
      record(sent, nowMs);
      unreported = [...unreported.slice(1 - maxUnreported), sent];
    },
    recordPeer: (sent, nowMs) => {
      for (const item of sent) record(item, nowMs);
    },
    takeUnreported: () => {
      const taken = unreported;
      unreported = [];
      return taken;
    },
    forget: upstream => {
      const shortId = shortIdOfUpstream(upstream);
      for (const sentAtMs of sentAtMsByPrefix.values()) {
        sentAtMs.delete(shortId);
      }
      upstreamHashes.delete(upstream);
      shortIds.delete(upstream);
    },
  };
}
