/**
 * What one instance knows of the upstreams, from its own requests and from the
 * reports of its peers: health, learned speed, engine pools and cached prefixes.
 */
import type {Clock, ServiceName, UpstreamId} from '@toucanrouter/common';
import type {WorkKindCounts} from '@toucanrouter/policy';
import {addCounts, zeroCounts} from '@toucanrouter/policy';
import {getOrCreate} from '../GetOrCreate.js';
import type {
  LoadReport,
  PeerLoadTable,
  ReportedWork,
  ServiceEstimates,
  UpstreamLoad,
} from '../peers/LoadReports.js';
import {createPeerLoadTable} from '../peers/LoadReports.js';
import type {ShortId} from '../peers/ShortIds.js';
import {serviceShortIdOf, upstreamShortIdOf} from '../peers/ShortIds.js';
import type {EngineModel} from './EngineModel.js';
import {createEngineModel} from './EngineModel.js';
import type {EnginePools} from './EnginePools.js';
import {createEnginePools} from './EnginePools.js';
import type {PrefixAffinity} from './PrefixAffinity.js';
import {createPrefixAffinity} from './PrefixAffinity.js';
import type {ResponseStats} from './ResponseStats.js';
import {createResponseStats} from './ResponseStats.js';
import type {UpstreamEntry} from './UpstreamEntry.js';
import type {UpstreamHealth} from './UpstreamHealth.js';
import {createUpstreamHealth} from './UpstreamHealth.js';

/** The parts of the knowledge that placement uses. */
export interface UpstreamKnowledge {
  healthOf(entry: UpstreamEntry): UpstreamHealth;
  engineModel(service: ServiceName): EngineModel;
  enginePools(service: ServiceName): EnginePools;
  readonly peerLoads: PeerLoadTable;
  readonly prefixAffinity: PrefixAffinity;
  readonly responseStats: ResponseStats;
  /** Forgets an upstream that was removed. */
  forget(id: UpstreamId): void;
  /** Returns what peers must know; prefixes are included in one report only. */
  takeReport(): ReportedWork;
  receiveReport(report: LoadReport): void;
}

/** Options of {@link createUpstreamKnowledge}. */
export interface UpstreamKnowledgeOptions {
  readonly clock: Clock;
  readonly selfId: ShortId;
  /** Called when the pools of a service changed. */
  readonly onPoolsAssigned?: (
    service: ServiceName,
    engines: WorkKindCounts,
  ) => void;
}

/** Decayed failures below this count are not reported to peers. */
const minReportedFailures = 0.5;

function isReportable({failed, running}: UpstreamLoad): boolean {
  return running > 0 || failed >= minReportedFailures;
}

/** Creates the knowledge of an instance that has just started. */
export function createUpstreamKnowledge(
  options: UpstreamKnowledgeOptions,
): UpstreamKnowledge {
  const {clock, selfId} = options;
  const healthByUpstream = new Map<UpstreamId, UpstreamHealth>();
  const modelsByService = new Map<ServiceName, EngineModel>();
  const poolsByService = new Map<ServiceName, EnginePools>();
  const peerLoads = createPeerLoadTable(clock);
  const prefixAffinity = createPrefixAffinity();

  const engineModel = (service: ServiceName) =>
    getOrCreate(modelsByService, service, () =>
      createEngineModel({peerEstimates: () => peerLoads.estimatesOf(service)}),
    );

  const enginePools = (service: ServiceName) =>
    getOrCreate(poolsByService, service, () =>
      createEnginePools({
        peersInFlight: peerLoads.inFlight,
        peersOffered: peerLoads.offered,
        leaderPoolSizes: () => peerLoads.leaderPoolSizes(selfId),
        onAssigned: engines => options.onPoolsAssigned?.(service, engines),
      }),
    );

  function reportedLoads(): readonly UpstreamLoad[] {
    const nowMs = clock.nowMs();
    return [...healthByUpstream]
      .map(([id, health]) => ({
        upstream: upstreamShortIdOf(id),
        running: health.running,
        waitingPromptTokens: health.waitingPromptTokens,
        ...health.recentOutcomes(nowMs),
      }))
      .filter(isReportable);
  }

  function reportedEstimates(): readonly ServiceEstimates[] {
    return [...modelsByService]
      .map(([service, model]) => ({
        service: serviceShortIdOf(service),
        ...model.estimates(),
      }))
      .filter(({observations}) => observations > 0);
  }

  function sumOfPools(
    countsOf: (pools: EnginePools) => WorkKindCounts,
  ): WorkKindCounts {
    return [...poolsByService.values()]
      .map(countsOf)
      .reduce(addCounts, zeroCounts);
  }

  return {
    healthOf: entry =>
      getOrCreate(healthByUpstream, entry.id, () =>
        createUpstreamHealth(
          clock.nowMs,
          engineModel(entry.service).idleEventGapMs,
        ),
      ),
    engineModel,
    enginePools,
    peerLoads,
    prefixAffinity,
    responseStats: createResponseStats(),
    forget: id => {
      healthByUpstream.delete(id);
      prefixAffinity.forget(id);
    },
    takeReport: () => ({
      inFlight: sumOfPools(pools => pools.inFlight()),
      offered: sumOfPools(pools => pools.offered(clock.nowMs())),
      poolSizes: sumOfPools(pools => pools.poolSizes()),
      loads: reportedLoads(),
      estimates: reportedEstimates(),
      sentPrefixes: prefixAffinity.takeUnreported(),
    }),
    receiveReport: report => {
      peerLoads.receive(report);
      prefixAffinity.recordPeer(report.sentPrefixes, clock.nowMs());
    },
  };
}
