/**
 * A server for callers with limits of the process, and callers of it.
 */
import {once} from 'node:events';
import type {IncomingHttpHeaders} from 'node:http';
import {request as sendRequest} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {
  MemoryBudget,
  OpenRequestLimit,
  ServiceClass,
  Tier,
} from '@toucanrouter/common';
import {
  createConnectionBudget,
  createMemoryBudget,
  createOpenRequestLimit,
  createSeededRandom,
  createSystemClock,
  toClassId,
  toInstanceId,
  toRequestId,
} from '@toucanrouter/common';
import {createLogger} from '@toucanrouter/logging';
import type {Filter} from '../../request/Exchange.js';
import type {LoadControl} from '../../request/LoadControl.js';
import {createLoadControl} from '../../request/LoadControl.js';
import {createCallerServer} from '../../server/CallerServer.js';
import {closeServer} from '../../server/Listening.js';

const host = '127.0.0.1';
const clock = createSystemClock();
const targetMs = 500;

/** Returns a class of a plain service that is named after its tier. */
export function createTierClass(tier: Tier): ServiceClass {
  return {
    id: toClassId(`tier-${tier}`),
    tier,
    target: {totalMs: targetMs},
    idempotent: true,
    maxWaitMs: targetMs,
    match: {models: [], services: [`tier-${tier}`], methods: [], paths: []},
  };
}

/** The classes of all tiers. */
export const tierClasses = ([1, 2, 3, 4] as const).map(createTierClass);

/** A server and the limits that it keeps. */
export interface LimitedServer {
  readonly port: number;
  readonly memory: MemoryBudget;
  readonly openRequests: OpenRequestLimit;
  readonly loadControl: LoadControl;
  close(): Promise<void>;
}

/** Options of a limited server. */
export interface LimitedServerOptions {
  /** Serves all calls. */
  readonly filter: Filter;
  readonly classes?: readonly ServiceClass[];
  readonly maxBodyBytes?: number;
  readonly memoryBytes?: number;
  readonly openRequestBytes?: number;
}

/** Starts a server whose calls are served by `filter`. */
export async function startLimitedServer({
  filter,
  classes = tierClasses,
  maxBodyBytes = 1_000_000,
  memoryBytes = 100_000_000,
  openRequestBytes = 24_000_000,
}: LimitedServerOptions): Promise<LimitedServer> {
  const logger = createLogger({
    format: 'json',
    level: 'error',
    instanceId: toInstanceId('i'),
    write: () => undefined,
  });
  const memory = createMemoryBudget({clock, maxBytes: memoryBytes});
  const openRequests = createOpenRequestLimit(openRequestBytes);
  const loadControl = createLoadControl({
    clock,
    logger,
    random: createSeededRandom(1),
    classes: () => classes,
  });
  const callers = createCallerServer({
    clock,
    logger,
    createRequestId: () => toRequestId('r'),
    defaultTimeoutMs: 10_000,
    maxBodyBytes,
    chatPipeline: [filter],
    plainPipeline: [filter],
    classes: () => classes,
    isKnownCaller: ({authorization}) => authorization !== 'none',
    bodyMemory: memory,
    connections: createConnectionBudget({clock, maxCount: Infinity}),
    lingeringCount: Infinity,
    openRequests,
    loadControl,
  });
  callers.server.listen(0, host);
  await once(callers.server, 'listening');
  return {
    port: (callers.server.address() as AddressInfo).port,
    memory,
    openRequests,
    loadControl,
    close: async () => {
      loadControl.loopDelay.close();
      callers.server.closeAllConnections();
      await closeServer(callers.server);
    },
  };
}

/** The response to a call; undefined without one. */
export interface ReceivedResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
}

/** One call of a caller. */
export interface SentCall {
  /** Set once the response has arrived. */
  readonly response: () => ReceivedResponse | undefined;
  /** Resolves when the response has arrived or the connection has closed. */
  readonly ended: Promise<ReceivedResponse | undefined>;
  /** Sends the rest of the body. */
  finish(): void;
  /** Closes the connection. */
  leave(): void;
}

/** Options of a call. */
export interface SentCallOptions {
  readonly port: number;
  readonly path: string;
  readonly bodyBytes: number;
  /** Bytes that are sent at once; the rest waits for `finish`. */
  readonly sentBytes?: number;
  readonly isChunked?: boolean;
}

/** Sends a call and possibly a part of its body only. */
export function sendCall({
  port,
  path,
  bodyBytes,
  sentBytes = bodyBytes,
  isChunked = false,
}: SentCallOptions): SentCall {
  let response: ReceivedResponse | undefined;
  const headers = isChunked ? {} : {'content-length': bodyBytes};
  const message = sendRequest({host, port, path, method: 'POST', headers});
  message.on('error', () => undefined);
  const ended = new Promise<ReceivedResponse | undefined>(resolve => {
    message.on('response', incoming => {
      response = {status: incoming.statusCode ?? 0, headers: incoming.headers};
      incoming.on('error', () => undefined);
      incoming.resume();
      resolve(response);
    });
    message.on('close', () => resolve(response));
  });
  message.write(Buffer.alloc(sentBytes));
  if (sentBytes === bodyBytes) message.end();
  return {
    response: () => response,
    ended,
    finish: () => message.end(Buffer.alloc(bodyBytes - sentBytes)),
    leave: () => message.destroy(),
  };
}
