/**
 * The HTTP server for callers. It turns each request into an exchange and runs
 * the pipeline of its path.
 */
import type {
  IncomingHttpHeaders,
  IncomingMessage,
  ServerResponse,
} from 'node:http';
import type {Server} from 'node:http';
import {createServer} from 'node:http';
import type {HttpBindings} from '@hono/node-server';
import {getRequestListener, RequestError} from '@hono/node-server';
import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';
import type {
  Clock,
  ConnectionBudget,
  MemoryBudget,
  OpenRequestLimit,
  OpenRequestShare,
  Refusal,
  RequestId,
  ServiceClass,
} from '@toucanrouter/common';
import {
  answerBeforeErrors,
  answerReserveFor,
  closeUnfinishedBodies,
  closeWaitingResponses,
  countReceivedBodies,
  handOverRefusedRequests,
  headBytesOf,
  limitConnections,
  lingerAfterLastResponse,
  readBeforeIdleTimeout,
  refuseOpenRequest,
  RouterError,
  spareUnsentResponses,
  trackPipelinedRequests,
  unrefusedOptions,
} from '@toucanrouter/common';
import {Hono} from 'hono';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {Logger} from '@toucanrouter/logging';
import {createCallerResponse} from '../request/CallerResponse.js';
import type {ArrivedTier} from '../request/CallTiers.js';
import {
  leastUrgentRank,
  tierOfArrivedChat,
  tierOfTarget,
} from '../request/CallTiers.js';
import type {
  CallStats,
  CallTarget,
  Exchange,
  Filter,
} from '../request/Exchange.js';
import {
  callerTimeoutReason,
  runPipeline,
  stopReason,
} from '../request/Exchange.js';
import type {LoadControl} from '../request/LoadControl.js';
import {parseServicePath} from '../request/plain/PlainCall.js';
import {openCallerBody} from './CallerBody.js';

/** Options of the server for callers. */
export interface CallerServerOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly createRequestId: () => RequestId;
  readonly defaultTimeoutMs: number;
  readonly maxBodyBytes: number;
  readonly chatPipeline: readonly Filter[];
  readonly plainPipeline: readonly Filter[];
  readonly classes: () => readonly ServiceClass[];
  /** Returns whether the headers have a valid key. */
  readonly isKnownCaller: (headers: IncomingHttpHeaders) => boolean;
  /** Bounds the bodies of calls in progress. */
  readonly bodyMemory: MemoryBudget;
  /** Bounds the connections of callers. */
  readonly connections: ConnectionBudget;
  /** Callers that may still send when their connection was answered and closed. */
  readonly lingeringCount: number;
  /** Bounds the calls that are open, bodies not included. */
  readonly openRequests: OpenRequestLimit;
  readonly loadControl: Pick<LoadControl, 'admit' | 'retryAfterMs'>;
}

/** The server for callers. */
export interface CallerServer {
  readonly server: Server;
  /** Returns the number of requests in progress. */
  requestsInProgress(): number;
  /** Requests whose connection closed before their response was complete. */
  unansweredCount(): number;
  /** Closes each connection with its next response, so callers reconnect. */
  drainConnections(): void;
  /** Gives the calls in progress their final answers. */
  endCalls(): void;
}

type App = {Bindings: HttpBindings};

const timeoutHeader = 'x-request-timeout-ms';
/** The bytes, the parsed document, and the body of the attempt. */
const chatCopyCount = 3;
/** Largest body that is discarded to keep the connection of a refused call. */
const maxDiscardedBytes = 64 * 1024;
/** Its host or its target is none, which Hono finds. */
const invalidRequest: Refusal = {status: 400, mustClose: false};
const openRequestsReason = 'the memory for open requests is in use';
const minTimeoutMs = 1;
const maxTimeoutMs = 24 * 60 * 60 * 1_000;

