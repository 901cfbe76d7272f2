/**
 * Chooses the peers that an instance keeps links to. In a small fleet these
 * are all; in a large one a bounded number, so that the cost of heartbeats
 * does not grow with the fleet.
 */
import type {InstanceId} from '@toucanrouter/common';
import type {MemberRecord} from './Member.js';
import {rankMembers} from './Rendezvous.js';

/** Links kept for the spread of membership and configuration. */
export const gossipLinkCount = 6;

/**
 * Returns the peers to link with: the owners of the resources in use, and a
 * bounded number of others that differ from instance to instance.
 */
export function selectLinks(
  self: MemberRecord,
  knownMembers: readonly MemberRecord[],
  owners: ReadonlySet<InstanceId>,
): readonly MemberRecord[] {
  const peers = knownMembers.filter(m => m.instanceId !== self.instanceId);
  const rankedPeers = rankMembers(`links of ${self.instanceId}`, peers);
  const selected = new Set<MemberRecord>(rankedPeers.slice(0, gossipLinkCount));
  for (const member of peers) {
    if (owners.has(member.instanceId)) selected.add(member);
  }
  return [...selected];
}
