/**
 * Creates the components of an instance, except its servers, and connects them.
 */
import {randomBytes} from 'node:crypto';
import {
  claimShardCount,
  claimShardOf,
  createClaimWriter,
  createLocalClaimStore,
} from '@toucanrouter/claims';
import type {
  ClaimReference,
  Clock,
  ConnectionBudget,
  DescriptorPlan,
  KeyValueStore,
  ProcessMemory,
  StoreHistoryStatus,
} from '@toucanrouter/common';
import {limitHeaderLines} from '@toucanrouter/common/http-client';
import {
  createPortConnections,
  createProcessMemory,
  createProcessRandom,
} from '@toucanrouter/common';
import {createMemberTable} from '@toucanrouter/membership';
import type {ConfigStore, InstanceList} from '@toucanrouter/keyvalue';
import {createConfigStore, createKeyValueClient} from '@toucanrouter/keyvalue';
import {createHedgeBudget, createRetryBudget} from '@toucanrouter/policy';
import type {ServiceLevelRecorder} from '@toucanrouter/report';
import {createServiceLevelRecorder} from '@toucanrouter/report';
import type {InstanceSettings} from '@toucanrouter/settings';
import {parseClasses} from '@toucanrouter/settings';
import {Agent} from 'undici';
import type {ClaimedCalls} from './claims/ClaimedCall.js';
import {createClaimedCalls} from './claims/ClaimedCall.js';
import type {ClaimRouter} from './claims/ClaimRouter.js';
import {createClaimRouter} from './claims/ClaimRouter.js';
import type {ConfigHolder} from './fleet/ConfigHolder.js';
import {createConfigHolder} from './fleet/ConfigHolder.js';
import type {ConfigSource} from './fleet/ConfigSource.js';
import {createConfigSource} from './fleet/ConfigSource.js';
import type {Fleet} from './fleet/Fleet.js';
import {createFleet} from './fleet/Fleet.js';
import type {FleetInspection} from './fleet/FleetInspection.js';
import {createFleetInspection} from './fleet/FleetInspection.js';
import {toListedMembers} from './fleet/ListedRouters.js';
import type {QuarantineExchange} from './fleet/QuarantineExchange.js';
import {createQuarantineExchange} from './fleet/QuarantineExchange.js';
import type {UpstreamDirectory} from './fleet/UpstreamDirectory.js';
import {createUpstreamDirectory} from './fleet/UpstreamDirectory.js';
import type {Logger} from '@toucanrouter/logging';
import type {Readiness} from './Readiness.js';
import {createReadiness} from './Readiness.js';
import type {WorkspaceKeys} from './request/Authenticate.js';
import {createWorkspaceKeys} from './request/Authenticate.js';
import {probeEngine} from './request/chat/EngineProbe.js';
import {createPromptGuard} from './request/chat/PromptGuard.js';
import type {LoadControl} from './request/LoadControl.js';
import {createLoadControl} from './request/LoadControl.js';
import {createLimitedUpstreams} from './request/LimitedUpstreams.js';
import {createPausedUpstreams} from './request/PausedUpstreams.js';
import type {UpstreamAccess} from './request/UpstreamAccess.js';
import {connectUpstream} from './request/UpstreamSocket.js';
import {dispatchSchedulingMessage} from './scheduling/RemoteSchedulerPort.js';
import type {Scheduling} from './scheduling/Scheduling.js';
import {createScheduling} from './scheduling/Scheduling.js';

