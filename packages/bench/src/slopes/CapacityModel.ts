/**
 * Derives what each role of an instance costs at a scale from the measured
 * lines.
 */
import {
  heartbeatIntervalMs,
  progressIntervalMs,
  schedulerTickMs,
  viewRefreshIntervalMs,
} from '@toucanrouter/daemon';
import {gossipEntriesPerHeartbeat} from '@toucanrouter/membership';
import type {CapacityScale, DerivedRates} from './CapacityScale.js';
import {deriveRates} from './CapacityScale.js';
import type {LineFit} from './Fit.js';
import {costAt} from './Fit.js';

/** Which nodes bear a cost. */
export type CapacityNode = 'claims' | 'every' | 'scheduler';

/** Answers and requests of callers are no control work. */
export type CapacityKind = 'control' | 'data' | 'permits';

/** Cost of one piece of work on one node. */
export interface CapacityLine {
  readonly node: CapacityNode;
  readonly kind: CapacityKind;
  readonly role: string;
  readonly work: string;
  /** Where the code does this. */
  readonly mechanism: string;
  readonly cpuMicrosPerSecond: number;
  /** Sent and received together. */
  readonly bytesPerSecond: number;
  readonly memoryBytes: number;
}

/** Finds the measured line of a series. */
export type FindFit = (key: string) => LineFit;

const msPerSecond = 1_000;
const secondsPerDay = 86_400;

/** A permit client looks for due reports ten times a second. */
const reportsPerShardSecond = 10;

const maxQueuedPerShard = 1_000;
const bothDirections = 2;

interface Context {
  readonly scale: CapacityScale;
  readonly rates: DerivedRates;
  readonly find: FindFit;
}

type Cost = Pick<
  CapacityLine,
  'bytesPerSecond' | 'cpuMicrosPerSecond' | 'memoryBytes'
>;

const noCost: Cost = {bytesPerSecond: 0, cpuMicrosPerSecond: 0, memoryBytes: 0};

function entryLines({find, rates, scale}: Context): readonly CapacityLine[] {
  const common = {node: 'every', kind: 'data', role: 'entry'} as const;
  const {nodePermits, nodeRequestsPerSecond, nodeTokensPerSecond} = rates;
  return [
    {
      ...common,
      ...noCost,
      work: 'requests: HTTP, authentication, classification, upstream call',
      mechanism: 'CallerServer, runPipe, serveChat',
      cpuMicrosPerSecond: nodeRequestsPerSecond * find('entry.requests').slope,
    },
    {
      ...common,
      ...noCost,
      work: 'relay, one token in a chunk',
      mechanism: 'runEngineAttempt, SseScanner, Transcript',
      cpuMicrosPerSecond: nodeTokensPerSecond * find('relay.chunks.1').slope,
    },
    {
      ...common,
      ...noCost,
      work: 'relay, if four tokens share a chunk (in place of the line above)',
      mechanism: 'runEngineAttempt, SseScanner, Transcript',
      cpuMicrosPerSecond:
        (nodeTokensPerSecond / 4) * find('relay.chunks.4').slope,
    },
    {
      ...common,
      kind: 'permits',
      work: 'acquire, grant, one progress and release of each request',
      mechanism: 'PermitClient, RemoteSchedulerPort, PeerHub',
      cpuMicrosPerSecond:
        nodeRequestsPerSecond * find('permit.cpu.holder').slope,
      bytesPerSecond: nodeRequestsPerSecond * find('permit.bytes').slope,
      memoryBytes: costAt(find('memory.held'), nodePermits),
    },
    {
      ...common,
      ...noCost,
      kind: 'permits',
      work: 'progress of each held permit once a second, after the first',
      mechanism: 'PermitClient.report, progressIntervalMs',
      ...progressCost(find, 'holder', {
        permits: nodePermits,
        requestsPerSecond: nodeRequestsPerSecond,
        sources: scale.models,
      }),
    },
  ];
}

interface ProgressLoad {
  readonly permits: number;
  /** The first report of each request is part of the permit exchange. */
  readonly requestsPerSecond: number;
  /** Shards that a holder reports to, or holders that report to a shard. */
  readonly sources: number;
}

function progressCost(
  find: FindFit,
  side: 'holder' | 'scheduler',
  {permits, requestsPerSecond, sources}: ProgressLoad,
): Pick<Cost, 'bytesPerSecond' | 'cpuMicrosPerSecond'> {
  const perSecond = msPerSecond / progressIntervalMs;
  const samples = Math.max(0, permits * perSecond - requestsPerSecond);
  const reports = Math.min(samples, sources * reportsPerShardSecond);
  const costOf = ({intercept, slope}: LineFit) =>
    reports * intercept + samples * slope;
  return {
    cpuMicrosPerSecond: costOf(find(`progress.cpu.${side}`)),
    bytesPerSecond: costOf(find('progress.bytes')),
  };
}

