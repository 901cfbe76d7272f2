/**
 * Measures the cost of the fleet view and of heartbeats by number of known
 * members, and of heartbeats by number of links.
 */
import {createManualClock} from '@toucanrouter/common';
import type {Fleet} from '@toucanrouter/daemon';
import {
  createFleet,
  heartbeatIntervalMs,
  viewRefreshIntervalMs,
} from '@toucanrouter/daemon';
import {createMemberTable} from '@toucanrouter/membership';
import type {Envelope, PeerHub, ReceivedEnvelope} from '@toucanrouter/peer';
import {startChild} from './ChildProcess.js';
import {
  measureRetainedBytes,
  measureMicrosPerCall,
  nowSeconds,
  sleep,
} from './Cost.js';
import type {Point} from './Fit.js';
import {sampleMember, sampleMembers, sampleResources} from './SampleMembers.js';
import type {Measurement, Series} from './Series.js';
import {measurePoints} from './Series.js';
import {wireSizeBytes} from './WireBytes.js';

const memberCounts = [25, 50, 100, 200, 400];
const linkCounts = [4, 8, 16, 32];
const viewCalls = 20;
const receiveCalls = 2_000;
const linkSettleMs = 2_000;
const linkMeasureMs = 3_000;

const idleHub: PeerHub = {
  port: 0,
  setTargets: () => {},
  send: () => true,
  sendHeartbeats: () => {},
  linkedPeers: () => [],
  traffic: () => ({sentMessages: 0, receivedMessages: 0}),
  close: () => {},
};

interface PopulatedFleet {
  readonly fleet: Fleet;
  /** Advances the clock by `viewRefreshIntervalMs`. */
  refreshView(): void;
  /** Receives one heartbeat from every other member. */
  receiveAll(): void;
}

/** Creates a fleet that has received heartbeats of `count` members. */
function createPopulatedFleet(count: number): PopulatedFleet {
  const clock = createManualClock();
  const fleet = createFleet({
    clock,
    table: createMemberTable(sampleMember(0)),
    seedPeers: [],
    currentConfig: () => undefined,
    offerConfig: () => {},
    leavingUpstreams: () => [],
    onLeavingUpstream: () => {},
  });
  const resources = sampleResources();
  fleet.registerViewHandler(() => {
    for (const resource of resources) fleet.owner(resource);
  });
  const heartbeats = sampleMembers(count)
    .slice(1)
    .map(member => createReceivedHeartbeat(member.instanceId, count));
  const receiveAll = () => {
    for (const {from, envelope} of heartbeats) fleet.receive(from, envelope);
  };
  receiveAll();
  fleet.start(idleHub);
  return {
    fleet,
    receiveAll,
    refreshView: () => {
      clock.advance(viewRefreshIntervalMs);
    },
  };
}

interface ReceivedHeartbeat {
  readonly from: ReturnType<typeof sampleMember>['instanceId'];
  readonly envelope: ReceivedEnvelope;
}

/** Creates a heartbeat of one member with gossip about four others. */
function createReceivedHeartbeat(
  from: ReceivedHeartbeat['from'],
  count: number,
): ReceivedHeartbeat {
  const index = Number(from.slice('router-'.length));
  const gossipedIndexes = [1, 2, 3, 4].map(step => (index + step) % count);
  const heartbeat = {
    sender: toWireMember(index),
    configVersion: 0,
    members: gossipedIndexes.filter(other => other !== index).map(toWireMember),
    leavingUpstreams: [],
  };
  return {from, envelope: {heartbeat} as unknown as ReceivedEnvelope};
}

function toWireMember(index: number) {
  const {state, ...member} = sampleMember(index);
  return {...member, leaving: state === 'leaving', heardAgoMs: 40};
}

