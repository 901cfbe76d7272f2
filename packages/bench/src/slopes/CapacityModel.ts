/**
 * Capacity model: derives the cost of each role of an instance at a given scale
 * from the lines fitted to measurements.
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

/** The nodes on which a cost arises. */
export type CapacityNodeRole = 'claims' | 'every' | 'scheduler';

/** Category of work; `data` is caller traffic, which is not control work. */
export type CapacityKind = 'control' | 'data' | 'permits';

/** Cost of one kind of work on one node. */
export interface CapacityLine {
  readonly node: CapacityNodeRole;
  readonly kind: CapacityKind;
  readonly role: string;
  readonly work: string;
  /** Functions and modules that do the work. */
  readonly mechanism: string;
  readonly cpuMicrosPerSecond: number;
  /** Sent plus received. */
  readonly bytesPerSecond: number;
  readonly memoryBytes: number;
}

/** Returns the line fitted to the series with a key. */
export type FindFit = (key: string) => LineFit;

const msPerSecond = 1_000;
const secondsPerDay = 86_400;

/** A permit client checks for due progress reports ten times per second. */
const maxReportsPerSecond = 10;

const maxQueuedPerShard = 1_000;
const directionsPerLink = 2;

interface ModelInputs {
  readonly scale: CapacityScale;
  readonly rates: DerivedRates;
  readonly findFit: FindFit;
}

type Cost = Pick<
  CapacityLine,
  'bytesPerSecond' | 'cpuMicrosPerSecond' | 'memoryBytes'
>;

const zeroCost: Cost = {
  bytesPerSecond: 0,
  cpuMicrosPerSecond: 0,
  memoryBytes: 0,
};

function entryLines({
  findFit,
  rates,
  scale,
}: ModelInputs): readonly CapacityLine[] {
  const common = {node: 'every', kind: 'data', role: 'entry'} as const;
  const {nodePermits, nodeRequestsPerSecond, nodeTokensPerSecond} = rates;
  return [
    {
      ...common,
      ...zeroCost,
      work: 'requests: HTTP, authentication, classification, upstream call',
      mechanism: 'CallerServer, runPipeline, serveChat',
      cpuMicrosPerSecond:
        nodeRequestsPerSecond * findFit('entry.requests').slope,
    },
    {
      ...common,
      ...zeroCost,
      work: 'relay, one token in a chunk',
      mechanism: 'runEngineAttempt, SseScanner, Transcript',
      cpuMicrosPerSecond: nodeTokensPerSecond * findFit('relay.chunks.1').slope,
    },
    {
      ...common,
      ...zeroCost,
      work: 'relay, if four tokens share a chunk (in place of the line above)',
      mechanism: 'runEngineAttempt, SseScanner, Transcript',
      cpuMicrosPerSecond:
        (nodeTokensPerSecond / 4) * findFit('relay.chunks.4').slope,
    },
    {
      ...common,
      kind: 'permits',
      work: 'acquire, grant, one progress and release of each request',
      mechanism: 'PermitClient, RemoteSchedulerPort, PeerHub',
      cpuMicrosPerSecond:
        nodeRequestsPerSecond * findFit('permit.cpu.holder').slope,
      bytesPerSecond: nodeRequestsPerSecond * findFit('permit.bytes').slope,
      memoryBytes: costAt(findFit('memory.held'), nodePermits),
    },
    {
      ...common,
      ...zeroCost,
      kind: 'permits',
      work: 'progress of each held permit once a second, after the first',
      mechanism: 'PermitClient.reportProgress, progressIntervalMs',
      ...progressCost(findFit, 'holder', {
        permits: nodePermits,
        requestsPerSecond: nodeRequestsPerSecond,
        sources: scale.models,
      }),
    },
  ];
}

interface ProgressLoad {
  readonly permits: number;
  /** Requests whose first report is already counted in the permit exchange. */
  readonly requestsPerSecond: number;
  /** Number of shards that a holder reports to, or of holders of a shard. */
  readonly sources: number;
}

function progressCost(
  findFit: FindFit,
  side: 'holder' | 'scheduler',
  {permits, requestsPerSecond, sources}: ProgressLoad,
): Pick<Cost, 'bytesPerSecond' | 'cpuMicrosPerSecond'> {
  const perSecond = msPerSecond / progressIntervalMs;
  const samples = Math.max(0, permits * perSecond - requestsPerSecond);
  const reports = Math.min(samples, sources * maxReportsPerSecond);
  const totalCost = ({intercept, slope}: LineFit) =>
    reports * intercept + samples * slope;
  return {
    cpuMicrosPerSecond: totalCost(findFit(`progress.cpu.${side}`)),
    bytesPerSecond: totalCost(findFit('progress.bytes')),
  };
}

