/**
 * The peers of this instance, as registered in the store.
 */
import type {InstanceId} from '@toucanrouter/common';
import type {ListenAddress} from '@toucanrouter/settings';

/** An instance that receives load reports. */
export interface PeerEntry {
  readonly instanceId: InstanceId;
  readonly address: ListenAddress;
}

/** The addresses of peers. */
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
