/**
 * Plain service stand-in: echoes every call and records each run with its
 * request key and idempotency key.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import {
  closeServer,
  headerOf,
  listenOnLoopback,
  parseJson,
  readBody,
  sendJson,
  stateRateLimit,
} from '../shared/HttpUtils.js';
import type {ListRegistration} from '../shared/ListRegistration.js';
import {registerInList} from '../shared/ListRegistration.js';
import type {ServiceCall} from './ServiceResponses.js';
import {
  callKeyOf,
  serviceRefusal,
  serviceResponse,
} from './ServiceResponses.js';
import type {ServiceRunRecord} from './ServiceRuns.js';
import {createServiceRuns} from './ServiceRuns.js';
import type {ServiceSwitchChange} from './ServiceSwitches.js';
import {
  applyServiceSwitches,
  createServiceSwitches,
  serviceSwitchesSchema,
} from './ServiceSwitches.js';
import {createServiceWorkerPool} from './ServiceWorkerPool.js';

export interface ServiceStandInOptions {
  readonly id: string;
  readonly service: string;
  /** Port on loopback; 0 or absent selects a free port. */
  readonly port?: number;
  readonly workMs?: number;
  /** Maximum number of concurrent calls. */
  readonly workers?: number;
  readonly ignoreFencing?: boolean;
  /** Registers the service in the instance list at this URL. */
  readonly listUrl?: string;
  readonly region?: string;
  readonly failureDomain?: string;
  readonly incarnation?: number;
  /** Persists the run records in this file, across restarts. */
  readonly runsFile?: string;
  /** Handles the `crash` switch; by default all connections are destroyed. */
  readonly onCrash?: () => void;
}

export interface ServiceStandIn {
  /** `host:port`. */
  readonly address: string;
  readonly url: string;
  runs(): readonly ServiceRunRecord[];
  switch(change: ServiceSwitchChange): void;
  /** Registers as leaving, finishes the pending calls, then closes. */
  leave(): Promise<void>;
  /** Closes all connections immediately. */
  close(): Promise<void>;
}

const defaultWorkMs = 15;
const defaultWorkers = 8;
// Lets routers that poll the list observe the state "leaving" before the port
// closes.
const leavingNoticeMs = 3000;
const drainPollMs = 20;

/** Starts a plain service stand-in on loopback. */
export async function createServiceStandIn(
  options: ServiceStandInOptions,
): Promise<ServiceStandIn> {
  const switches = createServiceSwitches();
  const runs = createServiceRuns(options.runsFile);
  const workerPool = createServiceWorkerPool(
    options.workers ?? defaultWorkers,
    () => (options.workMs ?? defaultWorkMs) * switches.slowFactor,
  );
  const server = createServer((request, response) => {
    void handle(request, response);
  });
  let registration: ListRegistration | undefined;

  async function handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    // The connection broke before the request body was complete.
    const body = await readBody(request).catch(() => undefined);
    if (body === undefined) return;
    stateRateLimit(response, switches.rateLimit);
    const method = request.method ?? 'GET';
    const path = request.url ?? '/';
    if (method === 'GET' && path === '/runs') {
      return sendJson(response, 200, {runs: runs.records()});
    }
    if (method === 'POST' && path === '/switches') {
      return handleSwitches(response, parseJson(body));
    }
    handleCall(request, response, {method, path, body});
  }

  function handleCall(
    request: IncomingMessage,
    response: ServerResponse,
    call: ServiceCall,
  ): void {
    if (switches.refuse) {
      return sendJson(response, 503, parseJson(serviceRefusal));
    }
    const record = toRecord(request, call);
    workerPool.submit({
      start: () => startCall(response, record),
      finish: () => finishCall(response, call, record),
    });
  }

  function startCall(
    response: ServerResponse,
    record: ServiceRunRecord,
  ): boolean {
    if (response.destroyed) return false;
    if (hasStaleToken(record)) {
      sendError(response, 412, 'the fencing token is stale');
      return false;
    }
    record.answerDropped = switches.dropAnswers > 0;
    if (record.answerDropped) switches.dropAnswers--;
    runs.add(record);
    return true;
  }

  function hasStaleToken(record: ServiceRunRecord): boolean {
    const {idempotencyKey, fencingToken} = record;
    if (options.ignoreFencing) return false;
    if (idempotencyKey === undefined || fencingToken === undefined) {
      return false;
    }
    return runs.isStale(idempotencyKey, fencingToken);
  }

  function finishCall(
    response: ServerResponse,
    call: ServiceCall,
    record: ServiceRunRecord,
  ): void {
    if (record.answerDropped) response.destroy();
    else sendJson(response, 200, serviceResponse(options.service, call));
  }

  function handleSwitches(response: ServerResponse, body: unknown): void {
    const change = serviceSwitchesSchema.safeParse(body);
    if (!change.success) {
      return sendError(response, 400, change.error.message);
    }
    applySwitches(change.data);
    if (!change.data.crash) sendJson(response, 200, switches);
  }

  function applySwitches(change: ServiceSwitchChange): void {
    applyServiceSwitches(switches, change);
    if (change.crash) (options.onCrash ?? crash)();
  }

  function crash(): void {
    registration?.abandon();
    void close();
  }

  async function close(): Promise<void> {
    workerPool.close();
    server.closeAllConnections();
    await closeServer(server);
  }

  async function drain(): Promise<void> {
    const earliestMs = performance.now() + leavingNoticeMs;
    while (workerPool.pending() > 0 || performance.now() < earliestMs) {
      await new Promise(resolve => setTimeout(resolve, drainPollMs));
    }
  }

  const address = await listenOnLoopback(server, options.port ?? 0);
  if (options.listUrl !== undefined) {
    registration = registerInList({
      listUrl: options.listUrl,
      id: options.id,
      address,
      labels: {
        role: 'service',
        service: options.service,
        region: options.region ?? 'local',
        failure_domain: options.failureDomain ?? 'a',
        incarnation: String(options.incarnation ?? Date.now()),
      },
    });
  }

  return {
    address,
    url: `http://${address}`,
    runs: () => runs.records(),
    switch: applySwitches,
    leave: async () => {
      await registration?.setState('leaving');
      if (registration !== undefined) await drain();
      await registration?.remove();
      await close();
    },
    close: async () => {
      await registration?.remove();
      await close();
    },
  };
}

function toRecord(
  request: IncomingMessage,
  call: ServiceCall,
): ServiceRunRecord {
  const token = headerOf(request, 'x-fencing-token');
  return {
    requestKey: callKeyOf(call),
    method: call.method,
    path: call.path,
    idempotencyKey: headerOf(request, 'idempotency-key'),
    fencingToken: token === undefined ? undefined : Number(token),
    requestId: headerOf(request, 'x-request-id'),
    answerDropped: false,
  };
}

function sendError(
  response: ServerResponse,
  status: number,
  message: string,
): void {
  sendJson(response, status, {error: {message, type: 'service_error'}});
}