function schedulerLines({find, rates}: Context): readonly CapacityLine[] {
  const common = {node: 'scheduler', role: 'shard scheduler'} as const;
  const {regionNodes, shardPermits, shardRequestsPerSecond} = rates;
  const ticksPerSecond = msPerSecond / schedulerTickMs;
  return [
    {
      ...common,
      ...noCost,
      kind: 'permits',
      work: 'acquire, grant, one progress and release, with the decisions',
      mechanism: 'PeerHub, dispatchSchedulingMessage, ShardScheduler',
      cpuMicrosPerSecond:
        shardRequestsPerSecond * find('permit.cpu.scheduler').slope,
      bytesPerSecond: shardRequestsPerSecond * find('permit.bytes').slope,
    },
    {
      ...common,
      ...noCost,
      kind: 'permits',
      work: 'progress of all permits of the shard, after the first',
      mechanism: 'SchedulerHost.progress, UpstreamTracker.progressed',
      ...progressCost(find, 'scheduler', {
        permits: shardPermits,
        requestsPerSecond: shardRequestsPerSecond,
        sources: regionNodes,
      }),
    },
    {
      ...common,
      ...noCost,
      kind: 'control',
      work: 'ticks each 20 ms over all running jobs; state of the shard',
      mechanism: 'SchedulerHost.tick, passTime, reviewQueue',
      cpuMicrosPerSecond:
        ticksPerSecond * costAt(find('scheduler.tick.jobs'), shardPermits),
      memoryBytes:
        costAt(find('memory.shard'), 1) +
        shardPermits * find('memory.running').slope +
        maxQueuedPerShard * find('memory.queued').slope,
    },
  ];
}

function membershipLines({find, scale}: Context): readonly CapacityLine[] {
  const common = {
    node: 'every',
    kind: 'control',
    role: 'membership',
  } as const;
  const links = costAt(find('fleet.links'), scale.nodes);
  const beatsPerSecond = msPerSecond / heartbeatIntervalMs;
  const beatBytes = costAt(find('heartbeat.bytes'), gossipEntriesPerHeartbeat);
  const entries = scale.engines + scale.nodes;
  return [
    {
      ...common,
      ...noCost,
      work: `view of ${scale.nodes} members each ${viewRefreshIntervalMs} ms`,
      mechanism: 'Fleet.refreshView, rankMembers, selectLinks',
      cpuMicrosPerSecond:
        (msPerSecond / viewRefreshIntervalMs) *
        costAt(find('membership.view'), scale.nodes),
      memoryBytes: costAt(find('membership.memory'), scale.nodes),
    },
    {
      ...common,
      ...noCost,
      work: `heartbeats over ${Math.round(links)} links`,
      mechanism: 'PeerHub.beat, Fleet.createHeartbeat, MemberTable',
      cpuMicrosPerSecond: links * find('heartbeat.cpu').slope,
      bytesPerSecond: links * beatsPerSecond * beatBytes * bothDirections,
    },
    {
      ...common,
      ...noCost,
      work: `poll of the instance list with ${entries} entries`,
      mechanism: 'InstanceListReader, parseInstanceList',
      cpuMicrosPerSecond:
        scale.listPollsPerSecond * costAt(find('list.cpu'), entries),
      bytesPerSecond:
        scale.listPollsPerSecond * costAt(find('list.bytes'), entries),
    },
  ];
}

function configLines({find, scale}: Context): readonly CapacityLine[] {
  const changesPerSecond = scale.configChangesPerDay / secondsPerDay;
  const copies = costAt(find('fleet.copies'), scale.nodes);
  const copyBytes = costAt(find('config.bytes'), scale.workspaces);
  return [
    {
      node: 'every',
      kind: 'control',
      role: 'configuration relay',
      work: `changes, ${copies.toFixed(1)} copies each received and sent`,
      mechanism: 'Fleet.pushConfig, ConfigHolder.offer, parseClasses',
      cpuMicrosPerSecond:
        changesPerSecond * costAt(find('config.apply'), scale.workspaces),
      bytesPerSecond: changesPerSecond * copies * copyBytes * bothDirections,
      memoryBytes: costAt(find('config.memory'), scale.workspaces),
    },
  ];
}

function claimLines({find, rates, scale}: Context): readonly CapacityLine[] {
  const {claimsPerShardSecond} = rates;
  const kept = claimsPerShardSecond * scale.claimRetentionSeconds;
  return [
    {
      node: 'claims',
      kind: 'control',
      role: 'claim writer',
      work: `${Math.round(claimsPerShardSecond)} claims per second of one shard, kept 24 h`,
      mechanism: 'ClaimWriter, planAppend, ClaimIndex',
      cpuMicrosPerSecond: costAt(find('claims.cpu'), claimsPerShardSecond),
      bytesPerSecond: costAt(find('claims.written'), claimsPerShardSecond),
      memoryBytes: costAt(find('claims.memory'), kept),
    },
  ];
}

/** Derives the cost of all roles. */
export function deriveCapacity(
  scale: CapacityScale,
  find: FindFit,
): readonly CapacityLine[] {
  const context: Context = {scale, rates: deriveRates(scale), find};
  return [
    ...entryLines(context),
    ...schedulerLines(context),
    ...membershipLines(context),
    ...configLines(context),
    ...claimLines(context),
  ];
}

/** Adds up the control work of a node that has the given roles. */
export function totalControl(
  lines: readonly CapacityLine[],
  nodes: readonly CapacityNode[],
  withPermits: boolean,
): Cost {
  const counted = lines.filter(
    line =>
      nodes.includes(line.node) &&
      (line.kind === 'control' || (withPermits && line.kind === 'permits')),
  );
  return counted.reduce<Cost>(
    (sum, line) => ({
      cpuMicrosPerSecond: sum.cpuMicrosPerSecond + line.cpuMicrosPerSecond,
      bytesPerSecond: sum.bytesPerSecond + line.bytesPerSecond,
      memoryBytes: sum.memoryBytes + line.memoryBytes,
    }),
    noCost,
  );
}
