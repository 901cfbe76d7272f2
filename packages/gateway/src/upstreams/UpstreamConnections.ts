/**
 * Connections to upstreams. Each `undici` client is one connection with one
 * request at a time, so that a late or extra answer can only reach the request
 * that follows it there, where its id gives it away.
 */
import type {Socket} from 'node:net';
import {connect} from 'node:net';
import type {Clock} from '@toucanrouter/common';
import type {Dispatcher} from 'undici';
import {Client} from 'undici';

/** What is sent to an upstream. */
export interface UpstreamRequest {
  readonly host: string;
  readonly port: number;
  readonly method: string;
  readonly target: string;
  readonly headers: string[];
  readonly body: Buffer;
  /** Longest idle time of a connection that may carry this request. */
  readonly maxIdleMs: number;
}

/** Receives the answer of an upstream; `ended` or `failed` comes last. */
export interface ResponseHandler {
  /** Bytes of the request are on their way. */
  sent(): void;
  started(
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
    rawHeaders: readonly string[],
  ): void;
  data(chunk: Buffer): void;
  ended(): void;
  failed(error: Error): void;
}

/** A request at an upstream. */
export interface UpstreamExchange {
  pause(): void;
  resume(): void;
  /** Closes the connection, which makes the upstream drop the request. */
  abort(reason: string): void;
}

/** Sends requests and keeps idle connections. */
export interface UpstreamConnections {
  send(request: UpstreamRequest, handler: ResponseHandler): UpstreamExchange;
  /** Connections opened since the start. */
  opened(): number;
  close(): Promise<void>;
}

/** A connection across the farthest failure domains takes a few round trips. */
const connectTimeoutMs = 500;
/** Idle connections may be dropped without notice, so they are kept briefly. */
const keepAliveTimeoutMs = 5_000;
/** Upper bound for what an upstream asks for in its keep-alive header. */
const maxKeepAliveTimeoutMs = 10_000;
const tcpKeepAliveDelayMs = 1_000;

interface Connection {
  readonly client: Client;
  idleSinceMs: number;
  socketEnded: boolean;
  socketFailed: boolean;
  /** Tells whether the connection ended in order. */
  closedCleanly: Promise<boolean> | undefined;
}

/**
 * The event loop reports a reset that arrives together with the last bytes as
 * an orderly end. Only a write tells them apart: it fails after a reset. An
 * empty line is nothing to a server, should it still read.
 */
function checkCleanClose(socket: Socket): Promise<boolean> {
  return new Promise(resolve => {
    socket.write('\r\n', error => resolve(!error));
  });
}

/** How the protocol marks the end of an answer's body. */
type BodyFraming = 'chunks' | 'connection' | 'length';

function framingOf(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): BodyFraming {
  if (headers['transfer-encoding'] !== undefined) return 'chunks';
  return headers['content-length'] === undefined ? 'connection' : 'length';
}

/**
 * Why an answer that the client takes for complete is not; undefined when it
 * is. The client takes the end of the connection for the end of any answer
 * that announces the close, also of one in chunks without the last chunk.
 */
function truncationReason(
  framing: BodyFraming,
  {socketEnded, socketFailed}: Connection,
): string | undefined {
  if (socketFailed) return 'connection reset before the end of the answer';
  if (framing === 'chunks' && socketEnded) {
    return 'connection closed before the last chunk of the answer';
  }
  return undefined;
}

function toText(value: Buffer | string): string {
  return typeof value === 'string' ? value : value.toString('latin1');
}

/** Creates connections; nothing is opened before the first request. */
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
    let finished = false;
    const finish = (error: Error | null) => {
      if (finished) return;
      finished = true;
      cancelTimeout();
      done(error, error === null ? socket : null);
    };
    const cancelTimeout = clock.after(connectTimeoutMs, () => {
      socket.destroy();
      finish(new Error(`no connection within ${connectTimeoutMs} ms`));
    });
    socket.once('connect', () => finish(null));
    // Registered before the client's own handlers, which complete the answer.
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
      idleSinceMs: -Infinity,
      socketEnded: false,
      socketFailed: false,
      closedCleanly: undefined,
    };
    connections.add(connection);
    connection.client.on('disconnect', () => {
      remove(address, connection);
      if (!connection.client.destroyed) void connection.client.destroy();
    });
    return connection;
  }

  function acquire(address: string, maxIdleMs: number): Connection {
    const list = idleByAddress.get(address) ?? [];
    const minIdleSinceMs = clock.nowMs() - maxIdleMs;
    // The most recently used connection is the least likely to be stale.
    const newest = list.at(-1);
    if (newest !== undefined && newest.idleSinceMs >= minIdleSinceMs) {
      list.pop();
      return newest;
    }
    return open(address);
  }

  function release(address: string, connection: Connection): void {
    if (connection.client.destroyed || connection.client.closed) return;
    connection.idleSinceMs = clock.nowMs();
    const list = idleByAddress.get(address) ?? [];
    list.push(connection);
    idleByAddress.set(address, list);
  }

  return {
    opened: () => openedCount,
    send: (request, handler) => {
      const address = `${request.host}:${request.port}`;
      const connection = acquire(address, request.maxIdleMs);
      const {client} = connection;
      let controller: Dispatcher.DispatchController | undefined;
      let abortReason: string | undefined;
      let framing: BodyFraming = 'length';
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
        // The client marks itself idle after this callback.
        queueMicrotask(() => release(address, connection));
        handler.ended();
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
            if (abortReason !== undefined)
              started.abort(new Error(abortReason));
            else handler.sent();
          },
          onResponseStart: (started, status, headers) => {
            if (status < 200) return;
            framing = framingOf(headers);
            const raw = (started.rawHeaders ?? []) as readonly Buffer[];
            handler.started(status, headers, raw.map(toText));
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
              else fail(new Error('connection reset at the end of the answer'));
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
