/**
 * Puts the parts of an instance together, and stops them in an order that cuts
 * off no request.
 */
import {randomBytes} from 'node:crypto';
import type {
  ClaimReference,
  Clock,
  InstanceId,
  RequestId,
  RouterError,
  ShardId,
} from '@toucanrouter/common';
import {
  createProcessRandom,
  toPermitId,
  toRequestId,
} from '@toucanrouter/common';
import {
  claimShardCount,
  claimShardOf,
  createClaimWriter,
  createLocalClaimStore,
} from '@toucanrouter/claims';
import {createMemberTable} from '@toucanrouter/membership';
import type {PeerHub} from '@toucanrouter/peer';
import {createPeerHub, encodeEffect} from '@toucanrouter/peer';
import type {ConfigChangeResult, InstanceList} from '@toucanrouter/platform';
import {
  createConfigStore,
  createInstanceListReader,
  createKeyValueClient,
} from '@toucanrouter/platform';
import {
  createHedgeBudget,
  createLengthModel,
  createRetryBudget,
  createShardScheduler,
  createUpstreamTracker,
} from '@toucanrouter/policy';
import {createServiceLevelRecorder} from '@toucanrouter/report';
import type {InstanceSettings} from '@toucanrouter/settings';
import {parseClasses} from '@toucanrouter/settings';
import type {Result} from 'neverthrow';
import {err, ok, okAsync, ResultAsync} from 'neverthrow';
import {Agent} from 'undici';
import type {
  AdminDependencies,
  ConfigChangeOutcome,
} from './admin/AdminDependencies.js';
import {initialConfig} from './admin/ConfigViews.js';
import {
  readConfigVersions,
  readFleetStatus,
  readQueuedRequests,
  readServiceLevels,
} from './admin/FleetViews.js';
import {createClaimedCalls} from './claims/ClaimedCall.js';
import {createClaimRouter} from './claims/ClaimRouter.js';
import {createConfigHolder} from './fleet/ConfigHolder.js';
import {createConfigSource} from './fleet/ConfigSource.js';
import {createFleet} from './fleet/Fleet.js';
import {createFleetInspection} from './fleet/FleetInspection.js';
import {createUpstreamDirectory} from './fleet/UpstreamDirectory.js';
import type {Logger} from './Logger.js';
import {createMetrics} from './Metrics.js';
import {createReadiness} from './Readiness.js';
import {
  createAuthenticateFilter,
  createWorkspaceKeys,
} from './request/Authenticate.js';
import {createClassifyFilter} from './request/ClassifyCall.js';
import {createRecordFilter} from './request/RecordCall.js';
import {createChatFilter, createPlainFilter} from './request/ServeFilters.js';
import {toObservation} from './request/ServiceLevels.js';
import type {UpstreamAccess} from './request/UpstreamAccess.js';
import {createPermitClient} from './scheduling/PermitClient.js';
import {
  createRemoteSchedulerPort,
  dispatchSchedulingMessage,
} from './scheduling/RemoteSchedulerPort.js';
import type {SchedulerPort} from './scheduling/SchedulerHost.js';
import {createSchedulerHost} from './scheduling/SchedulerHost.js';
import {createAdminServer} from './server/AdminServer.js';
import {createCallerServer} from './server/CallerServer.js';
import {closeServer, listen} from './server/Listening.js';

/** Addresses on which an instance listens. */
export interface DaemonAddresses {
  readonly callersPort: number;
  readonly adminPort: number;
  readonly peersPort: number;
}

/** A running instance. */
export interface Daemon {
  readonly addresses: DaemonAddresses;
  /** Leaves the fleet, finishes every request in progress and closes. */
  close(): Promise<void>;
}

/** What an instance is started with. */
export interface DaemonOptions {
  readonly settings: InstanceSettings;
  readonly clock: Clock;
  readonly logger: Logger;
}

/**
 * After an instance has said that it is leaving it accepts connections for
 * this long, until the load balancer has seen that it is not ready.
 */
const leaveNoticeMs = 1_500;

const drainPollMs = 20;
const requestIdBytes = 12;

