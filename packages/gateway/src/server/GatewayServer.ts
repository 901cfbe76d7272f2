/**
 * The HTTP server for callers. Its limits come from the configuration in force.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import {
  answerBeforeErrors,
  closeUnfinishedBodies,
  closeWaitingResponses,
  countReceivedBodies,
  handOverRefusedRequests,
  headBytesOf,
  headerBytesOf,
  limitConnections,
  lingerAfterLastResponse,
  readBeforeIdleTimeout,
  refuseOpenRequest,
  RouterError,
  spareUnsentResponses,
  trackPipelinedRequests,
  unrefusedOptions,
} from '@toucanrouter/common';
import type {CallerLimits} from '../config/GatewayConfig.js';
import {createCallerResponse} from '../request/CallerResponse.js';
import type {GatewayContext} from '../request/GatewayContext.js';
import {serveRequest} from '../request/GatewayRequest.js';
import type {OpenRequest, UnansweredRequest} from '../request/OpenRequest.js';

/** The server for callers. */
export interface GatewayServer {
  readonly server: Server;
  /** Requests whose response is not sent completely. */
  inProgress(): number;
  /** The same requests, as far as their heads were accepted. */
  openRequests(): readonly OpenRequest[];
  applyLimits(limits: CallerLimits): void;
  /** Makes each further response close its connection. */
  closeAfterResponses(): void;
  /** Connections of callers that are open. */
  openConnections(): number;
  /** Time since the latest request arrived. */
  quietMs(): number;
}

/**
 * Upper bound that Node.js enforces. It is set at creation, before there is a
 * configuration, whose own limit is checked for each request.
 */
const maxHeaderBytes = 64 * 1024;
const connectionCheckMs = 1_000;

function describe(open: OpenRequest): UnansweredRequest {
  const {requestId} = open;
  return {requestId, stage: open.stage(), openMs: Math.round(open.openMs())};
}

/**
 * Creates the server without listening. `onUnanswered` is called for each
 * request whose connection closes before its response is complete.
 */
export function createGatewayServer(
  context: GatewayContext,
  onUnanswered: (request: UnansweredRequest) => void = () => undefined,
): GatewayServer {
  const openRequests = new Set<OpenRequest>();
  let inProgress = 0;
  let closing = false;
  let openConnections = 0;
  let lastRequestAtMs = context.clock.nowMs();
  let limits: CallerLimits | undefined;

  async function handle(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const share = context.openRequestLimit.tryOpen(headBytesOf(message));
    const refusal = refusedRequests.refusalOf(message);
    if (refusal !== undefined) {
      if (share !== undefined) response.once('close', share.close);
      refuseOpenRequest(response, refusal, {
        share,
        limit: context.openRequestLimit,
        isStopping: closing || pipelined.isLast(response),
        tryClose: pipelined.tryClose,
      });
      return;
    }
    if (
      limits !== undefined &&
      headerBytesOf(message) > limits.maxHeaderBytes
    ) {
      share?.refused();
      if (share !== undefined) response.once('close', share.close);
      const callerResponse = createCallerResponse({
        response,
        isClosing: () => true,
        tryClose: () => pipelined.tryClose(response),
        isPipelined: () => pipelined.isPipelined(response),
      });
      const reason = `the headers exceed ${limits.maxHeaderBytes} bytes`;
      callerResponse.sendError(
        new RouterError('headers_too_large', reason),
        '',
      );
      return;
    }
    const connectionClosing = {
      isClosing: () => closing || pipelined.isLast(response),
      tryClose: () => pipelined.tryClose(response),
      isPipelined: () => pipelined.isPipelined(response),
    };
    const onOpened = (open: OpenRequest) => {
      openRequests.add(open);
      // The listener comes before the one that records the caller's leaving.
      response.once('close', () => {
        openRequests.delete(open);
        if (!response.writableFinished) onUnanswered(describe(open));
      });
    };
    await serveRequest(
      context,
      message,
      response,
      share,
      connectionClosing,
      onOpened,
    );
  }

  const server = createServer(
    {
      ...unrefusedOptions,
      maxHeaderSize: maxHeaderBytes,
      connectionsCheckingInterval: connectionCheckMs,
      requestTimeout: 0,
      noDelay: true,
    },
    (message, response) => {
      // Its connection is about to close, and the caller knows that.
      if (!pipelined.isAccepted(response)) return;
      inProgress += 1;
      lastRequestAtMs = context.clock.nowMs();
      response.once('close', () => {
        inProgress -= 1;
      });
      handle(message, response).catch((error: unknown) => {
        context.logger.error(
          'request handling failed; the connection was closed',
          {
            error: error instanceof Error ? error.stack : String(error),
          },
        );
        response.destroy();
      });
    },
  );
  spareUnsentResponses(server);
  lingerAfterLastResponse(server, context.clock, context.lingeringCallerCount);
  countReceivedBodies(server);
  limitConnections(server, context.callerConnections);
  closeUnfinishedBodies(server, context.clock);
  closeWaitingResponses(server);
  answerBeforeErrors(server);
  readBeforeIdleTimeout(server);
  const pipelined = trackPipelinedRequests(server);
  const refusedRequests = handOverRefusedRequests(server);
  server.on('connection', socket => {
    openConnections += 1;
    context.turnQueue.connectionAccepted();
    socket.once('close', () => {
      openConnections -= 1;
    });
  });
  return {
    server,
    inProgress: () => inProgress,
    openRequests: () => [...openRequests],
    openConnections: () => openConnections,
    quietMs: () => context.clock.nowMs() - lastRequestAtMs,
    applyLimits: next => {
      limits = next;
      server.headersTimeout = next.headerTimeoutMs;
      server.keepAliveTimeout = next.idleTimeoutMs;
    },
    closeAfterResponses: () => {
      closing = true;
    },
  };
}