/** Creates the server; it does not listen yet. */
export function createCallerServer(options: CallerServerOptions): CallerServer {
  const {clock, logger} = options;
  const app = new Hono<App>();
  let inProgress = 0;
  let unanswered = 0;
  let isDraining = false;
  const calls = new Set<AbortController>();

  async function serve(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    pipeline: readonly Filter[],
    path: ServedPath,
  ): Promise<void> {
    // Its connection is about to close, and the caller knows that.
    if (!pipelined.isAccepted(outgoing)) return;
    inProgress += 1;
    outgoing.once('close', () => {
      if (!outgoing.writableFinished) unanswered += 1;
    });
    const arrivedAtMs = clock.nowMs();
    const requestId = options.createRequestId();
    const callerRequestId = headerOf(incoming, 'x-request-id');
    let bodyWasRead = true;
    let isRefused = false;
    const share = openShare(incoming, outgoing);
    const closes = () =>
      isDraining ||
      !bodyWasRead ||
      pipelined.isLast(outgoing) ||
      (isRefused && waitsInCrowd(outgoing));
    const response = createCallerResponse(
      outgoing,
      requestId,
      callerRequestId,
      () => closes() && pipelined.tryClose(outgoing),
    );
    if (share === undefined) {
      isRefused = true;
      response.sendError(openRequestsError(leastUrgentRank));
      inProgress -= 1;
      return;
    }
    try {
      const result = await serveRequest(
        {
          share,
          incoming,
          outgoing,
          arrivedAtMs,
          requestId,
          callerRequestId,
          response,
          onBodyNotRead: () => (bodyWasRead = false),
        },
        pipeline,
        path,
      );
      if (result.isErr()) {
        isRefused = true;
        share.refused();
        response.sendError(result.error);
      }
    } catch (cause) {
      logger.error('request failed unexpectedly', {
        requestId,
        error: cause instanceof Error ? (cause.stack ?? cause.message) : '',
      });
      const message = 'the router failed; see its log for this request id';
      response.sendError(new RouterError('internal', message, {cause}));
    } finally {
      inProgress -= 1;
    }
  }

  /** Counts a request until its response is closed. */
  function openShare(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): OpenRequestShare | undefined {
    const share = options.openRequests.tryOpen(headBytesOf(incoming));
    if (share !== undefined) outgoing.once('close', share.close);
    return share;
  }

  /** True if nothing more is to be read behind responses that are not sent. */
  function waitsInCrowd({socket}: ServerResponse): boolean {
    return socket === null && options.openRequests.isCrowded();
  }

  function openRequestsError(tier: number): RouterError {
    const retryAfterMs = options.loadControl.retryAfterMs(tier);
    return new RouterError('overloaded', openRequestsReason, {retryAfterMs});
  }

  function admitToHeap(
    share: OpenRequestShare,
    tier: number,
  ): Result<void, RouterError> {
    return share.tryAdmit(tier) ? ok(undefined) : err(openRequestsError(tier));
  }

  async function serveRequest(
    call: IncomingCall,
    pipeline: readonly Filter[],
    path: ServedPath,
  ): Promise<Result<void, RouterError>> {
    const timeoutMs = timeoutOf(call.incoming, options.defaultTimeoutMs);
    if (timeoutMs.isErr()) return err(timeoutMs.error);
    const {headers} = call.incoming;
    const known = options.isKnownCaller(headers);
    const arrived = path.arrivedTier(headers);
    const admit = (tier: number) =>
      // The pipeline refuses a call without a valid key.
      known
        ? options.loadControl
            .admit({tier, timeoutMs: timeoutMs.value})
            .andThen(() => admitToHeap(call.share, tier))
        : ok(undefined);
    const admitted = arrived.isCertain ? admit(arrived.tier) : ok(undefined);
    if (admitted.isErr()) {
      if (isCostlyToDiscard(call.incoming)) call.onBodyNotRead();
      return err(admitted.error);
    }
    const controller = new AbortController();
    const stats: CallStats = {
      firstTokenMs: undefined,
      tokenGapMs: undefined,
      tokens: 0,
      wastedTokens: 0,
      waitedMs: 0,
      attempts: 0,
    };
    let tier = known ? arrived.tier : leastUrgentRank;
    const body = openCallerBody(call.incoming, {
      maxBytes: options.maxBodyBytes,
      memory: options.bodyMemory,
      tier: () => tier,
      copyCount: path.copyCount,
      retryAfterMs: () => options.loadControl.retryAfterMs(tier),
      canGiveUp: () => stats.attempts === 0,
      onGivenUp: error => controller.abort(error),
    });
    try {
      const received = await body.received;
      if (received.isErr()) {
        call.onBodyNotRead();
        return err(received.error);
      }
      const target = path.parseTarget(received.value);
      if (target.isErr()) return err(target.error);
      if (known) tier = tierOfTarget(target.value, headers, options.classes());
      if (!arrived.isCertain) {
        const admittedNow = admit(tier);
        if (admittedNow.isErr()) return err(admittedNow.error);
      }
      abortWithCaller(call, timeoutMs.value, controller);
      const exchange: Exchange = {
        requestId: call.requestId,
        callerRequestId: call.callerRequestId,
        headers,
        body: received.value,
        target: target.value,
        response: call.response,
        arrivedAtMs: call.arrivedAtMs,
        deadlineAtMs: call.arrivedAtMs + timeoutMs.value,
        signal: controller.signal,
        stats,
        workspaceId: undefined,
        serviceClass: undefined,
      };
      return await runPipeline(pipeline, exchange);
    } finally {
      body.close();
    }
  }

  /**
   * Only a timeout that the caller set aborts a call in progress. The default
   * timeout limits no more than the time until the call starts. A caller without
   * any byte of a response gets its error before the timeout, because it may
   * leave when the timeout has passed; a response that has begun goes on.
   */
  function abortWithCaller(
    call: IncomingCall,
    timeoutMs: number,
    controller: AbortController,
  ): void {
    calls.add(controller);
    const reserveMs = answerReserveFor(timeoutMs);
    const abort = () => controller.abort(callerTimeoutReason);
    let undo = (): void => undefined;
    if (headerOf(call.incoming, timeoutHeader) !== undefined) {
      const elapsedMs = clock.nowMs() - call.arrivedAtMs;
      const untilAnswerMs = Math.max(0, timeoutMs - reserveMs - elapsedMs);
      undo = clock.after(untilAnswerMs, () => {
        if (call.response.started) undo = clock.after(reserveMs, abort);
        else abort();
      });
    }
    call.outgoing.on('close', () => {
      undo();
      calls.delete(controller);
      if (!call.outgoing.writableFinished) controller.abort();
    });
  }

  function chatPath(): ServedPath {
    return {
      copyCount: chatCopyCount,
      arrivedTier: headers => tierOfArrivedChat(headers, options.classes()),
      parseTarget: parseChatTarget,
    };
  }

  function plainPath(incoming: IncomingMessage): ServedPath {
    const target = parsePlainTarget(incoming);
    return {
      copyCount: 1,
      arrivedTier: headers => ({
        tier: target.match(
          value => tierOfTarget(value, headers, options.classes()),
          () => leastUrgentRank,
        ),
        isCertain: true,
      }),
      parseTarget: () => target,
    };
  }

  app.post('/v1/chat/completions', async context => {
    const {incoming, outgoing} = context.env;
    await serve(
      incoming,
      outgoing as ServerResponse,
      options.chatPipeline,
      chatPath(),
    );
    return RESPONSE_ALREADY_SENT;
  });
  app.all('/services/*', async context => {
    const {incoming, outgoing} = context.env;
    await serve(
      incoming,
      outgoing as ServerResponse,
      options.plainPipeline,
      plainPath(incoming),
    );
    return RESPONSE_ALREADY_SENT;
  });
  app.notFound(async context => {
    const outgoing = context.env.outgoing as ServerResponse;
    if (!pipelined.isAccepted(outgoing)) return RESPONSE_ALREADY_SENT;
    openShare(context.env.incoming, outgoing)?.refused();
    const response = createCallerResponse(
      outgoing,
      options.createRequestId(),
      undefined,
      () =>
        (pipelined.isLast(outgoing) || waitsInCrowd(outgoing)) &&
        pipelined.tryClose(outgoing),
    );
    const message = `no such path: ${context.req.path}`;
    response.sendError(new RouterError('not_found', message));
    return RESPONSE_ALREADY_SENT;
  });

  /** Answers a request whose head is not valid; it counts like a refused call. */
  function refuse(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    refusal: Refusal,
  ): void {
    if (!pipelined.isAccepted(outgoing)) return;
    refuseOpenRequest(outgoing, refusal, {
      share: openShare(incoming, outgoing),
      limit: options.openRequests,
      isStopping: isDraining || pipelined.isLast(outgoing),
      tryClose: pipelined.tryClose,
    });
  }

  function listen(incoming: IncomingMessage, outgoing: ServerResponse): void {
    const refusal = refusedRequests.refusalOf(incoming);
    if (refusal !== undefined) {
      refuse(incoming, outgoing, refusal);
      return;
    }
    const listener = getRequestListener(app.fetch, {
      // Called in the same turn for a request that Hono does not take.
      errorHandler: error => {
        if (!(error instanceof RequestError)) return failedResponse(error);
        refuse(incoming, outgoing, invalidRequest);
        return undefined;
      },
    });
    void listener(incoming, outgoing);
  }

  function failedResponse(error: unknown): Response {
    logger.error('request handling failed', {error: String(error)});
    return new Response(null, {status: 500});
  }

  const server = createServer(unrefusedOptions, listen);
  spareUnsentResponses(server);
  lingerAfterLastResponse(server, clock, options.lingeringCount);
  limitConnections(server, options.connections);
  closeUnfinishedBodies(server, clock);
  countReceivedBodies(server);
  closeWaitingResponses(server);
  answerBeforeErrors(server);
  readBeforeIdleTimeout(server);
  const pipelined = trackPipelinedRequests(server);
  const refusedRequests = handOverRefusedRequests(server);
  return {
    server,
    requestsInProgress: () => inProgress,
    unansweredCount: () => unanswered,
    drainConnections: () => {
      isDraining = true;
      server.closeIdleConnections();
    },
    endCalls: () => {
      for (const controller of calls) controller.abort(stopReason);
    },
  };
}

