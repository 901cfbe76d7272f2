/**
 * Lifecycle of an instance. The start order ensures that it serves no request
 * before its configuration is known; the stop order ensures that no request is
 * interrupted.
 */
import type {Listener, RouterError} from '@toucanrouter/common';
import {
  createOpenListenerErrorLog,
  createStopPlan,
  delay,
} from '@toucanrouter/common';
import {createPeerHub} from '@toucanrouter/peer';
import type {InstanceListReader} from '@toucanrouter/keyvalue';
import {createInstanceListReader} from '@toucanrouter/keyvalue';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {Instance, InstanceOptions} from './Instance.js';
import {createInstance} from './Instance.js';
import {stopCallers} from './server/CallerStop.js';
import {
  closeServer,
  createListening,
  listeningPort,
} from './server/Listening.js';
import type {Servers} from './server/Servers.js';
import {createServers} from './server/Servers.js';

/** The ports on which an instance listens. */
export interface DaemonPorts {
  readonly callersPort: number;
  /** Undefined if it was not open yet when callers were served. */
  readonly adminPort: number | undefined;
  readonly peersPort: number;
}

/** A running instance. */
export interface Daemon {
  readonly ports: DaemonPorts;
  /** Leaves the fleet, finishes every request in progress and closes. */
  close(): Promise<void>;
}

/**
 * A leaving instance accepts connections for this long, so that the load
 * balancer can detect that it is not ready.
 */
const leavingNoticeMs = 1_500;

/** Share of the rest of the grace period in which the instance closes. */
const closeShare = 0.8;

/**
 * Starts an instance; resolves when it is ready to serve requests. An abort of
 * `stopSignal` ends a start that waits, with the error `shutting_down`.
 */
export async function startDaemon(
  options: InstanceOptions,
  stopSignal: AbortSignal = new AbortController().signal,
): Promise<Result<Daemon, RouterError>> {
  const {clock, logger, settings} = options;
  const instance = createInstance(options);
  const listening = createListening(options, stopSignal);
  const hub = await listening.openHub(settings.peers, () =>
    createPeerHub({
      selfId: settings.instanceId,
      listen: settings.peers,
      clock,
      createHeartbeat: instance.fleet.createHeartbeat,
      onEnvelope: instance.fleet.receive,
      onListenerError: createOpenListenerErrorLog({
        clock,
        log: logger,
        purpose: 'peers',
        target: settings.peers,
      }),
    }),
  );
  if (hub.isErr()) return err(hub.error);
  instance.fleet.start(hub.value);
  instance.loadControl.loopDelay.start();
  instance.host.start();
  instance.permits.start();
  instance.quarantineExchange.start();
  const servers = createServers(options, instance, hub.value);
  const {admin, callers} = servers;
  const adminListener = listening.openOptional(
    admin,
    settings.admin,
    'operators',
    instance.ports.plan.waitingCount,
  );
  const listReader = startListReader(options, instance);
  await Promise.race([instance.configSource.start(), whenAborted(stopSignal)]);
  if (!stopSignal.aborted) instance.readiness.markConfigKnown();
  const callersPort = await listening.openServer(
    callers.server,
    settings.callers,
    'callers',
    instance.ports.plan.waitingCallerCount,
  );
  if (callersPort.isErr()) {
    listReader.close();
    void closeServer(admin);
    adminListener.close();
    return abandon(instance, callersPort.error);
  }
  instance.readiness.markListening();
  const ports: DaemonPorts = {
    callersPort: callersPort.value,
    adminPort: listeningPort(admin),
    peersPort: hub.value.port,
  };
  logger.info('instance is ready', {...ports});
  const close = () =>
    stopInstance(options, instance, servers, listReader, adminListener);
  return ok({ports, close});
}

/** Leaves the fleet, so that its peers do not wait for this instance. */
async function abandon(
  instance: Instance,
  error: RouterError,
): Promise<Result<Daemon, RouterError>> {
  instance.fleet.leave();
  await instance.close();
  return err(error);
}

function whenAborted(signal: AbortSignal): Promise<void> {
  return new Promise(resolve => {
    if (signal.aborted) resolve();
    signal.addEventListener('abort', () => resolve(), {once: true});
  });
}

function startListReader(
  {clock, logger, settings}: InstanceOptions,
  instance: Instance,
): InstanceListReader {
  return createInstanceListReader({
    url: settings.instanceListUrl,
    pollMs: settings.instanceListPollMs,
    clock,
    onList: instance.applyInstanceList,
    onFaults: faults =>
      logger.warn('instance list entries were skipped', {
        faults: faults.map(fault => fault.message),
      }),
    onError: error =>
      logger.warn('the instance list is unavailable', {error: error.message}),
  });
}

async function stopInstance(
  {clock, logger, settings}: InstanceOptions,
  instance: Instance,
  servers: Servers,
  listReader: InstanceListReader,
  adminListener: Listener,
): Promise<void> {
  const {callers} = servers;
  const {loopDelay} = instance.loadControl;
  const startedAtMs = clock.nowMs();
  const plan = createStopPlan({
    receivedAtMs: startedAtMs,
    signalDelayMs: loopDelay.unreadMs(),
    graceMs: settings.stopGraceMs,
    noticeMs: leavingNoticeMs,
    loopDelayMs: loopDelay.recentMaxMs,
  });
  const requestsInProgress = callers.requestsInProgress();
  logger.info('instance is leaving', {requestsInProgress});
  const unansweredBefore = callers.unansweredCount();
  instance.readiness.markLeaving();
  instance.fleet.leave();
  const {accepted, cutRequests, listenerClosedAtMs, openConnections} =
    await stopCallers({
      clock,
      callers,
      plan,
      callsRecorded: instance.claimedCalls.idle,
    });
  listReader.close();
  const untilGraceEndMs =
    plan.untilLastAnswersMs(clock.nowMs()) + plan.reserveMs();
  const adminClosed = closeServer(servers.admin);
  // Ends its attempts if it is not open yet.
  adminListener.close();
  // What has not been written or closed by then ends with the process.
  await Promise.race([
    Promise.all([instance.close(), adminClosed]),
    delay(clock, untilGraceEndMs * closeShare),
  ]);
  const unansweredWhileStopping = callers.unansweredCount() - unansweredBefore;
  logger.info('instance has stopped', {
    cutRequests,
    unansweredWhileStopping,
    acceptedAtEnd: accepted.acceptedCount,
    isAcceptQueueEmpty: accepted.isQueueEmpty,
    openConnections,
    listenerClosedMs: Math.round(listenerClosedAtMs - startedAtMs),
    tookMs: Math.round(clock.nowMs() - startedAtMs),
    reserveMs: Math.round(plan.reserveMs()),
  });
}