function schedulerLines({
  findFit,
  rates,
}: ModelInputs): readonly CapacityLine[] {
  const common = {node: 'scheduler', role: 'shard scheduler'} as const;
  const {regionNodes, shardPermits, shardRequestsPerSecond} = rates;
  const ticksPerSecond = msPerSecond / schedulerTickMs;
  return [
    {
      ...common,
      ...zeroCost,
      kind: 'permits',
      work: 'acquire, grant, one progress and release, with the decisions',
      mechanism: 'PeerHub, dispatchSchedulingMessage, ShardScheduler',
      cpuMicrosPerSecond:
        shardRequestsPerSecond * findFit('permit.cpu.scheduler').slope,
      bytesPerSecond: shardRequestsPerSecond * findFit('permit.bytes').slope,
    },
    {
      ...common,
      ...zeroCost,
      kind: 'permits',
      work: 'progress of all permits of the shard, after the first',
      mechanism: 'SchedulerHost.progress, UpstreamTracker.progressed',
      ...progressCost(findFit, 'scheduler', {
        permits: shardPermits,
        requestsPerSecond: shardRequestsPerSecond,
        sources: regionNodes,
      }),
    },
    {
      ...common,
      ...zeroCost,
      kind: 'control',
      work: 'ticks each 20 ms over all running jobs; state of the shard',
      mechanism: 'SchedulerHost.tick, passTime, reviewQueue',
      cpuMicrosPerSecond:
        ticksPerSecond * costAt(findFit('scheduler.tick.jobs'), shardPermits),
      memoryBytes:
        costAt(findFit('memory.shard'), 1) +
        shardPermits * findFit('memory.running').slope +
        maxQueuedPerShard * findFit('memory.queued').slope,
    },
  ];
}

function membershipLines({
  findFit,
  scale,
}: ModelInputs): readonly CapacityLine[] {
  const common = {
    node: 'every',
    kind: 'control',
    role: 'membership',
  } as const;
  const links = costAt(findFit('fleet.links'), scale.nodes);
  const heartbeatsPerSecond = msPerSecond / heartbeatIntervalMs;
  const heartbeatBytes = costAt(
    findFit('heartbeat.bytes'),
    gossipEntriesPerHeartbeat,
  );
  const entries = scale.engines + scale.nodes;
  return [
    {
      ...common,
      ...zeroCost,
      work: `view of ${scale.nodes} members each ${viewRefreshIntervalMs} ms`,
      mechanism: 'Fleet.refreshView, rankMembers, selectLinks',
      cpuMicrosPerSecond:
        (msPerSecond / viewRefreshIntervalMs) *
        costAt(findFit('membership.view'), scale.nodes),
      memoryBytes: costAt(findFit('membership.memory'), scale.nodes),
    },
    {
      ...common,
      ...zeroCost,
      work: `heartbeats over ${Math.round(links)} links`,
      mechanism: 'PeerHub.sendHeartbeats, Fleet.createHeartbeat, MemberTable',
      cpuMicrosPerSecond: links * findFit('heartbeat.cpu').slope,
      bytesPerSecond:
        links * heartbeatsPerSecond * heartbeatBytes * directionsPerLink,
    },
    {
      ...common,
      ...zeroCost,
      work: `poll of the instance list with ${entries} entries`,
      mechanism: 'InstanceListReader, parseInstanceList',
      cpuMicrosPerSecond:
        scale.listPollsPerSecond * costAt(findFit('list.cpu'), entries),
      bytesPerSecond:
        scale.listPollsPerSecond * costAt(findFit('list.bytes'), entries),
    },
  ];
}

function configLines({findFit, scale}: ModelInputs): readonly CapacityLine[] {
  const changesPerSecond = scale.configChangesPerDay / secondsPerDay;
  const copies = costAt(findFit('fleet.copies'), scale.nodes);
  const copyBytes = costAt(findFit('config.bytes'), scale.workspaces);
  return [
    {
      node: 'every',
      kind: 'control',
      role: 'configuration relay',
      work: `changes, ${copies.toFixed(1)} copies each received and sent`,
      mechanism: 'Fleet.pushConfig, ConfigHolder.offer, parseClasses',
      cpuMicrosPerSecond:
        changesPerSecond * costAt(findFit('config.apply'), scale.workspaces),
      bytesPerSecond: changesPerSecond * copies * copyBytes * directionsPerLink,
      memoryBytes: costAt(findFit('config.memory'), scale.workspaces),
    },
  ];
}

function claimLines({
  findFit,
  rates,
  scale,
}: ModelInputs): readonly CapacityLine[] {
  const {claimsPerShardPerSecond} = rates;
  const retainedClaims = claimsPerShardPerSecond * scale.claimRetentionSeconds;
  return [
    {
      node: 'claims',
      kind: 'control',
      role: 'claim writer',
      work: `${Math.round(claimsPerShardPerSecond)} claims per second of one shard, kept 24 h`,
      mechanism: 'ClaimWriter, planAppend, ClaimIndex',
      cpuMicrosPerSecond: costAt(
        findFit('claims.cpu'),
        claimsPerShardPerSecond,
      ),
      bytesPerSecond: costAt(
        findFit('claims.written'),
        claimsPerShardPerSecond,
      ),
      memoryBytes: costAt(findFit('claims.memory'), retainedClaims),
    },
  ];
}

/** Derives the cost of all roles at a scale. */
export function deriveCapacity(
  scale: CapacityScale,
  findFit: FindFit,
): readonly CapacityLine[] {
  const inputs: ModelInputs = {scale, rates: deriveRates(scale), findFit};
  return [
    ...entryLines(inputs),
    ...schedulerLines(inputs),
    ...membershipLines(inputs),
    ...configLines(inputs),
    ...claimLines(inputs),
  ];
}

/** Sums the control cost of a node that has the given roles. */
export function totalControl(
  lines: readonly CapacityLine[],
  nodes: readonly CapacityNodeRole[],
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
    zeroCost,
  );
}
