/**
 * The fleet as one instance sees it: maintains links and heartbeats, determines
 * which instance owns a resource, and distributes configuration versions and
 * upstreams that are leaving.
 */
import type {Clock, InstanceId, StoredConfig, Undo} from '@toucanrouter/common';
import {toInstanceId, toUpstreamId} from '@toucanrouter/common';
import type {MemberRecord, MemberTable} from '@toucanrouter/membership';
import {ownerOf, rankMembers, selectLinks} from '@toucanrouter/membership';
import type {
  Envelope,
  Heartbeat,
  PeerHub,
  PeerTarget,
  ReceivedEnvelope,
  ReceivedHeartbeat,
  ReceivedMember,
  WireMember,
} from '@toucanrouter/peer';
import {decodeConfig, encodeConfig} from '@toucanrouter/peer';
import type {LeavingUpstream} from './UpstreamDirectory.js';
import {
  configPushIntervalMs,
  heartbeatIntervalMs,
  viewRefreshIntervalMs,
} from './FleetConstants.js';

/** Dependencies of a fleet view. */
export interface FleetOptions {
  readonly clock: Clock;
  readonly table: MemberTable;
  readonly seedPeers: readonly string[];
  readonly currentConfig: () => StoredConfig | undefined;
  readonly offerConfig: (config: StoredConfig) => void;
  readonly leavingUpstreams: () => readonly LeavingUpstream[];
  readonly onLeavingUpstream: (upstream: LeavingUpstream) => void;
}

/** Handles messages of other instances. */
export type EnvelopeHandler = (
  from: InstanceId,
  envelope: ReceivedEnvelope,
) => void;

/** View of the fleet, and messages to its other instances. */
export interface Fleet {
  readonly selfId: InstanceId;
  readonly region: string;
  /** Builds a heartbeat; each new link starts with one. */
  createHeartbeat(): Heartbeat;
  /** Handles a message of another instance. */
  receive(from: InstanceId, envelope: ReceivedEnvelope): void;
  /** Starts links and heartbeats over `hub`, and refreshes of the view. */
  start(hub: PeerHub): void;
  alive(): readonly MemberRecord[];
  /** Other instances, whether alive or suspect. */
  knownPeers(): readonly MemberRecord[];
  /** Returns the instance of this region that owns a resource. */
  owner(resource: string): InstanceId;
  /** Returns the instance that owns a resource shared by all regions. */
  ownerInFleet(resource: string): InstanceId;
  /** Rank of this instance in its region, from 0; -1 if it is not ranked. */
  rank(resource: string): number;
  /** Returns false if there is no link to the instance. */
  send(to: InstanceId, envelope: Envelope): boolean;
  /** Time since an instance's last heartbeat; undefined if there was none. */
  heartbeatAgeMs(instanceId: InstanceId): number | undefined;
  /** Latest configuration version that each instance alive has reported. */
  configVersions(): ReadonlyMap<InstanceId, number>;
  /** Adds the router instances that the platform's instance list names. */
  addListedMembers(members: readonly MemberRecord[]): void;
  registerEnvelopeHandler(handler: EnvelopeHandler): Undo;
  registerViewHandler(handler: () => void): Undo;
  /** Announces to all peers that this instance is leaving. */
  leave(): void;
  close(): void;
}

function toWireMember(member: MemberRecord, heardAgoMs: number): WireMember {
  return {
    instanceId: member.instanceId,
    peerAddress: member.peerAddress,
    region: member.region,
    failureDomain: member.failureDomain,
    incarnation: member.incarnation,
    leaving: member.state === 'leaving',
    heardAgoMs: Math.round(heardAgoMs),
  };
}

function fromWireMember(wire: ReceivedMember): MemberRecord {
  return {
    instanceId: toInstanceId(wire.instanceId),
    peerAddress: wire.peerAddress,
    region: wire.region,
    failureDomain: wire.failureDomain,
    incarnation: wire.incarnation,
    state: wire.leaving ? 'leaving' : 'live',
  };
}

/** Two views with the same signature have the same owners. */
function viewSignatureOf(members: readonly MemberRecord[]): string {
  return members
    .map(member => `${member.instanceId} ${member.region} ${member.state}`)
    .sort()
    .join('\n');
}

