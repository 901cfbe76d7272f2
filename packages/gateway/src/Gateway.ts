/**
 * An instance of the gateway. It wires up its components, serves requests while
 * its configuration is current, and drains requests before it stops.
 */
import type {Server} from 'node:http';
import type {
  AcceptedConnections,
  Clock,
  Listener,
  ListenError,
  RandomSource,
  RouterError,
  ServiceName,
  StopPlan,
} from '@toucanrouter/common';
import {
  closeOnceAccepted,
  createProcessMemory,
  createServerListener,
  createStopPlan,
  delay,
  isLastingListenError,
  maxQueueingMs,
  turnEnded,
  createOpenRequestLimit,
} from '@toucanrouter/common';
import type {Logger} from '@toucanrouter/logging';
import type {RetryBudget} from '@toucanrouter/policy';
import type {GatewaySettings, ListenAddress} from '@toucanrouter/settings';
import {err, ok, Result} from 'neverthrow';
import type {ActiveConfig} from './config/ActiveConfig.js';
import {createActiveConfig} from './config/ActiveConfig.js';
import {createConfigAge} from './config/ConfigAge.js';
import type {DutyHost, DutyServices} from './duties/DutyHost.js';
import {createDutyHost} from './duties/DutyHost.js';
import type {LoadExchange} from './peers/LoadExchange.js';
import {createLoadExchange} from './peers/LoadExchange.js';
import {createPeerDirectory} from './peers/PeerDirectory.js';
import {createRegistration} from './peers/Registration.js';
import {shortIdOf} from './peers/ShortIds.js';
import type {Dialect} from './request/Dialect.js';
import type {EndedRequest} from './request/EndedRequest.js';
import {getOrCreate} from './GetOrCreate.js';
import type {GatewayContext} from './request/GatewayContext.js';
import {createLoadControl} from './request/LoadControl.js';
import type {RequestStage} from './request/OpenRequest.js';
import {createPromptGuard} from './request/PromptGuard.js';
import {createSharedRetryBudget} from './request/SharedRetryBudget.js';
import {createTurnQueue} from './request/TurnQueue.js';
import {createConnectionBudgets} from './server/ConnectionBudgets.js';
import {createGatewayMetrics} from './server/GatewayMetrics.js';
import {createGatewayServer} from './server/GatewayServer.js';
import {
  createMetricsServer,
  createReadinessServer,
} from './server/StatusServers.js';
import {createRelayClient} from './state/RelayClient.js';
import {createRelayServer} from './state/RelayServer.js';
import {createStateLog} from './state/StateLog.js';
import type {StateStore} from './state/StateStore.js';
import {createStoreHistory} from './state/StoreHistory.js';
import type {StateSync} from './state/StateSync.js';
import {createStateSync} from './state/StateSync.js';
import {createVerdictArchive} from './state/VerdictArchive.js';
import type {StreamOriginArchive} from './streams/StreamOriginArchive.js';
import {createStreamOrigins} from './streams/StreamOriginArchive.js';
import {createUpstreamConnections} from './upstreams/UpstreamConnections.js';
import {createUpstreamKnowledge} from './upstreams/UpstreamKnowledge.js';
import {probeUpstream} from './upstreams/UpstreamProbe.js';
import {createUpstreamNotices} from './upstreams/UpstreamNotices.js';
import {createUpstreamRateLimits} from './upstreams/UpstreamRateLimits.js';
import {createUpstreamRegistry} from './upstreams/UpstreamRegistry.js';

/** Options of a gateway. */
export interface GatewayOptions {
  readonly settings: GatewaySettings;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: RandomSource;
  readonly dialect: Dialect;
  readonly store: StateStore;
  /** Path of the load balancer's readiness check. */
  readonly readinessPath: string;
  /** The platform's services for the duties, if the settings name any. */
  readonly duties?: DutyServices | undefined;
}

/** A gateway instance. */
export interface Gateway {
  /**
   * Resolves once callers and the readiness check are served, or with the error
   * that makes it impossible. A stop ends a start that still waits.
   */
  start(): Promise<Result<void, RouterError>>;
  /** Applies settings that may change while the gateway runs. */
  reload(settings: GatewaySettings): void;
  /** Drains the requests in progress within the grace period and closes. */
  close(): Promise<void>;
}

/**
 * Share of the revocation delay after which API keys are refused unless the
 * store confirms the configuration. The rest covers requests in flight and
 * changes that the watch receives late.
 */
