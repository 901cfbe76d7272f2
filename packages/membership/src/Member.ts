/**
 * What an instance knows of another router instance.
 */
import type {InstanceId} from '@toucanrouter/common';

/** Life cycle of an instance; a later state is never taken back for an incarnation. */
export type MemberState = 'leaving' | 'live';

/** Facts about an instance that spread through the fleet. */
export interface MemberRecord {
  readonly instanceId: InstanceId;
  readonly peerAddress: string;
  readonly region: string;
  readonly failureDomain: string;
  /** Grows when the instance is restarted. */
  readonly incarnation: number;
  readonly state: MemberState;
}

/** A record as one instance passes it to another. */
export interface GossipEntry {
  readonly member: MemberRecord;
  /** Time since the sender, or somebody it heard of, heard from the member. */
  readonly heardAgoMs: number;
}