/** Starts an instance; resolves when it is ready to serve. */
export async function startDaemon(
  options: DaemonOptions,
): Promise<Result<Daemon, RouterError>> {
  const {clock, logger, settings} = options;
  const selfId = settings.instanceId;
  const parts = createParts(options);
  const started = await createPeerHub({
    selfId,
    listen: settings.peers,
    clock,
    createHeartbeat: parts.fleet.createHeartbeat,
    onEnvelope: parts.fleet.receive,
  });
  if (started.isErr()) return err(started.error);
  const hub = started.value;
  parts.fleet.start(hub);
  parts.host.start();
  parts.permits.start();
  const servers = createServers(options, parts, hub);
  const adminPort = await listen(servers.admin, settings.admin, 'operators');
  if (adminPort.isErr()) return err(adminPort.error);
  const reader = createInstanceListReader({
    url: settings.instanceListUrl,
    pollMs: settings.instanceListPollMs,
    clock,
    onList: list => parts.takeList(list),
    onFaults: faults =>
      logger.warn('instance list entries were skipped', {
        faults: faults.map(fault => fault.message),
      }),
    onError: error =>
      logger.warn('the instance list is unavailable', {error: error.message}),
  });
  await parts.configSource.start();
  const callersPort = await listen(
    servers.callers.server,
    settings.callers,
    'callers',
  );
  if (callersPort.isErr()) return err(callersPort.error);
  parts.readiness.configKnown();
  logger.info('instance is ready', {
    callersPort: callersPort.value,
    adminPort: adminPort.value,
    peersPort: hub.port,
  });

  async function close(): Promise<void> {
    logger.info('instance is leaving', {
      requestsInProgress: servers.callers.inProgress(),
    });
    parts.readiness.leaving();
    parts.fleet.leave();
    await delay(clock, leaveNoticeMs);
    servers.callers.drainConnections();
    const closed = closeServer(servers.callers.server);
    while (servers.callers.inProgress() > 0) await delay(clock, drainPollMs);
    await parts.claimedCalls.idle();
    await closed;
    reader.close();
    parts.configSource.close();
    parts.permits.close();
    parts.host.close();
    parts.fleet.close();
    parts.store.close();
    await parts.access.dispatcher.close();
    await closeServer(servers.admin);
    logger.info('instance has stopped');
  }

  return ok({
    addresses: {
      callersPort: callersPort.value,
      adminPort: adminPort.value,
      peersPort: hub.port,
    },
    close,
  });
}

function delay(clock: Clock, delayMs: number): Promise<void> {
  return new Promise(resolve => {
    clock.after(delayMs, resolve);
  });
}

type Parts = ReturnType<typeof createParts>;

/** Creates the parts that do not listen, and connects them. */
function createParts({clock, logger, settings}: DaemonOptions) {
  const selfId = settings.instanceId;
  const incarnation = clock.wallMs();
  const readiness = createReadiness();
  const directory = createUpstreamDirectory();
  const holder = createConfigHolder(parseClasses, logger);
  const keys = createWorkspaceKeys();
  const store = createKeyValueClient({
    address: settings.keyValueAddress,
    timeoutMs: settings.platformTimeoutMs,
    clock,
  });
  const configStore = createConfigStore({
    store,
    clock,
    createWriteId: () => createRandomId(selfId),
  });
  const fleet = createFleet({
    clock,
    table: createMemberTable({
      instanceId: selfId,
      peerAddress: `${settings.peers.host}:${settings.peers.port}`,
      region: settings.region,
      failureDomain: settings.failureDomain,
      incarnation,
      state: 'live',
    }),
    seedPeers: settings.seedPeers,
    currentConfig: holder.stored,
    offerConfig: holder.offer,
    leavingUpstreams: directory.leaving,
    onLeavingUpstream: directory.markLeaving,
  });
  const {host, permits} = createScheduling(
    clock,
    selfId,
    fleet,
    directory,
    holder,
    incarnation,
  );
  const writers = Array.from({length: claimShardCount}, (_, shard) =>
    createClaimWriter({store, shard, clock}),
  );
  const claims = createClaimRouter({
    clock,
    selfId,
    local: createLocalClaimStore(writers),
    writerOf: ({idempotencyKey, workspaceId}: ClaimReference) =>
      fleet.owner(`claims ${claimShardOf(workspaceId, idempotencyKey)}`),
    send: fleet.send,
  });
  const recorder = createServiceLevelRecorder({clock, instanceId: selfId});
  const inspection = createFleetInspection(clock, fleet, {
    shards: host.snapshots,
    levels: recorder.snapshot,
  });
  const access: UpstreamAccess = {
    clock,
    region: settings.region,
    directory,
    permits,
    dispatcher: new Agent({pipelining: 1, keepAliveTimeout: 10_000}),
    retryBudget: createRetryBudget(),
    hedgeBudget: createHedgeBudget(),
  };
  fleet.registerEnvelopeHandler((from, envelope) => {
    const receivers = {host, deliver: permits.deliver};
    dispatchSchedulingMessage(receivers, clock, from, envelope);
    claims.receive(from, envelope);
    inspection.receive(from, envelope);
  });
  fleet.registerViewHandler(permits.refreshOwners);
  directory.registerChangeHandler(host.refreshUpstreams);
  holder.registerChangeHandler(config => {
    keys.apply(config);
    directory.setDrained(config.drainedUpstreams);
    host.refreshClasses();
  });
  return {
    access,
    claimedCalls: createClaimedCalls(clock, selfId, claims),
    configSource: createConfigSource(clock, logger, fleet, holder, configStore),
    configStore,
    directory,
    fleet,
    holder,
    host,
    inspection,
    keys,
    permits,
    readiness,
    recorder,
    store,
    takeList: (list: InstanceList) => {
      directory.setListed(list.upstreams);
      fleet.listed(
        list.routers
          .filter(router => router.instanceId !== selfId)
          .map(({leaving, ...router}) => ({
            ...router,
            // The platform's incarnation counts differently from our own, so
            // it only introduces an instance that has not been heard yet.
            incarnation: 0,
            state: leaving ? 'leaving' : 'live',
          })),
      );
    },
  };
}

