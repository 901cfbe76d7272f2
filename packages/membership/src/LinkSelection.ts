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
  known: readonly MemberRecord[],
  owners: ReadonlySet<InstanceId>,
): readonly MemberRecord[] {
  const others = known.filter(m => m.instanceId !== self.instanceId);
  const gossip = rankMembers(`links of ${self.instanceId}`, others);
  const chosen = new Set<MemberRecord>(gossip.slice(0, gossipLinkCount));
  for (const member of others) {
    if (owners.has(member.instanceId)) chosen.add(member);
  }
  return [...chosen];
}
