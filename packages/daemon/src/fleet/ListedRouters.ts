/**
 * Router instances as the platform's instance list names them.
 */
import type {InstanceId} from '@toucanrouter/common';
import type {MemberRecord} from '@toucanrouter/membership';
import type {RouterPeer} from '@toucanrouter/keyvalue';

/**
 * The platform counts incarnations differently from the instances, so that an
 * entry of the list only introduces an instance that has not been heard yet.
 */
const listedIncarnation = 0;

/** Turns entries of the list into member records, without this instance. */
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