/** Options of an instance. */
export interface InstanceOptions {
  readonly settings: InstanceSettings;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** The connections that the ports of an instance may hold. */
export interface InstancePorts {
  readonly plan: DescriptorPlan;
  readonly callers: ConnectionBudget;
  readonly admin: ConnectionBudget;
}

/** The components of an instance. */
export interface Instance extends Scheduling {
  readonly access: UpstreamAccess;
  readonly claimedCalls: ClaimedCalls;
  readonly configSource: ConfigSource;
  readonly configStore: ConfigStore;
  readonly directory: UpstreamDirectory;
  readonly fleet: Fleet;
  readonly holder: ConfigHolder;
  readonly inspection: FleetInspection;
  readonly keys: WorkspaceKeys;
  readonly loadControl: LoadControl;
  readonly memory: ProcessMemory;
  readonly ports: InstancePorts;
  readonly quarantineExchange: QuarantineExchange;
  readonly readiness: Readiness;
  readonly recorder: ServiceLevelRecorder;
  storeHistory(): StoreHistoryStatus;
  /** Records of claims written again because the service had lost them. */
  claimRecordsRestored(): number;
  /** Applies a response of the platform's instance list. */
  applyInstanceList(list: InstanceList): void;
  /** Closes all components; no request may be in progress. */
  close(): Promise<void>;
}

const randomIdBytes = 12;
const idleConnectionTimeoutMs = 10_000;
/** Bodies that seem to stall while the event loop runs later may have arrived. */
const maxStalledCheckDelayMs = 500;

/**
 * An idle instance with claims in memory notices that the key-value service came
 * back from a copy within this time. Only instances that wrote claims ask.
 */
const historyCheckIntervalMs = 2_000;

/** Returns a unique id: `prefix` followed by random bytes in hexadecimal. */
export function createRandomId(prefix: string): string {
  return `${prefix}-${randomBytes(randomIdBytes).toString('hex')}`;
}

/** Creates the components and connects them without starting any. */
export function createInstance(options: InstanceOptions): Instance {
  const {clock, logger, settings} = options;
  const selfId = settings.instanceId;
  const incarnation = clock.wallMs();
  const directory = createUpstreamDirectory();
  const holder = createConfigHolder(parseClasses, logger);
  const keys = createWorkspaceKeys();
  const store = createKeyValueClient({
    address: settings.keyValueAddress,
    timeoutMs: settings.platformTimeoutMs,
    clock,
  });
  const unregisterHistory = store.registerHistoryHandler(
    ({clusterId, previousClusterId, previousRevision, revision}) =>
      logger.warn('the key-value service came back from a copy', {
        previousClusterId,
        clusterId,
        previousRevision,
        revision,
      }),
  );
  const configStore = createConfigStore({
    store,
    clock,
    createWriteId: () => createRandomId(selfId),
    inForce: holder.stored,
    onRestored: ({replaced, written}) =>
      logger.warn('configuration was written again', {
        version: written.version,
        replacedVersion: replaced?.version ?? 0,
      }),
  });
  const fleet = createInstanceFleet(options, incarnation, directory, holder);
  const config = holder.inForce;
  const scheduling = createScheduling({
    clock,
    config,
    directory,
    fleet,
    incarnation,
    statedRates: shardId => limitedUpstreams.statements(shardId),
  });
  const limitedUpstreams = createLimitedUpstreams({
    clock,
    logger,
    directory,
    onChange: scheduling.permits.reportRates,
  });
  const claims = createClaims(options, fleet, store);
  const recorder = createServiceLevelRecorder({clock, instanceId: selfId});
  const inspection = createFleetInspection(clock, fleet, {
    shards: scheduling.host.snapshots,
    levels: recorder.snapshot,
  });
  const dispatcher = new Agent({
    connect: connectUpstream,
    pipelining: 1,
    keepAliveTimeout: idleConnectionTimeoutMs,
  });
  limitHeaderLines(dispatcher);
  const promptGuard = createPromptGuard({
    clock,
    logger,
    random: createProcessRandom(),
    probe: address => probeEngine(clock, address),
    find: directory.find,
    onNews: () => quarantineExchange.notify(),
  });
  const pausedUpstreams = createPausedUpstreams({clock, logger, directory});
  const quarantineExchange = createQuarantineExchange({
    clock,
    fleet,
    guard: promptGuard,
  });
  const memory = createProcessMemory(clock, settings.memoryLimitBytes);
  const portConnections = createPortConnections({
    clock,
    log: logger,
    memoryLimitBytes: memory.plan.limitBytes,
  });
  const instance: Instance = {
    ...scheduling,
    access: {
      clock,
      region: settings.region,
      directory,
      permits: scheduling.permits,
      dispatcher,
      responseBuffers: memory.responses,
      retryBudget: createRetryBudget({
        onDenied: status =>
          logger.info('retry denied for lack of budget', {...status}),
      }),
      hedgeBudget: createHedgeBudget(),
      promptGuard,
      pausedUpstreams,
      limitedUpstreams,
      random: createProcessRandom(),
    },
    claimedCalls: createClaimedCalls(clock, selfId, claims.router),
    configSource: createConfigSource(clock, logger, fleet, holder, configStore),
    configStore,
    directory,
    fleet,
    holder,
    inspection,
    keys,
    loadControl: createInstanceLoadControl(options, holder, memory),
    memory,
    ports: {
      plan: portConnections.plan,
      callers: portConnections.createCallerBudget(),
      admin: portConnections.createStatusBudget('operators'),
    },
    quarantineExchange,
    readiness: createReadiness(),
    recorder,
    storeHistory: store.history,
    claimRecordsRestored: claims.recordsRestored,
    applyInstanceList: list => {
      directory.setListed(list.upstreams);
      fleet.addListedMembers(toListedMembers(list.routers, selfId));
    },
    close: async () => {
      instance.loadControl.loopDelay.close();
      instance.configSource.close();
      quarantineExchange.close();
      promptGuard.close();
      pausedUpstreams.close();
      limitedUpstreams.close();
      scheduling.permits.close();
      scheduling.host.close();
      await claims.close();
      unregisterHistory();
      fleet.close();
      store.close();
      await dispatcher.close();
    },
  };
  registerHandlers(instance, claims.router, clock);
  return instance;
}

function createInstanceLoadControl(
  {clock, logger}: InstanceOptions,
  holder: ConfigHolder,
  memory: ProcessMemory,
): LoadControl {
  return createLoadControl({
    clock,
    logger,
    random: createProcessRandom(),
    classes: () => holder.inForce().classes,
    onSample: delayMs => {
      // After a pause of the process, what has arrived is read first.
      if (delayMs < maxStalledCheckDelayMs) {
        memory.requestBodies.giveUpStalled();
      }
    },
  });
}

function createInstanceFleet(
  {clock, settings}: InstanceOptions,
  incarnation: number,
  directory: UpstreamDirectory,
  holder: ConfigHolder,
): Fleet {
  const {host, port} = settings.peers;
  return createFleet({
    clock,
    table: createMemberTable({
      instanceId: settings.instanceId,
      peerAddress: `${host}:${port}`,
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
}

interface Claims {
  readonly router: ClaimRouter;
  recordsRestored(): number;
  close(): Promise<void>;
}

function createClaims(
  {clock, logger}: InstanceOptions,
  fleet: Fleet,
  store: KeyValueStore,
): Claims {
  const writers = Array.from({length: claimShardCount}, (_, shard) =>
    createClaimWriter({
      store,
      shard,
      clock,
      onRestored: records =>
        logger.warn('lost claims were written again', {shard, records}),
    }),
  );
  const stopChecks = clock.every(historyCheckIntervalMs, () => {
    for (const writer of writers) writer.checkHistory();
  });
  const router = createClaimRouter({
    clock,
    selfId: fleet.selfId,
    local: createLocalClaimStore(writers),
    writerOf: ({idempotencyKey, workspaceId}: ClaimReference) =>
      fleet.ownerInFleet(`claims ${claimShardOf(workspaceId, idempotencyKey)}`),
    send: fleet.send,
  });
  return {
    router,
    recordsRestored: () =>
      writers.reduce((sum, w) => sum + w.counters().recordsRestored, 0),
    close: async () => {
      stopChecks();
      await Promise.all(writers.map(writer => writer.close()));
    },
  };
}

/** Passes messages, view changes and configurations to the components. */
function registerHandlers(
  instance: Instance,
  claims: ClaimRouter,
  clock: Clock,
): void {
  const {directory, fleet, holder, host, inspection, keys, permits} = instance;
  const receivers = {host, deliver: permits.deliver};
  fleet.registerEnvelopeHandler((from, envelope) => {
    dispatchSchedulingMessage(receivers, clock, from, envelope);
    claims.receive(from, envelope);
    inspection.receive(from, envelope);
    instance.quarantineExchange.receive(from, envelope);
  });
  fleet.registerViewHandler(() => {
    host.warmUp(directory.shardsIn(fleet.region));
    permits.refreshOwners();
  });
  directory.registerChangeHandler(host.refreshUpstreams);
  holder.registerChangeHandler(config => {
    keys.apply(config);
    directory.setDrained(config.drainedUpstreams);
    host.refreshClasses();
  });
}
