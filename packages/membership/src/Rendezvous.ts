/**
 * Rendezvous hashing. Instances with the same view of the members rank them for
 * a resource in the same order, and the loss of a member moves only its own
 * resources.
 */
import {hash64} from '@toucanrouter/common';
import type {MemberRecord} from './Member.js';

/** Returns the members by their hash with `resource`, highest first. */
export function rankMembers(
  resource: string,
  members: readonly MemberRecord[],
): readonly MemberRecord[] {
  return members
    .map(member => ({
      member,
      weight: hash64(`${resource}\n${member.instanceId}`),
    }))
    .sort((a, b) => compareWeights(b.weight, a.weight))
    .map(ranked => ranked.member);
}

/**
 * Returns the member that owns `resource`. Leaving members own nothing unless
 * all members are leaving.
 */
export function ownerOf(
  resource: string,
  members: readonly MemberRecord[],
): MemberRecord | undefined {
  const live = members.filter(member => member.state === 'live');
  return rankMembers(resource, live.length > 0 ? live : members)[0];
}

function compareWeights(a: bigint, b: bigint): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
