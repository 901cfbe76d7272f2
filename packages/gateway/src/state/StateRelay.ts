/**
 * Chooses through which instances the store is read. Load pattern: a store that
 * counts and prices each call, read by hundreds of instances. In each failure
 * domain, one instance reads the store and the others read its state; a second
 * one stands in while the first does not respond. An instance only reads from
 * instances that come before it, and whoever finds none reads the store itself.
 */
import type {InstanceId} from '@toucanrouter/common';
import {hash64} from '@toucanrouter/common';
import type {PeerEntry} from '../peers/PeerDirectory.js';

/** The role of an instance in its failure domain. */
export interface RelayRole {
  /** Instances to read from, in order; empty if this one reads the store. */
  readonly sources: readonly PeerEntry[];
  /** True if others read the store through this instance. */
  readonly readsForOthers: boolean;
}

/** In smaller failure domains, each instance reads the store itself. */
const minDomainInstances = 4;
/** Instances that are tried before the store. */
const maxSources = 2;

/** Returns the role of `selfId` beside the peers of its failure domain. */
export function relayRole(
  selfId: InstanceId,
  domainPeers: readonly PeerEntry[],
): RelayRole {
  if (domainPeers.length + 1 < minDomainInstances) {
    return {sources: [], readsForOthers: false};
  }
  const selfRank = hash64(selfId);
  const before = domainPeers
    .map(peer => ({peer, rank: hash64(peer.instanceId)}))
    .filter(({rank}) => rank < selfRank)
    .sort((a, b) => (a.rank < b.rank ? -1 : 1))
    .map(({peer}) => peer);
  return {
    sources: before.slice(0, maxSources),
    readsForOthers: before.length === 0,
  };
}
