/**
 * Calls whose upstream becomes suspect: engines on loopback that follow a
 * script, and permits that are granted, refused or kept waiting as a test says.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {RequestId, UpstreamId, UpstreamInfo} from '@toucanrouter/common';
import {
  createBufferBudget,
  createSeededRandom,
  createSystemClock,
  RouterError,
  toInstanceId,
  toPermitId,
  toRequestId,
  toSoftwareVersion,
} from '@toucanrouter/common';
import {createLogger} from '@toucanrouter/logging';
import type {RetryBudget} from '@toucanrouter/policy';
import {createHedgeBudget, createRetryBudget} from '@toucanrouter/policy';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import {Agent} from 'undici';
import type {UpstreamDirectory} from '../../fleet/UpstreamDirectory.js';
import {createUpstreamDirectory} from '../../fleet/UpstreamDirectory.js';
import {createPromptGuard} from '../../request/chat/PromptGuard.js';
import {formatEvent} from '../../request/chat/SseScanner.js';
import type {CallTarget, Exchange} from '../../request/Exchange.js';
import {createLimitedUpstreams} from '../../request/LimitedUpstreams.js';
import {createPausedUpstreams} from '../../request/PausedUpstreams.js';
import type {UpstreamAccess} from '../../request/UpstreamAccess.js';
import type {
  JobEnd,
  Permit,
  PermitClient,
  PermitRequest,
} from '../../scheduling/PermitClient.js';
import {testClass, upstreamInfo} from './SchedulingFixture.js';
import {createTestExchange, discardedResponse} from './ExchangeFixture.js';

/** Handles one request at an upstream. */
export type UpstreamHandler = (
  message: IncomingMessage,
  body: string,
  response: ServerResponse,
) => void;

/** What happens to a permit request. */
export type PermitDecision =
  | 'refuse'
  | 'wait'
  /** Grants the request in the same turn in which it is withdrawn. */
  | 'grant_when_withdrawn'
  | {readonly grant: UpstreamId};

/** A granted permit and how often it was released. */
export interface TestPermit extends Permit {
  readonly releases: JobEnd[];
}

/** A permit request and its outcome so far. */
export interface TestPermitRequest {
  readonly request: PermitRequest;
  readonly permit: TestPermit | undefined;
  readonly withdrawn: boolean;
}

export interface TestCallOptions {
  readonly handlers: readonly UpstreamHandler[];
  /** Software versions of the upstreams, by index; none if absent. */
  readonly softwareVersions?: readonly (string | undefined)[];
  readonly target: CallTarget;
  readonly body: string;
  /** By default the first upstream that is not excluded is granted. */
  readonly decide?: (
    request: PermitRequest,
    directory: UpstreamDirectory,
  ) => PermitDecision | undefined;
  /** Retries that the budget allows; ample if absent. */
  readonly retryCount?: number;
  /** The call is canceled after this time. */
  readonly limitMs?: number;
  readonly serve: (
    access: UpstreamAccess,
    exchange: Exchange,
  ) => Promise<Result<unknown, RouterError>>;
  /** Called after tokens were recorded; `tokens` counts all of the permit. */
  readonly onTokens?: (
    permit: TestPermit,
    tokens: number,
    directory: UpstreamDirectory,
  ) => void;
  /** Called in a later turn after a grant. */
  readonly onGranted?: (permit: TestPermit) => void;
  /** Aborted by the test when the caller leaves. */
  readonly caller?: AbortController;
}

/** A call that has ended. */
export interface EndedCall {
  /** `answered`, or the kind of the error. */
  readonly kind: string;
  readonly value: unknown;
  /** What the caller received as a stream. */
  readonly relayed: string;
  readonly ended: boolean;
  readonly permitRequests: readonly TestPermitRequest[];
  /** Ids of the upstreams that were granted, in order. */
  readonly granted: readonly string[];
}

export const upstreamName = (index: number): string => `engine-${index + 1}`;

const defaultLimitMs = 3_000;
const refusalRetryMs = 20;
const ampleTokens = 1_000_000;