/** How the calls of a path are received. */
interface ServedPath {
  /** How often a call holds its body at once, in whatever form. */
  readonly copyCount: number;
  readonly arrivedTier: (headers: IncomingHttpHeaders) => ArrivedTier;
  readonly parseTarget: (body: Buffer) => Result<CallTarget, RouterError>;
}

interface IncomingCall {
  readonly share: OpenRequestShare;
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
  readonly arrivedAtMs: number;
  readonly requestId: RequestId;
  readonly callerRequestId: string | undefined;
  readonly response: ReturnType<typeof createCallerResponse>;
  /** The rest of the body is not read, so the connection has to close. */
  readonly onBodyNotRead: () => void;
}

function headerOf(incoming: IncomingMessage, name: string): string | undefined {
  const value = incoming.headers[name];
  return typeof value === 'string' && value !== '' ? value : undefined;
}

function timeoutOf(
  incoming: IncomingMessage,
  defaultMs: number,
): Result<number, RouterError> {
  const text = headerOf(incoming, timeoutHeader);
  if (text === undefined) return ok(defaultMs);
  const value = Number(text);
  if (
    Number.isInteger(value) &&
    value >= minTimeoutMs &&
    value <= maxTimeoutMs
  ) {
    return ok(value);
  }
  const message = `${timeoutHeader} must be a whole number from ${minTimeoutMs} to ${maxTimeoutMs}`;
  return err(new RouterError('bad_request', message));
}

