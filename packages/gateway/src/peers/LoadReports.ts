/**
 * Load reports between instances. Load pattern: several instances send requests
 * to the same engines, and each would otherwise see only its own share of an
 * engine's load. Reports are hints: an instance that receives none decides by
 * its own work in flight.
 */
import type {Clock, ServiceName, UpstreamId} from '@toucanrouter/common';
import type {WorkKindCounts} from '@toucanrouter/policy';
import {addCounts, zeroCounts} from '@toucanrouter/policy';
import {getOrCreate} from '../GetOrCreate.js';
import type {EngineEstimates} from '../upstreams/EngineModel.js';
import type {SentPrefix} from '../upstreams/PrefixAffinity.js';
import type {ServiceShortId, ShortId, UpstreamShortId} from './ShortIds.js';
import {serviceShortIdOf, upstreamShortIdOf} from './ShortIds.js';

/** Work in flight and recent outcomes on one upstream. */
export interface UpstreamLoad {
  readonly upstream: UpstreamShortId;
  readonly running: number;
  /** Uncached prompt tokens of requests without a first response. */
  readonly waitingPromptTokens: number;
  /** Requests that failed there recently, with half-life decay. */
  readonly failed: number;
  /** Requests that were served there recently, with half-life decay. */
  readonly served: number;
}

/** What one instance learned about the upstreams of a service. */
export interface ServiceEstimates extends EngineEstimates {
  readonly service: ServiceShortId;
}

/** The work that one instance reports. */
export interface ReportedWork {
  /** Requests in flight on engines. */
  readonly inFlight: WorkKindCounts;
  /** Engines that the work offered to this instance keeps busy. */
  readonly offered: WorkKindCounts;
  /** Engines in each pool, as this instance assigned them. */
  readonly poolSizes: WorkKindCounts;
  readonly loads: readonly UpstreamLoad[];
  readonly estimates: readonly ServiceEstimates[];
  /** Long prefixes that were sent to engines since the previous report. */
  readonly sentPrefixes: readonly SentPrefix[];
}

/** A report that one instance sends to its peers. */
export interface LoadReport extends ReportedWork {
  readonly instanceId: ShortId;
  /** Start of the process; reports of earlier processes are ignored. */
  readonly startedAtMs: number;
  /** Increases with each report, since datagrams may arrive out of order. */
  readonly sequence: number;
}

/** Total load of all peers on one upstream. */
export type PeerLoad = Omit<UpstreamLoad, 'upstream'>;

export const zeroLoad: PeerLoad = {
  running: 0,
  waitingPromptTokens: 0,
  failed: 0,
  served: 0,
};

/** The loads that peers reported recently. */
export interface PeerLoadTable {
  receive(report: LoadReport): void;
  /** Returns the total load of peers on an upstream. */
  loadAt(upstreamId: UpstreamId): PeerLoad;
  /** Returns the requests that peers have in flight on engines. */
  inFlight(): WorkKindCounts;
  /** Returns the engines that the work offered to peers keeps busy. */
  offered(): WorkKindCounts;
  /**
   * Returns what peers learned about a service. The result is the same object
   * until a report changes.
   */
  estimatesOf(service: ServiceName): readonly EngineEstimates[];
  /**
   * Returns the pool sizes of the leader, the instance with the lowest id among
   * this one and those with a current report. Undefined when this instance
   * leads.
   */
  leaderPoolSizes(selfId: ShortId): WorkKindCounts | undefined;
  /** Returns the number of peers with a current report. */
  peerCount(): number;
}

/** Report interval of a small fleet. */
const minReportIntervalMs = 200;
/**
 * Increase of the report interval with each peer, so that the total traffic
 * grows linearly with the number of instances.
 */
const reportIntervalPerPeerMs = 10;
/** Lifetime of a report in a small fleet. */
const minReportLifetimeMs = 1_500;
/** Report intervals without a report after which a peer no longer counts. */
const lifetimeIntervals = 3;

