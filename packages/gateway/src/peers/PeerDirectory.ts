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
  /** Sets the failure domain of a peer, or removes it. */
  putDomain(instanceId: InstanceId, failureDomain: string | undefined): void;
  remove(instanceId: InstanceId): void;
  addresses(): readonly ListenAddress[];
  /** The registered peers, also those that are silent. */
  ids(): readonly InstanceId[];
  /** Returns the address of a peer; undefined if it is not registered. */
  addressOf(instanceId: InstanceId): ListenAddress | undefined;
  /** Returns the peer that is registered with this address. */
  peerAt(address: ListenAddress): InstanceId | undefined;
  /** Returns the peers of a failure domain. */
  inDomain(failureDomain: string): readonly PeerEntry[];
}

/** Creates a directory that leaves out the instance `selfId`. */
export function createPeerDirectory(selfId: InstanceId): PeerDirectory {
  const entries = new Map<InstanceId, ListenAddress>();
  const domains = new Map<InstanceId, string>();
  let addresses: readonly ListenAddress[] = [];
  let idsByAddress: ReadonlyMap<string, InstanceId> = new Map();

  const toText = ({host, port}: ListenAddress) => `${host}:${port}`;

  const refresh = () => {
    addresses = [...entries.values()];
    idsByAddress = new Map(
      [...entries].map(([instanceId, address]) => [
        toText(address),
        instanceId,
      ]),
    );
  };

  return {
    put: ({address, instanceId}) => {
      if (instanceId === selfId) return;
      entries.set(instanceId, address);
      refresh();
    },
    putDomain: (instanceId, failureDomain) => {
      if (failureDomain === undefined) domains.delete(instanceId);
      else domains.set(instanceId, failureDomain);
    },
    remove: instanceId => {
      entries.delete(instanceId);
      refresh();
    },
    addresses: () => addresses,
    ids: () => [...entries.keys()],
    addressOf: instanceId => entries.get(instanceId),
    peerAt: address => idsByAddress.get(toText(address)),
    inDomain: failureDomain =>
      [...entries].flatMap(([instanceId, address]) =>
        domains.get(instanceId) === failureDomain
          ? [{instanceId, address}]
          : [],
      ),
  };
}