/** A connection is worth more than the discarding of a small body. */
function isCostlyToDiscard({headers}: IncomingMessage): boolean {
  return (
    headers['transfer-encoding'] !== undefined ||
    Number(headers['content-length'] ?? 0) > maxDiscardedBytes
  );
}

function parseChatTarget(body: Buffer): Result<CallTarget, RouterError> {
  const model = parseModel(body);
  if (model === undefined) {
    const message = 'the request body must be JSON with a "model" string';
    return err(new RouterError('bad_request', message));
  }
  const path = '/v1/chat/completions';
  return ok({kind: 'engine', serves: model, method: 'POST', path});
}

function parseModel(body: Buffer): string | undefined {
  try {
    const json = JSON.parse(body.toString('utf8')) as {model?: unknown} | null;
    return typeof json?.model === 'string' ? json.model : undefined;
  } catch {
    return undefined;
  }
}

function parsePlainTarget(
  incoming: IncomingMessage,
): Result<CallTarget, RouterError> {
  const parsed = parseServicePath(incoming.url ?? '/');
  if (parsed === undefined) {
    const message =
      'use /services/<service>/<path>, percent-encoded, without "." and ".." segments';
    return err(new RouterError('bad_request', message));
  }
  return ok({kind: 'service', method: incoming.method ?? 'GET', ...parsed});
}
