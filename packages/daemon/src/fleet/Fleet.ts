/**
 * The instance's place in the fleet: it keeps links and heartbeats going,
 * answers which instance owns a resource, and passes on configuration versions
 * and upstreams that are leaving.
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

/** What the fleet needs from the rest of the instance. */
export interface FleetOptions {
  readonly clock: Clock;
  readonly table: MemberTable;
  readonly seedPeers: readonly string[];
  readonly currentConfig: () => StoredConfig | undefined;
  readonly offerConfig: (config: StoredConfig) => void;
  readonly leavingUpstreams: () => readonly LeavingUpstream[];
  readonly onLeavingUpstream: (upstream: LeavingUpstream) => void;
}

/** Receives messages of other instances. */
export type EnvelopeHandler = (
  from: InstanceId,
  envelope: ReceivedEnvelope,
) => void;

/** The fleet as one instance sees it. */
export interface Fleet {
  readonly selfId: InstanceId;
  readonly region: string;
  /** Builds the heartbeat that opens each link. */
  createHeartbeat(): Heartbeat;
  /** Handles a message that a link delivered. */
  receive(from: InstanceId, envelope: ReceivedEnvelope): void;
  /** Starts heartbeats over `hub`. */
  start(hub: PeerHub): void;
  alive(): readonly MemberRecord[];
  /** Other instances, alive or not. */
  known(): readonly MemberRecord[];
  /** The instance that owns a resource in this region. */
  owner(resource: string): InstanceId;
  /** The instance that owns a resource that all regions share. */
  ownerInFleet(resource: string): InstanceId;
  /** Rank of this instance for a resource in this region, from 0. */
  rank(resource: string): number;
  send(to: InstanceId, envelope: Envelope): boolean;
  silentForMs(instanceId: InstanceId): number | undefined;
  /** Highest configuration version that each instance alive reported. */
  configVersions(): ReadonlyMap<InstanceId, number>;
  /** Takes in router instances from the platform's list. */
  addListedMembers(members: readonly MemberRecord[]): void;
  registerEnvelopeHandler(handler: EnvelopeHandler): Undo;
  registerViewHandler(handler: () => void): Undo;
  /** Tells the others that this instance is leaving. */
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
function signatureOf(members: readonly MemberRecord[]): string {
  return members
    .map(member => `${member.instanceId} ${member.region} ${member.state}`)
    .sort()
    .join('\n');
}

/** Creates the fleet view of one instance. */
export function createFleet(options: FleetOptions): Fleet {
  const {clock, table} = options;
  const selfId = table.self().instanceId;
  const handlers = new Set<EnvelopeHandler>();
  const viewHandlers = new Set<() => void>();
  const versions = new Map<InstanceId, number>();
  const pushedAtMs = new Map<InstanceId, number>();
  const owners = new Map<string, MemberRecord | undefined>();
  const fleetOwners = new Map<string, MemberRecord | undefined>();
  const undos: Undo[] = [];
  let alive: readonly MemberRecord[] = [table.self()];
  let viewSignature = '';
  let hub: PeerHub | undefined;

  function inRegion(): readonly MemberRecord[] {
    const {region} = table.self();
    return alive.filter(member => member.region === region);
  }

  /** Owners are ranked once for each view that differs from the last one. */
  function rankedOwner(
    cache: Map<string, MemberRecord | undefined>,
    resource: string,
    members: () => readonly MemberRecord[],
  ): MemberRecord | undefined {
    if (!cache.has(resource)) cache.set(resource, ownerOf(resource, members()));
    return cache.get(resource);
  }

  const regionOwner = (resource: string) =>
    rankedOwner(owners, resource, inRegion);

  const fleetOwner = (resource: string) =>
    rankedOwner(fleetOwners, resource, () => alive);

  function forgetOwners(): void {
    const used = [...owners.keys()];
    const fleetUsed = [...fleetOwners.keys()];
    owners.clear();
    fleetOwners.clear();
    used.forEach(regionOwner);
    fleetUsed.forEach(fleetOwner);
  }

  function refreshView(): void {
    const nowMs = clock.nowMs();
    table.evictStaleMembers(nowMs);
    alive = table.alive(nowMs);
    const signature = signatureOf(alive);
    if (signature !== viewSignature) {
      viewSignature = signature;
      forgetOwners();
    }
    hub?.setTargets(linkTargets());
    for (const handler of viewHandlers) handler();
  }

  function linkTargets(): readonly PeerTarget[] {
    const known = table.known();
    const ownerIds = new Set<InstanceId>();
    for (const owner of [...owners.values(), ...fleetOwners.values()]) {
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

  function receiveHeartbeat(from: InstanceId, beat: ReceivedHeartbeat): void {
    const nowMs = clock.nowMs();
    if (beat.sender) table.recordHeartbeat(fromWireMember(beat.sender), nowMs);
    for (const member of beat.members) {
      const {heardAgoMs} = member;
      table.recordGossip({member: fromWireMember(member), heardAgoMs}, nowMs);
    }
    versions.set(from, beat.configVersion);
    for (const {upstreamId, incarnation} of beat.leavingUpstreams) {
      options.onLeavingUpstream({
        upstreamId: toUpstreamId(upstreamId),
        incarnation,
      });
    }
    pushConfig(from, beat.configVersion, nowMs);
  }

  function pushConfig(to: InstanceId, theirVersion: number, nowMs: number) {
    const config = options.currentConfig();
    if (config === undefined || config.version <= theirVersion) return;
    const lastMs = pushedAtMs.get(to) ?? -Infinity;
    if (nowMs - lastMs < configPushIntervalMs) return;
    pushedAtMs.set(to, nowMs);
    hub?.send(to, encodeConfig(config));
  }

  function receive(from: InstanceId, envelope: ReceivedEnvelope): void {
    if (envelope.heartbeat) receiveHeartbeat(from, envelope.heartbeat);
    else if (envelope.config)
      options.offerConfig(decodeConfig(envelope.config));
    else for (const handler of handlers) handler(from, envelope);
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
    known: () => table.known(),
    owner: resource => regionOwner(resource)?.instanceId ?? selfId,
    ownerInFleet: resource => fleetOwner(resource)?.instanceId ?? selfId,
    rank: resource => {
      const ranked = rankMembers(resource, inRegion());
      return ranked.findIndex(member => member.instanceId === selfId);
    },
    send: (to, envelope) => hub?.send(to, envelope) ?? false,
    silentForMs: instanceId => table.heartbeatAgeMs(instanceId, clock.nowMs()),
    configVersions: () => {
      const current = new Map<InstanceId, number>();
      for (const {instanceId} of alive) {
        current.set(instanceId, versions.get(instanceId) ?? 0);
      }
      current.set(selfId, options.currentConfig()?.version ?? 0);
      return current;
    },
    addListedMembers: members => {
      const nowMs = clock.nowMs();
      for (const member of members) table.addListedMembers(member, nowMs);
    },
    registerEnvelopeHandler: handler => {
      handlers.add(handler);
      return () => handlers.delete(handler);
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
