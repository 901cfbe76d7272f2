/**
 * Connection pool for upstreams. Each `undici` client is one connection with
 * one request at a time, so a late or extra response can only reach the next
 * request on that connection, where its request id does not match.
 */
import type {Socket} from 'node:net';
import {connect} from 'node:net';
import type {Clock} from '@toucanrouter/common';
import {isResponseStatus, limitReads} from '@toucanrouter/common';
import {Client, limitHeaderLines} from '@toucanrouter/common/http-client';
import type {Dispatcher} from 'undici';

/** A request to an upstream. */
export interface UpstreamRequest {
  /** Names the request in its response; callers may use an id again. */
  readonly requestId: string;
  readonly host: string;
  readonly port: number;
  readonly method: string;
  readonly target: string;
  readonly headers: string[];
  readonly body: Buffer;
  /** Longest idle time of a connection that may carry this request. */
  readonly maxIdleMs: number;
}

/** Handles the response of an upstream; `ended` or `failed` is called last. */
export interface ResponseHandler {
  /**
   * Returns why the request must not be written after all, or undefined. Called
   * once the connection is established, right before `sent`.
   */
  withdrawalReason?(): string | undefined;
  /** The connection starts to write the request. */
  sent(): void;
  started(
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
    rawHeaders: readonly string[],
    /** True if the connection carried another request before. */
    isReused: boolean,
  ): void;
  data(chunk: Buffer): void;
  /** `byClose` is true if only the end of the connection marked the end. */
  ended(byClose: boolean): void;
  failed(error: Error): void;
}

/** A request in flight. */
export interface UpstreamExchange {
  pause(): void;
  resume(): void;
  /** Closes the connection, which makes the upstream cancel the request. */
  abort(reason: string): void;
}

/** Sends requests and keeps idle connections for reuse. */
export interface UpstreamConnections {
  send(request: UpstreamRequest, handler: ResponseHandler): UpstreamExchange;
  /** Connections opened since the start. */
  opened(): number;
  close(): Promise<void>;
}

/** Allows a few round trips between the most distant failure domains. */
const connectTimeoutMs = 500;
/** Short, because idle connections may be dropped without notice. */
const keepAliveTimeoutMs = 5_000;
/** Upper bound for the timeout in an upstream's `Keep-Alive` header. */
const maxKeepAliveTimeoutMs = 10_000;
const tcpKeepAliveDelayMs = 1_000;
/** Bounds the ids to remember; a connection with more errors is closed. */
const maxFailedRequestsPerConnection = 64;
const minErrorStatus = 400;
/** An upstream that sends more interim (1xx) responses has failed. */
const maxInterimResponses = 16;

interface Connection {
  readonly client: Client;
  /**
   * Ids of requests that were answered with an error. A second copy of such a
   * response could pass for the response to a request with the same id.
   */
  readonly failedRequestIds: Set<string>;
  /** True once a request was completed on the connection. */
  reused: boolean;
  idleSinceMs: number;
  socketEnded: boolean;
  socketFailed: boolean;
  /** Resolves to false if the connection was reset; set once it ended. */
  closedCleanly: Promise<boolean> | undefined;
}

/**
 * Distinguishes a clean close from a reset. Node.js reports a reset that arrives
 * together with the last bytes as an ordinary end, but a write fails after a
 * reset. A server that still reads ignores the empty line.
 */
function checkCleanClose(socket: Socket): Promise<boolean> {
  return new Promise(resolve => {
    socket.write('\r\n', error => resolve(!error));
  });
}

/** How HTTP marks the end of a response body. */
type BodyFraming = 'chunks' | 'connection' | 'length' | 'none';

/** Statuses whose responses have no body, whatever their headers say. */
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

function framingOf(
  method: string,
  status: number,
  headers: Readonly<Record<string, string | string[] | undefined>>,
): BodyFraming {
  if (method === 'HEAD' || bodilessStatuses.has(status)) return 'none';
  if (headers['transfer-encoding'] !== undefined) return 'chunks';
  return headers['content-length'] === undefined ? 'connection' : 'length';
}

/**
 * Returns why a response that `undici` reports as complete is truncated, or
 * undefined when it is complete. For a response with `Connection: close`, the
 * client treats the end of the connection as the end of the body, even if the
 * last chunk of a chunked body is missing.
 */
function truncationReason(
  framing: BodyFraming,
  {socketEnded, socketFailed}: Connection,
): string | undefined {
  if (socketFailed) return 'connection reset before the end of the response';
  if (framing === 'chunks' && socketEnded) {
    return 'connection closed before the last chunk of the response';
  }
  return undefined;
}

function toText(value: Buffer | string): string {
  return typeof value === 'string' ? value : value.toString('latin1');
}

