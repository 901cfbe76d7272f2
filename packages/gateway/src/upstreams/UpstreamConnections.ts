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
export interface AnswerReceiver {
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
  send(request: UpstreamRequest, receiver: AnswerReceiver): UpstreamExchange;
  /** Connections opened since the start. */
  opened(): number;
  close(): Promise<void>;
}

/** A connection across the farthest failure domains takes a few round trips. */
const connectTimeoutMs = 500;
/** Idle connections may be dropped without notice, so they are kept briefly. */
const keepIdleMs = 5_000;
/** Upper bound for what an upstream asks for in its keep-alive header. */
const maxKeepIdleMs = 10_000;
const keepAliveProbeMs = 1_000;

interface Connection {
  readonly client: Client;
  idleSinceMs: number;
  socketEnded: boolean;
  socketFailed: boolean;
  /** Tells whether the connection ended in order. */
  endCheck: Promise<boolean> | undefined;
}

/**
 * The event loop reports a reset that arrives together with the last bytes as
 * an orderly end. Only a write tells them apart: it fails after a reset. An
 * empty line is nothing to a server, should it still read.
 */
function checkOrderlyEnd(socket: Socket): Promise<boolean> {
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
function cutReason(
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
  const idle = new Map<string, Connection[]>();
  const all = new Set<Connection>();
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
      keepAliveInitialDelay: keepAliveProbeMs,
    });
    let settled = false;
    const settle = (error: Error | null) => {
      if (settled) return;
      settled = true;
      cancelTimeout();
      done(error, error === null ? socket : null);
    };
    const cancelTimeout = clock.after(connectTimeoutMs, () => {
      socket.destroy();
      settle(new Error(`no connection within ${connectTimeoutMs} ms`));
    });
    socket.once('connect', () => settle(null));
    // Registered before the client's own handlers, which complete the answer.
    socket.on('end', () => {
      connection.socketEnded = true;
      connection.endCheck = checkOrderlyEnd(socket);
    });
    socket.on('error', error => {
      connection.socketFailed = true;
      settle(error);
    });
  }

  function forget(address: string, connection: Connection): void {
    all.delete(connection);
    const list = idle.get(address);
    const index = list?.indexOf(connection) ?? -1;
    if (list !== undefined && index >= 0) list.splice(index, 1);
    if (list?.length === 0) idle.delete(address);
  }

  function open(address: string): Connection {
    const connection: Connection = {
      client: new Client(`http://${address}`, {
        pipelining: 1,
        keepAliveTimeout: keepIdleMs,
        keepAliveMaxTimeout: maxKeepIdleMs,
        headersTimeout: 0,
        bodyTimeout: 0,
        connect: (options, done) =>
          dial(connection, options, done as Parameters<typeof dial>[2]),
      }),
      idleSinceMs: -Infinity,
      socketEnded: false,
      socketFailed: false,
      endCheck: undefined,
    };
    all.add(connection);
    connection.client.on('disconnect', () => {
      forget(address, connection);
      if (!connection.client.destroyed) void connection.client.destroy();
    });
    return connection;
  }

  function take(address: string, maxIdleMs: number): Connection {
    const list = idle.get(address) ?? [];
    const oldestMs = clock.nowMs() - maxIdleMs;
    // The most recently used connection is the least likely to be stale.
    const newest = list.at(-1);
    if (newest !== undefined && newest.idleSinceMs >= oldestMs) {
      list.pop();
      return newest;
    }
    return open(address);
  }

  function release(address: string, connection: Connection): void {
    if (connection.client.destroyed || connection.client.closed) return;
    connection.idleSinceMs = clock.nowMs();
    const list = idle.get(address) ?? [];
    list.push(connection);
    idle.set(address, list);
  }

  return {
    opened: () => openedCount,
    send: (request, receiver) => {
      const address = `${request.host}:${request.port}`;
      const connection = take(address, request.maxIdleMs);
      const {client} = connection;
      let controller: Dispatcher.DispatchController | undefined;
      let aborted: string | undefined;
      let framing: BodyFraming = 'length';
      let finished = false;
      const fail = (error: Error) => {
        if (finished) return;
        finished = true;
        if (!client.destroyed) void client.destroy();
        forget(address, connection);
        receiver.failed(error);
      };
      const complete = () => {
        if (finished) return;
        finished = true;
        // The client marks itself idle after this callback.
        queueMicrotask(() => release(address, connection));
        receiver.ended();
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
            if (aborted !== undefined) started.abort(new Error(aborted));
            else receiver.sent();
          },
          onResponseStart: (started, status, headers) => {
            if (status < 200) return;
            framing = framingOf(headers);
            const raw = (started.rawHeaders ?? []) as readonly Buffer[];
            receiver.started(status, headers, raw.map(toText));
          },
          onResponseData: (_, chunk) => receiver.data(chunk),
          onResponseEnd: () => {
            if (finished) return;
            const cut = cutReason(framing, connection);
            if (cut !== undefined) {
              fail(new Error(cut));
              return;
            }
            if (framing !== 'connection') {
              complete();
              return;
            }
            const orderly = connection.endCheck ?? Promise.resolve(false);
            void orderly.then(ended => {
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
          aborted = reason;
          if (controller !== undefined) controller.abort(new Error(reason));
          else void client.destroy();
          fail(new Error(reason));
        },
      };
    },
    close: async () => {
      await Promise.all([...all].map(({client}) => client.destroy()));
    },
  };
}