function createScheduling(
  clock: Clock,
  selfId: InstanceId,
  fleet: ReturnType<typeof createFleet>,
  directory: ReturnType<typeof createUpstreamDirectory>,
  holder: ReturnType<typeof createConfigHolder>,
  incarnation: number,
) {
  let lastPermit = 0;
  const permitPrefix = `${selfId}.${incarnation.toString(36)}`;
  const remotePorts = new Map<InstanceId, SchedulerPort>();

  function portOf(scheduler: InstanceId): SchedulerPort {
    if (scheduler === selfId) return host;
    let port = remotePorts.get(scheduler);
    if (port === undefined) {
      port = createRemoteSchedulerPort(clock, envelope =>
        fleet.send(scheduler, envelope),
      );
      remotePorts.set(scheduler, port);
    }
    return port;
  }

  const host = createSchedulerHost({
    clock,
    selfId,
    createScheduler: shardId =>
      createShardScheduler({
        shardId,
        tracker: createUpstreamTracker(),
        lengths: createLengthModel(),
        random: createProcessRandom(),
        createPermitId: () =>
          toPermitId(`${permitPrefix}.${(++lastPermit).toString(36)}`),
      }),
    upstreamsOf: directory.inShard,
    classes: () => holder.inForce().classes,
    deliver: (shardId, effect) => {
      if (effect.holder === selfId) permits.deliver(shardId, selfId, effect);
      else fleet.send(effect.holder, encodeEffect(shardId, effect));
    },
    silentForMs: fleet.silentForMs,
  });
  const permits = createPermitClient({
    clock,
    selfId,
    ownerOf: (shardId: ShardId) => fleet.owner(shardId),
    portOf,
  });
  return {host, permits};
}

function createRandomId(prefix: string): string {
  return `${prefix}-${randomBytes(requestIdBytes).toString('hex')}`;
}

function createServers(
  {clock, logger, settings}: DaemonOptions,
  parts: Parts,
  hub: PeerHub,
) {
  const metrics = createMetrics({
    membersAlive: () => parts.fleet.alive().length,
    configVersion: () => parts.holder.inForce().version,
    permitsHeld: () => parts.permits.counts().held,
    permitsPending: () => parts.permits.counts().pending,
    peerMessagesSent: () => hub.traffic().sentMessages,
  });
  const common = [
    createRecordFilter({
      clock,
      logger,
      metrics,
      observe: call => {
        const observation = toObservation(call);
        if (observation !== undefined) parts.recorder.record(observation);
      },
    }),
    createAuthenticateFilter(parts.keys),
    createClassifyFilter(parts.holder.inForce),
  ];
  const callers = createCallerServer({
    clock,
    logger,
    createRequestId: (): RequestId =>
      toRequestId(createRandomId(settings.instanceId)),
    defaultTimeoutMs: settings.defaultTimeoutMs,
    maxBodyBytes: settings.maxBodyBytes,
    chatPipe: [...common, createChatFilter(parts.access)],
    plainPipe: [
      ...common,
      createPlainFilter({
        access: parts.access,
        claims: parts.claimedCalls,
        servicesIgnoringFencing: settings.servicesIgnoringFencing,
      }),
    ],
  });
  const admin = createAdminServer({
    admin: createAdminDependencies(clock, logger, settings, parts),
    metrics,
    notReadyReason: parts.readiness.reason,
  });
  return {admin, callers};
}

function createAdminDependencies(
  clock: Clock,
  logger: Logger,
  settings: InstanceSettings,
  parts: Parts,
): AdminDependencies {
  const {configStore, directory, fleet, holder} = parts;
  const views = {...parts, config: holder.inForce};
  return {
    clock,
    readerTokenFile: settings.readerTokenFile,
    writerTokenFile: settings.writerTokenFile,
    fleetStatus: () => ResultAsync.fromSafePromise(readFleetStatus(views)),
    queuedRequests: () =>
      ResultAsync.fromSafePromise(readQueuedRequests(views)),
    currentConfig: holder.stored,
    changeConfig: change =>
      configStore.change(change).map(result => {
        if (result.kind === 'accepted') holder.offer(result.config);
        return toOutcome(result);
      }),
    configHistory: limit => configStore.history(limit),
    configVersions: () => okAsync(readConfigVersions(fleet)),
    isKnownUpstream: upstreamId => directory.find(upstreamId) !== undefined,
    serviceLevels: () => ResultAsync.fromSafePromise(readServiceLevels(views)),
    audit: ({action, author, fromVersion, outcome, toVersion, writeId}) =>
      logger.info('configuration change', {
        action,
        author,
        fromVersion,
        toVersion,
        outcome,
        writeId,
      }),
    logUnexpected: cause =>
      logger.error('administration request failed', {error: String(cause)}),
  };
}

function toOutcome(result: ConfigChangeResult): ConfigChangeOutcome {
  switch (result.kind) {
    case 'accepted':
      return {kind: 'accepted', stored: result.config};
    case 'conflict':
      return {kind: 'conflict', winner: result.winner ?? initialConfig};
    case 'not_yet_known':
      return {kind: 'not_yet_known'};
  }
}