/** Creates an empty pool; connections are opened on demand. */
export function createUpstreamConnections(clock: Clock): UpstreamConnections {
  const idleByAddress = new Map<string, Connection[]>();
  const connections = new Set<Connection>();
  let openedCount = 0;

  function dial(
    connection: Connection,
    options: {hostname: string; port: string},
    done: (error: Error | null, socket: Socket | null) => void,
  ): void {
    openedCount += 1;
    const socket = connect({
      host: options.hostname,
      port: Number(options.port),
      noDelay: true,
      keepAlive: true,
      keepAliveInitialDelay: tcpKeepAliveDelayMs,
    });
    limitReads(socket);
    let finished = false;
    const finish = (error: Error | null) => {
      if (finished) return;
      finished = true;
      cancelTimeout();
      done(error, error === null ? socket : null);
    };
    const cancelTimeout = clock.after(connectTimeoutMs, () => {
      socket.destroy();
      finish(
        new Error(`connection not established within ${connectTimeoutMs} ms`),
      );
    });
    socket.once('connect', () => finish(null));
    // Registered before the client's own handlers, which end the response.
    socket.on('end', () => {
      connection.socketEnded = true;
      connection.closedCleanly = checkCleanClose(socket);
    });
    socket.on('error', error => {
      connection.socketFailed = true;
      finish(error);
    });
  }

  function remove(address: string, connection: Connection): void {
    connections.delete(connection);
    const list = idleByAddress.get(address);
    const index = list?.indexOf(connection) ?? -1;
    if (list !== undefined && index >= 0) list.splice(index, 1);
    if (list?.length === 0) idleByAddress.delete(address);
  }

  function open(address: string): Connection {
    const connection: Connection = {
      client: new Client(`http://${address}`, {
        pipelining: 1,
        keepAliveTimeout: keepAliveTimeoutMs,
        keepAliveMaxTimeout: maxKeepAliveTimeoutMs,
        headersTimeout: 0,
        bodyTimeout: 0,
        connect: (options, done) =>
          dial(connection, options, done as Parameters<typeof dial>[2]),
      }),
      failedRequestIds: new Set(),
      reused: false,
      idleSinceMs: -Infinity,
      socketEnded: false,
      socketFailed: false,
      closedCleanly: undefined,
    };
    connections.add(connection);
    limitHeaderLines(connection.client);
    connection.client.on('disconnect', () => {
      remove(address, connection);
      if (!connection.client.destroyed) void connection.client.destroy();
    });
    return connection;
  }

  function acquire(address: string, request: UpstreamRequest): Connection {
    const list = idleByAddress.get(address) ?? [];
    const minIdleSinceMs = clock.nowMs() - request.maxIdleMs;
    // The most recently used connection is the least likely to be stale.
    for (let index = list.length - 1; index >= 0; index--) {
      const connection = list[index];
      if (connection === undefined) break;
      if (connection.idleSinceMs < minIdleSinceMs) break;
      if (connection.failedRequestIds.has(request.requestId)) continue;
      list.splice(index, 1);
      return connection;
    }
    return open(address);
  }

  function release(address: string, connection: Connection): void {
    if (connection.client.destroyed || connection.client.closed) return;
    if (connection.failedRequestIds.size > maxFailedRequestsPerConnection) {
      void connection.client.destroy();
      return;
    }
    connection.reused = true;
    connection.idleSinceMs = clock.nowMs();
    const list = idleByAddress.get(address) ?? [];
    list.push(connection);
    idleByAddress.set(address, list);
  }

  return {
    opened: () => openedCount,
    send: (request, handler) => {
      const address = `${request.host}:${request.port}`;
      const connection = acquire(address, request);
      const {client} = connection;
      let controller: Dispatcher.DispatchController | undefined;
      let abortReason: string | undefined;
      let framing: BodyFraming = 'length';
      let interimResponses = 0;
      let finished = false;
      const fail = (error: Error) => {
        if (finished) return;
        finished = true;
        if (!client.destroyed) void client.destroy();
        remove(address, connection);
        handler.failed(error);
      };
      const complete = () => {
        if (finished) return;
        finished = true;
        // `undici` marks the client as idle only after this callback.
        queueMicrotask(() => release(address, connection));
        handler.ended(framing === 'connection');
      };
      client.dispatch(
        {
          path: request.target,
          method: request.method as Dispatcher.HttpMethod,
          headers: request.headers,
          body: request.body.length > 0 ? request.body : null,
        },
        {
          onRequestStart: started => {
            controller = started;
            const reason = abortReason ?? handler.withdrawalReason?.();
            if (reason === undefined) handler.sent();
            else started.abort(new Error(reason));
          },
          onResponseStart: (started, status, headers) => {
            const giveUp = (reason: string) => {
              const error = new Error(reason);
              started.abort(error);
              fail(error);
            };
            // The client takes any status below 200 for an interim one.
            if (!isResponseStatus(status)) {
              giveUp(`the response has the invalid status ${status}`);
              return;
            }
            if (status < 200) {
              interimResponses += 1;
              if (interimResponses > maxInterimResponses) {
                giveUp(`more than ${maxInterimResponses} interim responses`);
              }
              return;
            }
            framing = framingOf(request.method, status, headers);
            if (status >= minErrorStatus) {
              connection.failedRequestIds.add(request.requestId);
            }
            const raw = (started.rawHeaders ?? []) as readonly Buffer[];
            handler.started(
              status,
              headers,
              raw.map(toText),
              connection.reused,
            );
          },
          onResponseData: (_, chunk) => handler.data(chunk),
          onResponseEnd: () => {
            if (finished) return;
            const truncation = truncationReason(framing, connection);
            if (truncation !== undefined) {
              fail(new Error(truncation));
              return;
            }
            if (framing !== 'connection') {
              complete();
              return;
            }
            const closedCleanly =
              connection.closedCleanly ?? Promise.resolve(false);
            void closedCleanly.then(ended => {
              if (ended) complete();
              else
                fail(new Error('connection reset at the end of the response'));
            });
          },
          onResponseError: (_, error) => fail(error),
        },
      );
      return {
        pause: () => controller?.pause(),
        resume: () => controller?.resume(),
        abort: reason => {
          if (finished) return;
          abortReason = reason;
          if (controller !== undefined) controller.abort(new Error(reason));
          else void client.destroy();
          fail(new Error(reason));
        },
      };
    },
    close: async () => {
      await Promise.all([...connections].map(({client}) => client.destroy()));
    },
  };
}