/** Creates the fleet view of one instance. */
export function createFleet(options: FleetOptions): Fleet {
  const {clock, table} = options;
  const selfId = table.self().instanceId;
  const envelopeHandlers = new Set<EnvelopeHandler>();
  const viewHandlers = new Set<() => void>();
  const reportedVersions = new Map<InstanceId, number>();
  const lastPushedAtMs = new Map<InstanceId, number>();
  const regionOwners = new Map<string, MemberRecord | undefined>();
  const fleetOwners = new Map<string, MemberRecord | undefined>();
  const undos: Undo[] = [];
  let alive: readonly MemberRecord[] = [table.self()];
  let viewSignature = '';
  let hub: PeerHub | undefined;

  function regionMembers(): readonly MemberRecord[] {
    const {region} = table.self();
    return alive.filter(member => member.region === region);
  }

  /** Caches each owner until the view changes. */
  function cachedOwner(
    cache: Map<string, MemberRecord | undefined>,
    resource: string,
    members: () => readonly MemberRecord[],
  ): MemberRecord | undefined {
    if (!cache.has(resource)) cache.set(resource, ownerOf(resource, members()));
    return cache.get(resource);
  }

  const regionOwner = (resource: string) =>
    cachedOwner(regionOwners, resource, regionMembers);

  const fleetOwner = (resource: string) =>
    cachedOwner(fleetOwners, resource, () => alive);

  function recomputeOwners(): void {
    const regionResources = [...regionOwners.keys()];
    const fleetResources = [...fleetOwners.keys()];
    regionOwners.clear();
    fleetOwners.clear();
    regionResources.forEach(regionOwner);
    fleetResources.forEach(fleetOwner);
  }

  function refreshView(): void {
    const nowMs = clock.nowMs();
    table.evictStaleMembers(nowMs);
    alive = table.alive(nowMs);
    const signature = viewSignatureOf(alive);
    if (signature !== viewSignature) {
      viewSignature = signature;
      recomputeOwners();
    }
    hub?.setTargets(linkTargets());
    for (const handler of viewHandlers) handler();
  }

  function linkTargets(): readonly PeerTarget[] {
    const known = table.known();
    const ownerIds = new Set<InstanceId>();
    for (const owner of [...regionOwners.values(), ...fleetOwners.values()]) {
      if (owner !== undefined) ownerIds.add(owner.instanceId);
    }
    const members = selectLinks(table.self(), known, ownerIds);
    const knownAddresses = new Set(known.map(member => member.peerAddress));
    const ownAddress = table.self().peerAddress;
    const seeds = options.seedPeers.filter(
      address => address !== ownAddress && !knownAddresses.has(address),
    );
    return [
      ...members.map(member => ({
        instanceId: member.instanceId,
        address: member.peerAddress,
      })),
      ...seeds.map(address => ({instanceId: undefined, address})),
    ];
  }

  function createHeartbeat(): Heartbeat {
    return {
      sender: toWireMember(table.self(), 0),
      configVersion: options.currentConfig()?.version ?? 0,
      members: table
        .nextGossip(clock.nowMs())
        .map(entry => toWireMember(entry.member, entry.heardAgoMs)),
      leavingUpstreams: [...options.leavingUpstreams()],
    };
  }

  function receiveHeartbeat(from: InstanceId, wire: ReceivedHeartbeat): void {
    const nowMs = clock.nowMs();
    if (wire.sender) table.recordHeartbeat(fromWireMember(wire.sender), nowMs);
    for (const member of wire.members) {
      const {heardAgoMs} = member;
      table.recordGossip({member: fromWireMember(member), heardAgoMs}, nowMs);
    }
    reportedVersions.set(from, wire.configVersion);
    for (const {upstreamId, incarnation} of wire.leavingUpstreams) {
      options.onLeavingUpstream({
        upstreamId: toUpstreamId(upstreamId),
        incarnation,
      });
    }
    pushConfig(from, wire.configVersion, nowMs);
  }

  function pushConfig(to: InstanceId, peerVersion: number, nowMs: number) {
    const config = options.currentConfig();
    if (config === undefined || config.version <= peerVersion) return;
    const lastPushMs = lastPushedAtMs.get(to) ?? -Infinity;
    if (nowMs - lastPushMs < configPushIntervalMs) return;
    lastPushedAtMs.set(to, nowMs);
    hub?.send(to, encodeConfig(config));
  }

  function receive(from: InstanceId, envelope: ReceivedEnvelope): void {
    if (envelope.heartbeat) receiveHeartbeat(from, envelope.heartbeat);
    else if (envelope.config)
      options.offerConfig(decodeConfig(envelope.config));
    else for (const handler of envelopeHandlers) handler(from, envelope);
  }

  return {
    selfId,
    region: table.self().region,
    createHeartbeat,
    receive,
    start: startedHub => {
      hub = startedHub;
      undos.push(
        clock.every(heartbeatIntervalMs, () => startedHub.sendHeartbeats()),
      );
      undos.push(clock.every(viewRefreshIntervalMs, refreshView));
      refreshView();
    },
    alive: () => alive,
    knownPeers: () => table.known(),
    owner: resource => regionOwner(resource)?.instanceId ?? selfId,
    ownerInFleet: resource => fleetOwner(resource)?.instanceId ?? selfId,
    rank: resource => {
      const ranked = rankMembers(resource, regionMembers());
      return ranked.findIndex(member => member.instanceId === selfId);
    },
    send: (to, envelope) => hub?.send(to, envelope) ?? false,
    heartbeatAgeMs: instanceId =>
      table.heartbeatAgeMs(instanceId, clock.nowMs()),
    configVersions: () => {
      const current = new Map<InstanceId, number>();
      for (const {instanceId} of alive) {
        current.set(instanceId, reportedVersions.get(instanceId) ?? 0);
      }
      current.set(selfId, options.currentConfig()?.version ?? 0);
      return current;
    },
    addListedMembers: members => {
      const nowMs = clock.nowMs();
      for (const member of members) table.addListedMember(member, nowMs);
    },
    registerEnvelopeHandler: handler => {
      envelopeHandlers.add(handler);
      return () => envelopeHandlers.delete(handler);
    },
    registerViewHandler: handler => {
      viewHandlers.add(handler);
      return () => viewHandlers.delete(handler);
    },
    leave: () => {
      table.markLeaving();
      hub?.sendHeartbeats();
      refreshView();
    },
    close: () => {
      for (const undo of undos) undo();
      hub?.close();
    },
  };
}