const maxConfigAgeShare = 0.8;
/**
 * Time until the load balancer stops sending requests: it checks once a second
 * and removes an instance after two failed checks.
 */
const loadBalancerDelayMs = 2_600;
/** Time before the last answers in which to accept what waits at the port. */
const minAcceptMs = 300;
const graceEndReason = 'the grace period of the instance is over';
const drainPollMs = 25;
const msPerSecond = 1_000;
/** What is not closed after this time ends with the process. */
const maxCloseMs = 100;
/** Callers that still send requests do so within this time of each other. */
const minQuietMs = 300;
/** The same while connections are open on which a request may be on its way. */
const minQuietWithConnectionsMs = 1_000;
/** Bodies that seem to stall while the event loop runs later may have arrived. */
const maxStalledCheckDelayMs = 500;
/** Creates a gateway; nothing is started. */
export function createGateway(options: GatewayOptions): Gateway {
  const {clock, logger, store} = options;
  let {settings} = options;
  let stopping = false;
  let draining = false;
  let refusedWhileStopping = 0;
  let budgetsStartedAtMs = clock.nowMs();
  const budgetsByService = new Map<ServiceName, RetryBudget>();
  const configAge = createConfigAge(clock);
  const memory = createProcessMemory(clock, settings.memoryLimitBytes);
  const openRequestLimit = createOpenRequestLimit(memory.plan.openRequestBytes);
  const ports = createConnectionBudgets({
    clock,
    log: logger,
    maxDescriptors: settings.maxDescriptors,
    memoryLimitBytes: memory.plan.limitBytes,
  });
  const knowledge = createUpstreamKnowledge({
    clock,
    selfId: shortIdOf(settings.instanceId),
    onPoolsAssigned: (service, engines) =>
      logger.info('engines divided', {
        service,
        ...engines,
        peers: knowledge.peerLoads.peerCount(),
      }),
  });
  const connections = createUpstreamConnections(clock);

  const retryBudgetOf = (service: ServiceName) =>
    getOrCreate(budgetsByService, service, () =>
      createSharedRetryBudget({
        limits: settings,
        instanceCount: () => peers.addresses().length + 1,
        startedAtMs: budgetsStartedAtMs,
        onDenied: status =>
          logger.info('retry denied for lack of budget', {service, ...status}),
      }),
    );

  const config: ActiveConfig = createActiveConfig(next => {
    gatewayServer.applyLimits(next.limits);
    streamOrigins.routesChanged();
    logger.info('configuration in force', {
      configVersion: next.version,
      routes: next.routes.length,
      services: next.services.size,
      configAgeMs: Math.round(configAge.ageMs()),
    });
  });
  const routes = () => config.current()?.routes ?? [];
  const turnQueue = createTurnQueue({clock});
  const loadControl = createLoadControl({
    clock,
    logger,
    random: options.random,
    config,
    queueWaitMs: turnQueue.waitMs,
    onRefused: (tier, reason) => metrics.observeShed(tier, reason),
    onDelaySample: delayMs => {
      // After a pause of the process, what has arrived is read first.
      if (delayMs < maxStalledCheckDelayMs) {
        memory.requestBodies.giveUpStalled();
      }
    },
  });
  const {loopDelay} = loadControl;
  const registry = createUpstreamRegistry({
    clock,
    leavingDelayMs: () => settings.leavingDelayMs,
    onAdded: entry => {
      upstreamNotices.upstreamAdded(entry);
      upstreamRates.upstreamAdded(entry);
      streamOrigins.upstreamAdded(entry);
      logger.info(
        entry.leaving ? 'upstream is leaving' : 'upstream is usable',
        {
          upstream: entry.id,
          service: entry.service,
        },
      );
    },
    onRemoved: (entry, reason) => {
      knowledge.forget(entry.id);
      upstreamRates.upstreamRemoved(entry);
      logger.info('upstream removed', {upstream: entry.id, reason});
    },
  });
  const peers = createPeerDirectory(settings.instanceId);
  const stateLog = createStateLog(clock);
  const storeHistory = createStoreHistory();
  const relays = createRelayClient();
  const promptGuard = createPromptGuard({
    clock,
    logger,
    random: options.random,
    probe: entry => probeUpstream(clock, entry),
    isUsable: entry =>
      registry
        .usable(entry.service)
        .some(
          ({id, startedAtMs}) =>
            id === entry.id && startedAtMs === entry.startedAtMs,
        ),
    onNews: () => exchange.reportQuarantineSoon(),
    onConvicted: ({durationMs, evidenceAgeMs, segment}) =>
      verdictArchive.save({segment, durationMs, evidenceAgeMs}),
    onCleared: segment => verdictArchive.remove(segment),
  });
  const verdictArchive = createVerdictArchive({
    clock,
    logger,
    store,
    history: storeHistory,
    onVerdict: promptGuard.adopt,
  });
  const streamOrigins: StreamOriginArchive = createStreamOrigins({
    clock,
    logger,
    random: options.random,
    instanceId: settings.instanceId,
    store,
    history: storeHistory,
    usable: registry.usable,
    isInSync: () => sync.connected(),
    longestTimeoutMs: () =>
      Math.max(0, ...routes().map(({timeoutMs}) => timeoutMs)),
    sharesRoute: service =>
      routes().some(
        ({targets}) =>
          targets.some(target => target.service === service) &&
          targets.some(target => target.service !== service),
      ),
  });
  const upstreamNotices = createUpstreamNotices({
    clock,
    logger,
    onLeaving: (entry, requestId) => {
      if (!registry.markLeaving(entry)) return;
      logger.info('upstream announces that it leaves', {
        upstream: entry.id,
        service: entry.service,
        requestId,
      });
    },
    onRefused: (entry, asksForPause) =>
      metrics.observeRefusal(entry.service, asksForPause),
  });
  const upstreamRates = createUpstreamRateLimits({
    clock,
    logger,
    random: options.random,
    selfId: settings.instanceId,
    peerIds: peers.ids,
    usable: registry.usable,
    onNews: () => exchange.reportRatesSoon(),
  });
  const exchange: LoadExchange = createLoadExchange({
    clock,
    logger,
    instanceId: settings.instanceId,
    listen: settings.peers,
    peers,
    takeWork: knowledge.takeReport,
    onReport: knowledge.receiveReport,
    takeQuarantine: promptGuard.takeReport,
    onQuarantine: promptGuard.receiveReport,
    takeRates: upstreamRates.takeReport,
    onRates: upstreamRates.receiveReport,
    onDutyReport: report => duties?.receiveReport(report),
  });
  const registration = createRegistration({
    clock,
    logger,
    store,
    history: storeHistory,
    entry: {
      instanceId: settings.instanceId,
      address: settings.peers,
      failureDomain: settings.failureDomain,
    },
  });

  const sync: StateSync = createStateSync({
    clock,
    logger,
    instanceId: settings.instanceId,
    failureDomain: settings.failureDomain,
    store,
    relays,
    log: stateLog,
    history: storeHistory,
    config,
    configAge,
    registry,
    peers,
    onVerdict: verdictArchive.receive,
    onVerdictRemoved: verdictArchive.receiveRemoval,
    onVersionList: streamOrigins.receive,
    onVersionListRemoved: streamOrigins.receiveRemoval,
    onOwnEntryRemoved: registration.entryRemoved,
    onDutyOwner: holder => duties?.ownerShown(holder),
    changeDelayMs: () =>
      Math.min(settings.configDelayMs, settings.leavingDelayMs),
  });
  const duties: DutyHost | undefined =
    options.duties &&
    settings.duties &&
    createDutyHost({
      ...options.duties,
      clock,
      logger,
      instanceId: settings.instanceId,
      settings: settings.duties,
      peers,
      history: storeHistory,
      sendReport: exchange.sendDutyReport,
      config,
      registry,
      knowledge,
      stateAgeMs: configAge.ageMs,
      isReady: () => sync.connected() && notReadyReason() === undefined,
    });
  const relayServer = createRelayServer({
    clock,
    log: stateLog,
    configAge,
    readAge: sync.readAge,
    shownConfigVersion: sync.shownConfigVersion,
    isConnected: sync.connected,
    lastAbsence: sync.lastAbsence,
  });
  const maxConfigAgeMs = () => settings.revocationDelayMs * maxConfigAgeShare;

  function onEnded(ended: EndedRequest): void {
    metrics.observe(ended);
    if (ended.outcome === 'shutting_down') refusedWhileStopping += 1;
    logger.info('request ended', {
      ...ended,
      expectedMs: ended.expectedMs && Math.round(ended.expectedMs),
      firstAnswerMs: ended.firstAnswerMs && Math.round(ended.firstAnswerMs),
      longestPauseMs: Math.round(ended.longestPauseMs),
      totalMs: Math.round(ended.totalMs),
    });
  }

  const context: GatewayContext = {
    clock,
    logger,
    random: options.random,
    dialect: options.dialect,
    failureDomain: settings.failureDomain,
    config,
    configAge,
    maxConfigAgeMs,
    confirmConfig: sync.confirmConfig,
    registry,
    knowledge,
    reportSoon: exchange.reportSoon,
    loadControl,
    turnQueue,
    connections,
    callerConnections: ports.callers,
    lingeringCallerCount: ports.lingeringCallerCount,
    openRequestLimit,
    requestBodies: memory.requestBodies,
    responseBuffers: memory.responses,
    promptGuard,
    upstreamNotices,
    upstreamRates,
    streamOrigins,
    readUpstream: async (id, timeoutMs) => {
      const read = await store.readUpstream(id, timeoutMs);
      if (read.isOk()) return read.value;
      logger.info(
        'the entry of an upstream could not be verified; the known one counts',
        {upstream: id, reason: read.error.message},
      );
      return undefined;
    },
    onResumptionEnded: outcome => metrics.observeResumption(outcome),
    retryBudget: retryBudgetOf,
    isDraining: () => draining,
    onBegun: workspaceId => duties?.recordBegun(workspaceId),
    onEnded,
  };
  let unansweredWhileStopping = 0;
  let acceptedAtEnd: AcceptedConnections | undefined;
  let isListenerClosing = false;
  let listenerClosedAtMs: number | undefined;
  const cutRequestsByStage = new Map<RequestStage, number>();
  const gatewayServer = createGatewayServer(context, unanswered => {
    metrics.observeUnanswered(unanswered.stage, stopping);
    if (!stopping) return;
    unansweredWhileStopping += 1;
    logger.info('connection closed before the response was complete', {
      ...unanswered,
    });
  });
  const metrics = createGatewayMetrics({
    configVersion: () => config.current()?.version ?? 0,
    configAgeMs: configAge.ageMs,
    requestsInProgress: gatewayServer.inProgress,
    connectionsOpened: connections.opened,
    storeConnected: sync.connected,
    storeEra: storeHistory.era,
    crashCount: promptGuard.crashCount,
    quarantinedCount: promptGuard.blockedCount,
    retryBudgets: () =>
      [...budgetsByService].map(([service, budget]) => ({
        service,
        ...budget.status(clock.nowMs()),
      })),
    upstreamVersions: registry.versionCounts,
    pausedCount: upstreamNotices.pausedCount,
    rateLimits: upstreamRates.status,
    loopDelayMs: loopDelay.currentMs,
    recentLoopDelayMs: loopDelay.recentMaxMs,
    admittedShare: loadControl.admittedShare,
    residentBytes: memory.residentBytes,
    memoryLimitBytes: () => memory.plan.limitBytes,
    heapBytes: memory.heapBytes,
    heapLimitBytes: () => memory.heapLimitBytes,
    startedAtUnixMs: clock.wallMs() - process.uptime() * msPerSecond,
    memoryHolders: memory.holders,
    duties: duties?.status,
    bodyMemory: memory.requestBodies.status,
    callerConnections: ports.callers.status,
    openRequests: openRequestLimit.status,
    listeners: () => [
      {purpose: 'callers', isOpen: callersListener.isOpen()},
      {purpose: 'readiness checks', isOpen: readinessListener.isOpen()},
      {purpose: 'metrics', isOpen: metricsListener.isOpen()},
      {purpose: 'peers', isOpen: peersListener.isOpen()},
      {purpose: 'reports of peers', isOpen: exchange.isOpen()},
    ],
  });

  function notReadyReason(): string | undefined {
    if (stopping) return 'the instance is stopping';
    if (!callersListener.isOpen())
      return 'the listener for callers is not open';
    if (config.current() === undefined) return 'no configuration';
    if (configAge.ageMs() > maxConfigAgeMs()) return 'the configuration is old';
    return undefined;
  }

  const readinessServer = createReadinessServer(
    options.readinessPath,
    notReadyReason,
    ports.readiness,
  );
  const metricsServer = createMetricsServer(metrics, ports.metrics);

  /** An instance without a required listener is useless, so it ends. */
  function createListenerFor(
    purpose: string,
    server: Server,
    target: ListenAddress,
    required: boolean,
    backlog = ports.waitingCount,
  ): Listener {
    const isFinal = (error: ListenError) =>
      required && isLastingListenError(error);
    const common = {clock, log: logger, purpose, isFinal};
    return createServerListener({...common, server, target, backlog});
  }
  const callersListener = createListenerFor(
    'callers',
    gatewayServer.server,
    settings.callers,
    true,
    ports.waitingCallerCount,
  );
  const readinessListener = createListenerFor(
    'readiness checks',
    readinessServer,
    settings.readiness,
    true,
  );
  const metricsListener = createListenerFor(
    'metrics',
    metricsServer,
    settings.metrics,
    false,
  );
  // Reports to peers use the same port over UDP.
  const peersListener = createListenerFor(
    'peers',
    relayServer,
    settings.peers,
    false,
  );
  const requiredPorts = [settings.callers.port, settings.readiness.port];

  /** The settings may give one port to several listeners; the required ones win. */
  async function openOptional(
    listener: Listener,
    {port}: ListenAddress,
    requiredOpened: Promise<unknown>,
  ): Promise<void> {
    if (requiredPorts.includes(port)) await requiredOpened;
    await listener.open();
  }

  const servers: readonly (readonly [Server, Listener])[] = [
    [gatewayServer.server, callersListener],
    [readinessServer, readinessListener],
    [metricsServer, metricsListener],
    [relayServer, peersListener],
  ];

  /**
   * A request may have been sent on an open connection and not have been read
   * yet, so the process ends only once the callers are quiet.
   */
  function isDrained(): boolean {
    if (gatewayServer.inProgress() > 0) return false;
    const isUnconnected = gatewayServer.openConnections() === 0;
    if (isUnconnected && !callersListener.isOpen()) return true;
    const requiredQuietMs =
      (isUnconnected ? minQuietMs : minQuietWithConnectionsMs) +
      loopDelay.recentMaxMs();
    return gatewayServer.quietMs() >= requiredQuietMs;
  }

  /**
   * Accepts what waits at the port of callers and closes it. Further connections
   * may queue for a short time, and not once the last answers are due.
   */
  async function closeCallersListener(plan: StopPlan): Promise<void> {
    const startedAtMs = clock.nowMs();
    isListenerClosing = true;
    acceptedAtEnd = await closeOnceAccepted({
      server: gatewayServer.server,
      close: callersListener.close,
      isLate: () =>
        clock.nowMs() >= startedAtMs + maxQueueingMs ||
        plan.untilLastAnswersMs(clock.nowMs()) <= 0,
      isOverdue: () => plan.untilClosingMs(clock.nowMs()) <= 0,
    });
    listenerClosedAtMs = clock.nowMs();
  }

  /** Drains requests until all are answered or the last answers are due. */
  async function drainRequests(plan: StopPlan): Promise<void> {
    for (;;) {
      const phase = plan.phase(clock.nowMs());
      if (phase !== 'notice' && !draining) {
        draining = true;
        gatewayServer.server.closeIdleConnections();
      }
      if (phase === 'last_answers' || phase === 'closing') break;
      const mustClose =
        phase === 'drain' ||
        (draining && plan.untilLastAnswersMs(clock.nowMs()) <= minAcceptMs);
      if (mustClose && !isListenerClosing) void closeCallersListener(plan);
      if (draining && isDrained()) break;
      await delay(clock, drainPollMs);
      if (draining && gatewayServer.quietMs() >= minQuietMs) {
        gatewayServer.server.closeIdleConnections();
      }
    }
  }

  /**
   * Answers or breaks off the requests that are open at the end of a stop, and
   * waits until their callers have the answers. Requests that are read meanwhile
   * are refused; those that wait at the port until then are accepted first.
   */
  async function answerOpenRequests(plan: StopPlan): Promise<void> {
    for (const open of gatewayServer.openRequests()) {
      const stage = open.stage();
      cutRequestsByStage.set(stage, (cutRequestsByStage.get(stage) ?? 0) + 1);
      logger.warn('request is cut at the end of the stop', {
        requestId: open.requestId,
        stage,
        openMs: Math.round(open.openMs()),
      });
      open.end(graceEndReason);
    }
    const wasDrained = isDrained();
    const wasListening = callersListener.isOpen();
    if (wasListening && !isListenerClosing) void closeCallersListener(plan);
    const mustRefuse = () =>
      !wasDrained || (wasListening && (acceptedAtEnd?.acceptedCount ?? 0) > 0);
    const isOpen = () =>
      callersListener.isOpen() ||
      gatewayServer.inProgress() > 0 ||
      (mustRefuse() && gatewayServer.openConnections() > 0);
    while (isOpen() && plan.untilClosingMs(clock.nowMs()) > 0) {
      await delay(clock, drainPollMs);
    }
    // Timers run before sockets are read, and what has arrived gets its answer.
    await turnEnded();
    for (const open of gatewayServer.openRequests()) {
      open.breakOff(graceEndReason);
    }
  }

  /** Closes what the process uses; nothing of it may hold up the exit. */
  async function closeConnections(plan: StopPlan): Promise<void> {
    const limitMs = Math.max(
      drainPollMs,
      Math.min(maxCloseMs, plan.untilClosingMs(clock.nowMs())),
    );
    await Promise.race([
      Promise.all([relays.close(), connections.close()]),
      delay(clock, limitMs),
    ]);
  }

  return {
    start: async () => {
      loopDelay.start();
      sync.start();
      exchange.start();
      registration.start();
      duties?.start();
      const requiredOpened = Promise.all([
        callersListener.open(),
        readinessListener.open(),
      ]);
      void openOptional(metricsListener, settings.metrics, requiredOpened);
      void openOptional(peersListener, settings.peers, requiredOpened);
      const opened = Result.combine(await requiredOpened);
      if (opened.isErr()) return err(opened.error);
      logger.info('instance started', {
        callers: `${settings.callers.host}:${settings.callers.port}`,
        failureDomain: settings.failureDomain,
      });
      return ok(undefined);
    },
    reload: next => {
      const previous = settings;
      settings = next;
      // A new budget starts without recorded retries, so budgets are replaced
      // only if their settings changed.
      if (
        next.retryShare !== previous.retryShare ||
        next.retryAllowance !== previous.retryAllowance ||
        next.retryWindowMs !== previous.retryWindowMs
      ) {
        budgetsByService.clear();
        budgetsStartedAtMs = clock.nowMs();
      }
      logger.info('settings reloaded', {revocationMs: next.revocationDelayMs});
    },
    close: async () => {
      const startedAtMs = clock.nowMs();
      const plan = createStopPlan({
        receivedAtMs: startedAtMs,
        signalDelayMs: loopDelay.unreadMs(),
        graceMs: settings.stopGraceMs,
        noticeMs: loadBalancerDelayMs,
        loopDelayMs: loopDelay.recentMaxMs,
      });
      stopping = true;
      gatewayServer.closeAfterResponses();
      void duties?.release();
      logger.info('instance is stopping', {
        requestsInProgress: gatewayServer.inProgress(),
        loopDelayMs: Math.round(loopDelay.recentMaxMs()),
        reserveMs: Math.round(plan.reserveMs()),
      });
      const sinceStartMs = (atMs: number) => Math.round(atMs - startedAtMs);
      // Without a listener there are no callers to wait for.
      if (callersListener.isOpen()) await drainRequests(plan);
      const drainedMs = sinceStartMs(clock.nowMs());
      sync.close();
      duties?.close();
      exchange.close();
      promptGuard.close();
      upstreamNotices.close();
      verdictArchive.close();
      streamOrigins.close();
      registration.close();
      const cutRequests = gatewayServer.inProgress();
      await answerOpenRequests(plan);
      const answeredMs = sinceStartMs(clock.nowMs());
      const openConnections = gatewayServer.openConnections();
      for (const [server, listener] of servers) {
        listener.close();
        server.closeAllConnections();
      }
      await closeConnections(plan);
      logger.info('instance stopped', {
        cutRequests,
        cutByStage: [...cutRequestsByStage]
          .map(([stage, count]) => `${stage} ${count}`)
          .join(', '),
        refusedWhileStopping,
        unansweredWhileStopping,
        acceptedAtEnd: acceptedAtEnd?.acceptedCount,
        isAcceptQueueEmpty: acceptedAtEnd?.isQueueEmpty,
        openConnections,
        listenerClosedMs:
          listenerClosedAtMs && sinceStartMs(listenerClosedAtMs),
        drainedMs,
        answeredMs,
        tookMs: sinceStartMs(clock.nowMs()),
        reserveMs: Math.round(plan.reserveMs()),
        loopDelayMs: Math.round(loopDelay.recentMaxMs()),
        longestLoopDelayMs: Math.round(loopDelay.maxMs()),
        residentBytes: memory.residentBytes(),
      });
      loopDelay.close();
    },
  };
}
