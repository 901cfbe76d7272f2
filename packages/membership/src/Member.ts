/**
 * Records of router instances, as stored and gossiped by their peers.
 */
import type {InstanceId} from '@toucanrouter/common';

/**
 * Within one incarnation, an instance never goes from `leaving` back to `live`.
 */
export type MemberState = 'leaving' | 'live';

/** Properties of an instance that spread through the fleet. */
export interface MemberRecord {
  readonly instanceId: InstanceId;
  readonly peerAddress: string;
  readonly region: string;
  readonly failureDomain: string;
  /** Increases when the instance restarts. */
  readonly incarnation: number;
  readonly state: MemberState;
}

/** A member record in a heartbeat of another instance. */
export interface GossipEntry {
  readonly member: MemberRecord;
  /** Age of the last evidence that the member is alive, direct or by gossip. */
  readonly heardAgoMs: number;
}