async function startUpstream(handler: UpstreamHandler): Promise<Server> {
  const server = createServer((message, response) => {
    const chunks: Buffer[] = [];
    message.on('data', (chunk: Buffer) => chunks.push(chunk));
    message.on('end', () =>
      handler(message, Buffer.concat(chunks).toString(), response),
    );
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return server;
}

function toInfo(server: Server, index: number): UpstreamInfo {
  const {port} = server.address() as AddressInfo;
  const info = upstreamInfo(upstreamName(index));
  return {...info, address: `127.0.0.1:${port}`};
}

function createTestRetryBudget(retryCount: number | undefined): RetryBudget {
  if (retryCount === undefined) return createRetryBudget();
  const windowMs = 1_000_000;
  const minRatePerSecond = () => (retryCount * 1_000) / windowMs;
  return createRetryBudget({share: 0, minRatePerSecond, windowMs});
}

/** Runs one call to its end. */
export async function runCall(options: TestCallOptions): Promise<EndedCall> {
  const clock = createSystemClock();
  const servers = await Promise.all(options.handlers.map(startUpstream));
  const infos = servers.map((server, index) => {
    const version = options.softwareVersions?.[index];
    const softwareVersion =
      version === undefined ? undefined : toSoftwareVersion(version);
    return {...toInfo(server, index), softwareVersion};
  });
  const directory = createUpstreamDirectory();
  directory.setListed(infos);
  const permitRequests: TestPermitRequest[] = [];
  const granted: string[] = [];
  const relayed: Buffer[] = [];
  const dispatcher = new Agent();
  const hedgeBudget = createHedgeBudget();
  hedgeBudget.recordWork(ampleTokens);
  let started = false;
  let ended = false;

  function createPermit(upstreamId: UpstreamId): TestPermit {
    const releases: JobEnd[] = [];
    let tokens = 0;
    const permit: TestPermit = {
      permitId: toPermitId(`permit-${granted.length + 1}`),
      upstreamId,
      releases,
      recordTokens: count => {
        tokens += count;
        const total = tokens;
        setImmediate(() => options.onTokens?.(permit, total, directory));
      },
      onPreempt: undefined,
      onSuspect: undefined,
      release: end => releases.push(end),
    };
    granted.push(upstreamId);
    setImmediate(() => options.onGranted?.(permit));
    return permit;
  }

  function defaultDecision({exclude}: PermitRequest): PermitDecision {
    const info = infos.find(({id}) => !exclude.includes(id));
    return info === undefined ? 'refuse' : {grant: info.id};
  }

  function acquire(
    request: PermitRequest,
    signal: AbortSignal,
  ): Promise<Result<Permit, RouterError>> {
    const entry = {
      request,
      permit: undefined as TestPermit | undefined,
      withdrawn: false,
    };
    permitRequests.push(entry);
    const decision =
      options.decide?.(request, directory) ?? defaultDecision(request);
    const canceled = err(new RouterError('canceled', 'withdrawn'));
    if (signal.aborted) return Promise.resolve(canceled);
    if (typeof decision === 'object') {
      entry.permit = createPermit(decision.grant);
      return Promise.resolve(ok(entry.permit));
    }
    if (decision === 'refuse') {
      const retryAfterMs = refusalRetryMs;
      const error = new RouterError('no_upstream', 'refused', {retryAfterMs});
      return Promise.resolve(err(error));
    }
    return new Promise(resolve => {
      signal.addEventListener('abort', () => {
        entry.withdrawn = true;
        if (decision === 'wait') return resolve(canceled);
        const other = infos.find(({id}) => !request.exclude.includes(id));
        entry.permit = createPermit(other!.id);
        resolve(ok(entry.permit));
      });
    });
  }

  const permits: Pick<PermitClient, 'acquire'> = {
    acquire: (_shardId, request, signal) => acquire(request, signal),
  };
  const nowMs = clock.nowMs();
  const limitMs = options.limitMs ?? defaultLimitMs;
  const caller = options.caller ?? new AbortController();
  const undoLimit = clock.after(limitMs, () => caller.abort());
  const exchange = createTestExchange(
    {
      requestId: toRequestId('r1'),
      body: Buffer.from(options.body),
      target: options.target,
      serviceClass: testClass,
      nowMs,
      limitMs,
    },
    {
      signal: caller.signal,
      response: {
        ...discardedResponse,
        get started() {
          return started;
        },
        startStream: () => (started = true),
        write: chunk => {
          relayed.push(Buffer.from(chunk));
          return Promise.resolve();
        },
        endStream: () => (ended = true),
      },
    },
  );
  const logger = createLogger({
    format: 'json',
    level: 'error',
    instanceId: toInstanceId('i'),
    write: () => undefined,
  });
  const access: UpstreamAccess = {
    clock,
    region: 'here',
    directory,
    permits: permits as PermitClient,
    dispatcher,
    responseBuffers: createBufferBudget(),
    retryBudget: createTestRetryBudget(options.retryCount),
    hedgeBudget,
    promptGuard: createPromptGuard({
      clock,
      logger,
      random: createSeededRandom(1),
      probe: () => Promise.resolve('unknown'),
      find: directory.find,
      onNews: () => undefined,
    }),
    pausedUpstreams: createPausedUpstreams({clock, logger, directory}),
    limitedUpstreams: createLimitedUpstreams({
      clock,
      logger,
      directory,
      onChange: () => undefined,
    }),
    random: createSeededRandom(1),
  };
  const result = await options.serve(access, exchange);
  undoLimit();
  await dispatcher.destroy();
  for (const server of servers) {
    server.closeAllConnections();
    server.close();
  }
  return {
    kind: result.isOk() ? 'answered' : result.error.kind,
    value: result.isOk() ? result.value : undefined,
    relayed: Buffer.concat(relayed).toString(),
    ended,
    permitRequests,
    granted,
  };
}

/** Tokens of each complete response of a scripted engine. */
export const responseTokens = ['a ', 'b ', 'c ', 'd ', 'e '];

/** Where a scripted engine pauses, and for how long. */
export interface EngineScript {
  readonly pauseAfterTokens?: number;
  readonly pauseMs?: number;
  /** Closes the connection after the pause. */
  readonly breaksOff?: boolean;
  /** Sends the first token as a call of a tool. */
  readonly callsTool?: boolean;
}

interface ChatMessage {
  readonly role: string;
  readonly content: string;
}

function chunk(requestId: string, delta: object, finish: string | null) {
  const choices = [{index: 0, delta, finish_reason: finish}];
  return {id: `chatcmpl-${requestId}`, choices};
}

function countReceived(body: string): number {
  const {messages} = JSON.parse(body) as {messages: ChatMessage[]};
  const last = messages.at(-1);
  if (last?.role !== 'assistant') return 0;
  return responseTokens.findIndex(
    (_, i) => responseTokens.slice(0, i).join('') === last.content,
  );
}

/** Returns the events after the tokens that the request already holds. */
function eventsOf(
  requestId: string,
  tokens: readonly string[],
  {callsTool}: EngineScript,
): string[] {
  const usage = {
    prompt_tokens: 5,
    completion_tokens: tokens.length,
    total_tokens: 5 + tokens.length,
  };
  const call = {index: 0, function: {name: 'lookup', arguments: '{}'}};
  const data: object[] = [
    chunk(requestId, {role: 'assistant', content: ''}, null),
    ...tokens.map((content, i) =>
      callsTool === true && i === 0
        ? chunk(requestId, {tool_calls: [call]}, null)
        : chunk(requestId, {content}, null),
    ),
    chunk(requestId, {}, 'stop'),
    {id: `chatcmpl-${requestId}`, choices: [], usage},
  ];
  return [
    ...data.map((event, id) => formatEvent({id, data: JSON.stringify(event)})),
    formatEvent({id: undefined, data: '[DONE]'}),
  ];
}

/** An engine that streams the response, or the rest of it; it resumes at once. */
export function engine(script: EngineScript = {}): UpstreamHandler {
  return (message, body, response) => {
    const requestId = message.headers['x-request-id'] as RequestId;
    const received = countReceived(body);
    const tokens = responseTokens.slice(received);
    const events = eventsOf(requestId, tokens, script);
    const pauseAt = 1 + (script.pauseAfterTokens ?? tokens.length);
    const lastEventId = message.headers['last-event-id'];
    response.writeHead(200, {'content-type': 'text/event-stream'});
    if (lastEventId !== undefined) {
      response.end(events.slice(Number(lastEventId) + 1).join(''));
      return;
    }
    response.write(events.slice(0, pauseAt).join(''));
    setTimeout(() => {
      if (script.breaksOff === true) response.destroy();
      else response.end(events.slice(pauseAt).join(''));
    }, script.pauseMs ?? 0);
  };
}

/** Makes an engine that cannot resume its streams. */
export function forgetful(handler: UpstreamHandler): UpstreamHandler {
  return (message, body, response) => {
    if (message.headers['last-event-id'] === undefined) {
      return handler(message, body, response);
    }
    response.writeHead(410);
    response.end();
  };
}

/** An upstream that rejects each request without running it. */
export const rejecting: UpstreamHandler = (_message, _body, response) => {
  response.writeHead(503);
  response.end();
};

/** Returns the tokens that were relayed to a streaming caller. */
export function relayedTokens(relayed: string): string[] {
  return [...relayed.matchAll(/"content":"([^"]+)"/g)].map(
    match => match[1] ?? '',
  );
}

/** Returns the ids of the events that were relayed to a streaming caller. */
export function relayedIds(relayed: string): number[] {
  return [...relayed.matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]));
}
