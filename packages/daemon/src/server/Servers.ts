/**
 * Creates the HTTP servers of an instance and their request pipelines.
 */
import type {Server} from 'node:http';
import type {RequestId} from '@toucanrouter/common';
import {createOpenRequestLimit, toRequestId} from '@toucanrouter/common';
import type {PeerHub} from '@toucanrouter/peer';
import {createAdminDependencies} from '../admin/AdminWiring.js';
import type {Instance, InstanceOptions} from '../Instance.js';
import {createRandomId} from '../Instance.js';
import type {Metrics} from '../Metrics.js';
import {createMetrics} from '../Metrics.js';
import {
  createAuthenticateFilter,
  isKnownCaller,
} from '../request/Authenticate.js';
import {createClassifyFilter} from '../request/ClassifyCall.js';
import type {Filter} from '../request/Exchange.js';
import {createRecordFilter} from '../request/RecordCall.js';
import {createChatFilter, createPlainFilter} from '../request/ServeFilters.js';
import {toObservation} from '../request/ServiceLevels.js';
import {createAdminServer} from './AdminServer.js';
import type {CallerServer} from './CallerServer.js';
import {createCallerServer} from './CallerServer.js';

/** The servers of an instance, which do not listen yet. */
export interface Servers {
  readonly admin: Server;
  readonly callers: CallerServer;
}

/** Creates the servers of an instance. */
export function createServers(
  options: InstanceOptions,
  instance: Instance,
  hub: PeerHub,
): Servers {
  const {clock, logger, settings} = options;
  const metrics = createInstanceMetrics(instance, hub);
  const commonFilters = createCommonFilters(options, instance, metrics);
  const {access, claimedCalls, readiness} = instance;
  const {servicesIgnoringFencing} = settings;
  const callers = createCallerServer({
    clock,
    logger,
    createRequestId: (): RequestId =>
      toRequestId(createRandomId(settings.instanceId)),
    defaultTimeoutMs: settings.defaultTimeoutMs,
    maxBodyBytes: settings.maxBodyBytes,
    classes: () => instance.holder.inForce().classes,
    isKnownCaller: headers => isKnownCaller(instance.keys, headers),
    bodyMemory: instance.memory.requestBodies,
    connections: instance.ports.callers,
    lingeringCount: instance.ports.plan.lingeringCallerCount,
    openRequests: createOpenRequestLimit(instance.memory.plan.openRequestBytes),
    loadControl: instance.loadControl,
    chatPipeline: [...commonFilters, createChatFilter(access)],
    plainPipeline: [
      ...commonFilters,
      createPlainFilter({
        access,
        claims: claimedCalls,
        servicesIgnoringFencing,
      }),
    ],
  });
  const admin = createAdminServer({
    clock,
    connections: instance.ports.admin,
    admin: createAdminDependencies(options, instance),
    metrics,
    notReadyReason: readiness.notReadyReason,
  });
  return {admin, callers};
}

function createCommonFilters(
  {clock, logger}: InstanceOptions,
  {holder, keys, recorder}: Instance,
  metrics: Metrics,
): readonly Filter[] {
  return [
    createRecordFilter({
      clock,
      logger,
      metrics,
      observe: call => {
        const observation = toObservation(call);
        if (observation !== undefined) recorder.record(observation);
      },
    }),
    createAuthenticateFilter(keys),
    createClassifyFilter(holder.inForce),
  ];
}

function createInstanceMetrics(instance: Instance, hub: PeerHub): Metrics {
  const {access, fleet, holder, host, loadControl, memory, permits, ports} =
    instance;
  return createMetrics({
    membersAlive: () => fleet.alive().length,
    configVersion: () => holder.inForce().version,
    storeHistory: instance.storeHistory,
    claimRecordsRestored: instance.claimRecordsRestored,
    permitsHeld: () => permits.counts().held,
    permitsPending: () => permits.counts().pending,
    peerMessagesSent: () => hub.traffic().sentMessages,
    crashCount: access.promptGuard.crashCount,
    quarantinedCount: access.promptGuard.blockedCount,
    retryBudget: () => access.retryBudget.status(access.clock.nowMs()),
    pausedCount: access.pausedUpstreams.count,
    refusalCounts: access.pausedUpstreams.refusalCounts,
    rateLimitedCount: access.limitedUpstreams.count,
    rateStatus: host.rateStatus,
    loopDelayMs: loadControl.loopDelay.currentMs,
    recentLoopDelayMs: loadControl.loopDelay.recentMaxMs,
    admittedShare: loadControl.admittedShare,
    shedCounts: loadControl.shedCounts,
    memoryLimitBytes: () => memory.plan.limitBytes,
    memoryHolders: memory.holders,
    bodyMemory: memory.requestBodies.status,
    callerConnections: ports.callers.status,
  });
}