function measureView(count: number): Point {
  const {receiveAll, refreshView} = createPopulatedFleet(count);
  const refreshesPerCall = 8;
  const micros = measureMicrosPerCall(viewCalls, () => {
    receiveAll();
    for (let i = 0; i < refreshesPerCall; i++) refreshView();
  });
  const receiving = createPopulatedFleet(count);
  const receiveMicros = measureMicrosPerCall(
    viewCalls * 10,
    receiving.receiveAll,
  );
  return {x: count, y: (micros - receiveMicros) / refreshesPerCall};
}

function measureReceive(count: number): Point {
  const {fleet} = createPopulatedFleet(count);
  const member = sampleMember(1);
  const {from, envelope} = createReceivedHeartbeat(member.instanceId, count);
  const run = () => fleet.receive(from, envelope);
  return {x: count, y: measureMicrosPerCall(receiveCalls, run)};
}

function measureHeartbeatCreation(count: number): Point {
  const {fleet} = createPopulatedFleet(count);
  const run = () => fleet.createHeartbeat();
  return {x: count, y: measureMicrosPerCall(receiveCalls, run)};
}

function measureHeartbeatBytes(entries: number): Point {
  const heartbeat: Envelope = {
    heartbeat: {
      sender: toWireMember(0),
      configVersion: 3_000,
      members: Array.from({length: entries}, (_, i) => toWireMember(i + 100)),
    },
  };
  return {x: entries, y: wireSizeBytes(heartbeat)};
}

function measureMemory(count: number): Point {
  return {x: count, y: measureRetainedBytes(() => createPopulatedFleet(count))};
}

/** Measures the CPU time per second of an instance with real links. */
async function measureLinks(links: number): Promise<Point> {
  const instance = startChild('LinkedInstance');
  const peers = startChild('LinkedPeers');
  try {
    const port = await instance.call<number>('start');
    await peers.call('start', {port, links, heartbeatIntervalMs});
    await sleep(linkSettleMs);
    const linked = await instance.call<number>('linked');
    if (linked !== links)
      throw new Error(`${linked} links are up instead of ${links}`);
    const beforeMicros = await instance.call<number>('cpu');
    const startedAtSeconds = nowSeconds();
    await sleep(linkMeasureMs);
    const afterMicros = await instance.call<number>('cpu');
    const seconds = nowSeconds() - startedAtSeconds;
    return {x: links, y: (afterMicros - beforeMicros) / seconds};
  } finally {
    await Promise.all([instance.stop(), peers.stop()]);
  }
}

async function run(): Promise<readonly Series[]> {
  const x = 'known members';
  return [
    {
      key: 'membership.view',
      title: 'refresh of the view with the owners of 63 shards',
      x,
      y: 'µs',
      points: await measurePoints(memberCounts, measureView),
    },
    {
      key: 'membership.receive',
      title: 'taking in a decoded heartbeat',
      x,
      y: 'µs',
      points: await measurePoints(memberCounts, measureReceive),
    },
    {
      key: 'membership.create',
      title: 'building a heartbeat',
      x,
      y: 'µs',
      points: await measurePoints(memberCounts, measureHeartbeatCreation),
    },
    {
      key: 'membership.memory',
      title: 'memory of the fleet view',
      x,
      y: 'bytes',
      points: await measurePoints(memberCounts, measureMemory),
    },
    {
      key: 'heartbeat.bytes',
      title: 'one heartbeat',
      x: 'member entries',
      y: 'bytes',
      points: await measurePoints([0, 1, 2, 4, 8], measureHeartbeatBytes),
    },
    {
      key: 'heartbeat.cpu',
      title:
        'heartbeats in both directions each 150 ms over real links, few members known',
      x: 'links',
      y: 'µs per second',
      points: await measurePoints(linkCounts, measureLinks),
    },
  ];
}

/** Measurements of membership and heartbeats. */
export const membershipSlopes: Measurement = {
  name: 'membership',
  description:
    'createFleet with an injected clock; heartbeats between two processes',
  run,
};
