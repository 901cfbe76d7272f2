/**
 * The other instances of the router, as their entries in the store name them.
 */
import type {InstanceId} from '@toucanrouter/common';
import type {ListenAddress} from '@toucanrouter/settings';

/** An instance that receives load reports. */
export interface PeerEntry {
  readonly instanceId: InstanceId;
  readonly address: ListenAddress;
}

/** The other instances. */
export interface PeerDirectory {
  put(entry: PeerEntry): void;
  remove(instanceId: InstanceId): void;
  addresses(): readonly ListenAddress[];
}

/** Creates a directory that leaves out the instance `selfId`. */
export function createPeerDirectory(selfId: InstanceId): PeerDirectory {
  const entries = new Map<InstanceId, ListenAddress>();
  return {
    put: ({address, instanceId}) => {
      if (instanceId !== selfId) entries.set(instanceId, address);
    },
    remove: instanceId => entries.delete(instanceId),
    addresses: () => [...entries.values()],
  };
}
