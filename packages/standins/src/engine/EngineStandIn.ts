/**
 * Model engine stand-in: serves the published OpenAI-compatible protocol from a
 * simulated engine with continuous batching.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import {createSystemClock} from '@toucanrouter/common';
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
import {createRunJournal, readRunJournal} from '../shared/RunJournal.js';
import type {ChatPlan} from './ChatRequest.js';
import {planChat} from './ChatRequest.js';
import {createBufferedSink, createStreamSink} from './ChatSinks.js';
import {createEngineBatch} from './EngineBatch.js';
import type {EngineProfile} from './EngineConstants.js';
import {defaultEngineProfile} from './EngineConstants.js';
import type {EngineRun, EngineRunRecord} from './EngineRun.js';
import {createEngineRuns} from './EngineRuns.js';
import type {EngineSwitchChange} from './EngineSwitches.js';
import {
  applyEngineSwitches,
  createEngineSwitches,
  engineSwitchesSchema,
} from './EngineSwitches.js';
import {createLoadReport} from './LoadReport.js';

export interface EngineStandInOptions {
  readonly id: string;
  readonly model: string;
  /** Port on loopback; 0 or absent selects a free port. */
  readonly port?: number;
  readonly profile?: Partial<EngineProfile>;
  /** Registers the engine in the instance list at this URL. */
  readonly listUrl?: string;
  readonly region?: string;
  readonly failureDomain?: string;
  readonly incarnation?: number;
  /** Registers as the version of the engine's software; none if absent. */
  readonly softwareVersion?: string;
  /** Persists the run records in this file, across restarts. */
  readonly runsFile?: string;
  /** Handles the `crash` switch; by default all connections are destroyed. */
  readonly onCrash?: () => void;
}

export interface EngineStandIn {
  /** `host:port`. */
  readonly address: string;
  readonly url: string;
  runs(): readonly EngineRunRecord[];
  switch(change: EngineSwitchChange): void;
  /** Registers as leaving, finishes the running requests, then closes. */
  leave(): Promise<void>;
  /** Closes all connections immediately. */
  close(): Promise<void>;
}

// Lets routers that poll the list observe the state "leaving" before the port
// closes.
const leavingNoticeMs = 3000;
const drainPollMs = 20;

/** Starts an engine stand-in on loopback. */
export async function createEngineStandIn(
  options: EngineStandInOptions,
): Promise<EngineStandIn> {
  const clock = createSystemClock();
  const profile = {...defaultEngineProfile, ...options.profile};
  const switches = createEngineSwitches();
  const batch = createEngineBatch(clock, profile, switches);
  const earlierRuns = readRunJournal<EngineRunRecord>(options.runsFile);
  const journal = createRunJournal<EngineRunRecord>(options.runsFile);
  const runs = createEngineRuns(
    clock,
    profile,
    switches,
    batch,
    journal,
    options.onCrash ?? crash,
  );
  const loadReport = createLoadReport(clock, profile, batch);
  const server = createServer((request, response) => {
    void handle(request, response);
  });
  let unnamedRequests = 0;
  let registration: ListRegistration | undefined;

  function allRuns(): readonly EngineRunRecord[] {
    return [...earlierRuns, ...runs.records()];
  }

  async function handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    // The connection broke before the request body was complete.
    const body = await readBody(request).catch(() => undefined);
    if (body === undefined) return;
    stateRateLimit(response, switches.rateLimit);
    const path = request.url?.split('?')[0];
    switch (`${request.method} ${path}`) {
      case 'POST /v1/chat/completions':
        return handleChat(request, response, parseJson(body));
      case 'GET /v1/models':
        return sendJson(response, 200, modelList(options.model));
      case 'GET /runs':
        return sendJson(response, 200, {runs: allRuns()});
      case 'GET /load':
        return sendJson(response, 200, batch.load());
      case 'POST /switches':
        return handleSwitches(response, parseJson(body));
      default:
        return sendError(response, 404, `${request.url} does not exist`);
    }
  }

  function handleChat(
    request: IncomingMessage,
    response: ServerResponse,
    body: unknown,
  ): void {
    if (switches.refuse) {
      return sendError(response, 503, 'the engine refuses new requests');
    }
    const plan = planChat(body);
    if (plan.isErr()) return sendError(response, 400, plan.error);
    if (plan.value.model !== options.model) {
      const message = `model ${plan.value.model} is not loaded`;
      return sendError(response, 404, message);
    }
    const requestId =
      headerOf(request, 'x-request-id') ?? `unnamed-${++unnamedRequests}`;
    const lastEventId = headerOf(request, 'last-event-id');
    if (lastEventId === undefined) startRun(response, requestId, plan.value);
    else resumeRun(response, requestId, plan.value, Number(lastEventId));
  }

  function startRun(
    response: ServerResponse,
    requestId: string,
    plan: ChatPlan,
  ): void {
    let run: EngineRun | undefined = undefined;
    const isFresh = plan.from.tokenIndex === 0;
    const sink = plan.stream
      ? createStreamSink(response, switches, loadReport.header(), isFresh)
      : createBufferedSink(response, () => run!, loadReport.header());
    run = runs.start(requestId, plan, sink);
    const started = run;
    response.on('close', () => runs.connectionClosed(started, sink));
  }

  function resumeRun(
    response: ServerResponse,
    requestId: string,
    plan: ChatPlan,
    lastEventId: number,
  ): void {
    if (!runs.canResume(requestId, plan)) {
      return sendError(response, 410, 'the run can no longer be resumed');
    }
    const header = loadReport.header();
    const sink = createStreamSink(response, switches, header, false);
    const run = runs.resume(requestId, lastEventId, sink);
    response.on('close', () => runs.connectionClosed(run, sink));
  }

  function handleSwitches(response: ServerResponse, body: unknown): void {
    const change = engineSwitchesSchema.safeParse(body);
    if (!change.success) {
      return sendError(response, 400, change.error.message);
    }
    applySwitches(change.data);
    if (!change.data.crash) sendJson(response, 200, switches);
  }

  function applySwitches(change: EngineSwitchChange): void {
    applyEngineSwitches(switches, change);
    if (change.crash) (options.onCrash ?? crash)();
  }

  function crash(): void {
    registration?.abandon();
    void close();
  }

  async function close(): Promise<void> {
    loadReport.close();
    runs.close();
    server.closeAllConnections();
    await closeServer(server);
  }

  async function drain(): Promise<void> {
    const earliestMs = clock.nowMs() + leavingNoticeMs;
    while (runs.attachedCount() > 0 || clock.nowMs() < earliestMs) {
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
        role: 'engine',
        model: options.model,
        region: options.region ?? 'local',
        failure_domain: options.failureDomain ?? 'a',
        incarnation: String(options.incarnation ?? clock.wallMs()),
        ...(options.softwareVersion === undefined
          ? {}
          : {software_version: options.softwareVersion}),
      },
    });
  }

  return {
    address,
    url: `http://${address}`,
    runs: allRuns,
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

function sendError(
  response: ServerResponse,
  status: number,
  message: string,
): void {
  sendJson(response, status, {error: {message, type: 'engine_error'}});
}

function modelList(model: string): unknown {
  const entry = {id: model, object: 'model', created: 0, owned_by: 'standin'};
  return {object: 'list', data: [entry]};
}