/** Returns the time between the reports of an instance. */
export function reportIntervalMs(peerCount: number): number {
  return Math.max(minReportIntervalMs, peerCount * reportIntervalPerPeerMs);
}

/** Returns the age at which a report expires. */
export function reportLifetimeMs(peerCount: number): number {
  return Math.max(
    minReportLifetimeMs,
    reportIntervalMs(peerCount) * lifetimeIntervals,
  );
}

const noEstimates: readonly EngineEstimates[] = [];

interface ReceivedReport {
  readonly report: LoadReport;
  readonly receivedAtMs: number;
}

function isNewer(report: LoadReport, previous: LoadReport): boolean {
  return report.startedAtMs === previous.startedAtMs
    ? report.sequence > previous.sequence
    : report.startedAtMs > previous.startedAtMs;
}

/** Creates a table without reports. */
export function createPeerLoadTable(clock: Clock): PeerLoadTable {
  const received = new Map<ShortId, ReceivedReport>();
  const shortIds = new Map<UpstreamId, UpstreamShortId>();
  const totals = new Map<UpstreamShortId, PeerLoad>();
  const estimates = new Map<ServiceShortId, EngineEstimates[]>();
  let inFlight: WorkKindCounts = zeroCounts;
  let offered: WorkKindCounts = zeroCounts;
  let validUntilMs = -Infinity;

  const shortIdOfUpstream = (id: UpstreamId) =>
    getOrCreate(shortIds, id, () => upstreamShortIdOf(id));

  function addToTotals({upstream, ...load}: UpstreamLoad): void {
    const total = totals.get(upstream) ?? zeroLoad;
    totals.set(upstream, {
      running: total.running + load.running,
      waitingPromptTokens: total.waitingPromptTokens + load.waitingPromptTokens,
      failed: total.failed + load.failed,
      served: total.served + load.served,
    });
  }

  /** Rebuilds the totals if a report has arrived or expired since. */
  function rebuildTotals(): void {
    const nowMs = clock.nowMs();
    if (nowMs < validUntilMs) return;
    const lifetimeMs = reportLifetimeMs(received.size);
    totals.clear();
    estimates.clear();
    inFlight = zeroCounts;
    offered = zeroCounts;
    validUntilMs = Infinity;
    for (const [instanceId, {receivedAtMs, report}] of received) {
      const expiresAtMs = receivedAtMs + lifetimeMs;
      if (expiresAtMs <= nowMs) {
        received.delete(instanceId);
        continue;
      }
      validUntilMs = Math.min(validUntilMs, expiresAtMs);
      inFlight = addCounts(inFlight, report.inFlight);
      offered = addCounts(offered, report.offered);
      for (const {service, ...learned} of report.estimates) {
        getOrCreate(estimates, service, () => []).push(learned);
      }
      report.loads.forEach(addToTotals);
    }
  }

  return {
    receive: report => {
      const previous = received.get(report.instanceId);
      if (previous !== undefined && !isNewer(report, previous.report)) return;
      received.set(report.instanceId, {report, receivedAtMs: clock.nowMs()});
      validUntilMs = -Infinity;
    },
    loadAt: upstreamId => {
      rebuildTotals();
      return totals.get(shortIdOfUpstream(upstreamId)) ?? zeroLoad;
    },
    inFlight: () => {
      rebuildTotals();
      return inFlight;
    },
    offered: () => {
      rebuildTotals();
      return offered;
    },
    estimatesOf: service => {
      rebuildTotals();
      return estimates.get(serviceShortIdOf(service)) ?? noEstimates;
    },
    leaderPoolSizes: selfId => {
      rebuildTotals();
      const leader = [...received.keys()].reduce(
        (lowest, id) => (id < lowest ? id : lowest),
        selfId,
      );
      return received.get(leader)?.report.poolSizes;
    },
    peerCount: () => {
      rebuildTotals();
      return received.size;
    },
  };
}
