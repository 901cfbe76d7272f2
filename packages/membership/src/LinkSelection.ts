/**
 * Selects the peers that an instance keeps links to: all peers in a small
 * fleet, and a bounded number in a large one, so that the cost of heartbeats
 * doesn't grow with the fleet.
 */
import type {InstanceId} from '@toucanrouter/common';
import type {MemberRecord} from './Member.js';
import {rankMembers} from './Rendezvous.js';

/** Number of links for gossip of membership and configuration. */
export const gossipLinkCount = 6;

/**
 * Returns the owners of the resources in use and up to `gossipLinkCount` other
 * peers. Each instance ranks the peers differently, which spreads the links
 * over the fleet.
 */
export function selectLinks(
  self: MemberRecord,
  knownMembers: readonly MemberRecord[],
  owners: ReadonlySet<InstanceId>,
): readonly MemberRecord[] {
  const peers = knownMembers.filter(
    member => member.instanceId !== self.instanceId,
  );
  const rankedPeers = rankMembers(`links of ${self.instanceId}`, peers);
  const selected = new Set<MemberRecord>(rankedPeers.slice(0, gossipLinkCount));
  for (const member of peers) {
    if (owners.has(member.instanceId)) selected.add(member);
  }
  return [...selected];
}
