/**
 * Simulates a fleet of the daemon's `createFleet` on one manual clock, with
 * links that deliver messages after a fixed delay.
 */
import type {InstanceId, ManualClock, StoredConfig} from '@toucanrouter/common';
import {createManualClock} from '@toucanrouter/common';
import type {Fleet} from '@toucanrouter/daemon';
import {createFleet} from '@toucanrouter/daemon';
import type {MemberRecord} from '@toucanrouter/membership';
import {createMemberTable} from '@toucanrouter/membership';
import type {Envelope, PeerHub, ReceivedEnvelope} from '@toucanrouter/peer';
import {sampleMember, sampleResources} from './SampleMembers.js';

/** One instance of a simulated fleet. */
export interface SimulatedInstance {
  readonly fleet: Fleet;
  readonly links: () => number;
  readonly config: () => StoredConfig | undefined;
  offer(config: StoredConfig): void;
  /** Number of configurations received from peers. */
  readonly configsReceived: () => number;
  start(): void;
}

/** A fleet of instances with simulated links. */
export interface SimulatedFleet {
  readonly clock: ManualClock;
  readonly instances: readonly SimulatedInstance[];
}

const deliveryDelayMs = 5;

type FleetsById = Map<InstanceId, Fleet>;
type LinkTable = Map<InstanceId, Set<InstanceId>>;

function linksOf(table: LinkTable, id: InstanceId): Set<InstanceId> {
  let links = table.get(id);
  if (links === undefined) {
    links = new Set();
    table.set(id, links);
  }
  return links;
}

/** Converts a message to its received form without encoding it. */
function toReceived(envelope: Envelope): ReceivedEnvelope {
  return envelope as unknown as ReceivedEnvelope;
}

function createSimulatedHub(
  clock: ManualClock,
  network: FleetsById,
  links: LinkTable,
  self: Fleet,
): PeerHub {
  let dialedIds = new Set<InstanceId>();
  const ownLinks = linksOf(links, self.selfId);
  let sentMessages = 0;

  function deliver(to: InstanceId, envelope: Envelope): void {
    sentMessages += 1;
    clock.after(deliveryDelayMs, () =>
      network.get(to)?.receive(self.selfId, toReceived(envelope)),
    );
  }

  return {
    port: 0,
    setTargets: targets => {
      const targetIds = new Set<InstanceId>();
      for (const {instanceId} of targets) {
        if (instanceId !== undefined) targetIds.add(instanceId);
      }
      for (const id of targetIds) {
        ownLinks.add(id);
        linksOf(links, id).add(self.selfId);
      }
      for (const id of dialedIds) {
        if (targetIds.has(id)) continue;
        ownLinks.delete(id);
        linksOf(links, id).delete(self.selfId);
      }
      dialedIds = targetIds;
    },
    send: (to, envelope) => {
      deliver(to, envelope);
      return true;
    },
    sendHeartbeats: () => {
      const heartbeat = self.createHeartbeat();
      for (const id of ownLinks) deliver(id, {heartbeat});
    },
    linkedPeers: () => [...ownLinks],
    traffic: () => ({sentMessages, receivedMessages: 0}),
    close: () => {},
  };
}

function createSimulatedInstance(
  clock: ManualClock,
  network: FleetsById,
  links: LinkTable,
  index: number,
  members: readonly MemberRecord[],
): SimulatedInstance {
  const self = sampleMember(index);
  let config: StoredConfig | undefined;
  let configsReceived = 0;

  function offer(offered: StoredConfig): void {
    if (offered.version > (config?.version ?? 0)) config = offered;
  }

  const fleet = createFleet({
    clock,
    table: createMemberTable(self),
    seedPeers: [],
    currentConfig: () => config,
    offerConfig: offered => {
      configsReceived += 1;
      offer(offered);
    },
    leavingUpstreams: () => [],
    onLeavingUpstream: () => {},
  });
  network.set(self.instanceId, fleet);
  const resources = sampleResources();
  fleet.registerViewHandler(() => {
    for (const resource of resources) fleet.owner(resource);
  });
  fleet.addListedMembers(members.map(member => ({...member, incarnation: 0})));
  return {
    fleet,
    links: () => linksOf(links, self.instanceId).size,
    config: () => config,
    offer,
    configsReceived: () => configsReceived,
    start: () => fleet.start(createSimulatedHub(clock, network, links, fleet)),
  };
}

/**
 * Starts a fleet. Instance starts are staggered over 150 ms, so that their
 * heartbeats are spread over the heartbeat interval.
 */
export function createSimulatedFleet(count: number): SimulatedFleet {
  const startupWindowMs = 150;
  const clock = createManualClock();
  const network: FleetsById = new Map();
  const links: LinkTable = new Map();
  const members = Array.from({length: count}, (_, i) => sampleMember(i));
  const instances = members.map((_, index) =>
    createSimulatedInstance(clock, network, links, index, members),
  );
  instances.forEach((instance, index) => {
    clock.after((startupWindowMs * index) / count, instance.start);
  });
  clock.advance(startupWindowMs);
  return {clock, instances};
}
