/**
 * Converts router instances of the platform's instance list to members.
 */
import type {InstanceId} from '@toucanrouter/common';
import type {MemberRecord} from '@toucanrouter/membership';
import type {RouterPeer} from '@toucanrouter/keyvalue';

/**
 * The platform's incarnation numbers are not comparable with those of the
 * instances. With the lowest number a list entry introduces an instance that
 * is not known yet, but never overrides what the instance itself reported.
 */
const listedIncarnation = 0;

/** Converts entries of the list to member records, without this instance. */
export function toListedMembers(
  routers: readonly RouterPeer[],
  selfId: InstanceId,
): readonly MemberRecord[] {
  return routers
    .filter(router => router.instanceId !== selfId)
    .map(router => ({
      instanceId: router.instanceId,
      peerAddress: router.peerAddress,
      region: router.region,
      failureDomain: router.failureDomain,
      incarnation: listedIncarnation,
      state: router.leaving ? 'leaving' : 'live',
    }));
}
