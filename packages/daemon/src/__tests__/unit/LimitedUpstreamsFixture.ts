/**
 * Several instances that share one real scheduler, with upstreams on loopback
 * that count what arrives and limit the request rate when a test says so.
 */
import type {IncomingHttpHeaders, OutgoingHttpHeaders, Server} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {
  InstanceId,
  RouterError,
  ServiceClass,
  UpstreamInfo,
} from '@toucanrouter/common';
import {
  createBufferBudget,
  createSeededRandom,
  createSystemClock,
  delay,
  toClassId,
  toInstanceId,
  toPermitId,
  toRequestId,
} from '@toucanrouter/common';
import type {LogFields, Logger} from '@toucanrouter/logging';
import type {UpstreamRateLimit} from '@toucanrouter/policy';
import {
  createHedgeBudget,
  createLengthModel,
  createRetryBudget,
  createShardScheduler,
  createUpstreamTracker,
} from '@toucanrouter/policy';
import type {Result} from 'neverthrow';
import {Agent} from 'undici';
import type {UpstreamDirectory} from '../../fleet/UpstreamDirectory.js';
import {createUpstreamDirectory} from '../../fleet/UpstreamDirectory.js';
import {serveChat} from '../../request/chat/ChatCall.js';
import {parseChatRequest} from '../../request/chat/ChatRequest.js';
import {createPromptGuard} from '../../request/chat/PromptGuard.js';
import type {Exchange} from '../../request/Exchange.js';
import {createLimitedUpstreams} from '../../request/LimitedUpstreams.js';
import {createPausedUpstreams} from '../../request/PausedUpstreams.js';
import type {PlainResponse} from '../../request/plain/PlainCall.js';
import {servePlain} from '../../request/plain/PlainCall.js';
import type {UpstreamAccess} from '../../request/UpstreamAccess.js';
import type {PermitClient} from '../../scheduling/PermitClient.js';
import {createPermitClient} from '../../scheduling/PermitClient.js';
import type {SchedulerHost} from '../../scheduling/SchedulerHost.js';
import {createSchedulerHost} from '../../scheduling/SchedulerHost.js';
import {shardId, testClass, upstreamInfo} from './SchedulingFixture.js';
import type {UpstreamHandler} from './SuspectUpstreamsFixture.js';
import {upstreamName} from './SuspectUpstreamsFixture.js';
import {createTestExchange, discardedResponse} from './ExchangeFixture.js';

/** A kind of call. */
export type CallKind = 'chat' | 'plain';

/** How a call ended. */
export interface LimitedCallOutcome {
  /** `answered`, or the kind of the error. */
  readonly kind: string;
  readonly isUrgent: boolean;
  readonly retryAfterMs: number | undefined;
  /** Headers of a plain response. */
  readonly headers: OutgoingHttpHeaders | undefined;
  readonly totalMs: number;
}

/** A line of the log of an instance. */
export interface LimitedLogLine {
  readonly message: string;
  readonly fields: LogFields;
}

export interface LimitedFleetOptions {
  readonly instanceCount: number;
  readonly handlers: readonly UpstreamHandler[];
}

export interface LimitedFleet {
  readonly startedAtMs: number;
  call(
    kind: CallKind,
    instance: number,
    isUrgent: boolean,
  ): Promise<LimitedCallOutcome>;
  /** An upstream states this value in all its responses; undefined ends it. */
  limit(index: number, value: string | undefined): void;
  /** Puts these upstreams on the instance list, by index and incarnation. */
  list(entries: readonly (readonly [number, number])[]): void;
  /** An upstream refuses connections until it is started again. */
  stop(index: number): Promise<void>;
  start(index: number): Promise<void>;
  /** Makes an instance the owner of all shards. */
  setOwner(instance: number): void;
  /** Times at which requests reached an upstream. */
  arrivalsMs(index: number): readonly number[];
  /** Headers of the last request that reached an upstream. */
  headers(index: number): IncomingHttpHeaders | undefined;
  /** Request rates that the scheduler of the owner keeps. */
  limits(): readonly UpstreamRateLimit[];
  /** Number of upstreams whose limit an instance was told of. */
  limitedCount(instance: number): number;
  readonly log: readonly LimitedLogLine[];
  nowMs(): number;
  wait(forMs: number): Promise<void>;
  close(): Promise<void>;
}

/** What the upstream stand-ins state their limit with. */
export const limitHeader = 'x-upstream-rate-limit';
/** The rule: a limit must be kept from this time after it was first stated. */
export const contactMs = 3_000;
/** The rule: the time over which requests are counted. */
export const windowMs = 4_000;

const windowFactor = 1.5;
const windowExtra = 5;
const msPerSecond = 1_000;
const deadlineMs = 8_000;
const warmUpMs = 300;
const ampleTokens = 1_000_000;

export const urgentClass: ServiceClass = {
  ...testClass,
  id: toClassId('urgent'),
  target: {firstTokenMs: 1_000},
};

export const patientClass: ServiceClass = {
  ...testClass,
  id: toClassId('patient'),
  tier: 3,
  target: {firstTokenMs: 1_000},
};

/** Returns the most requests that a window may have. */
export function allowedInWindow(limitPerS: number): number {
  return (windowFactor * limitPerS * windowMs) / msPerSecond + windowExtra;
}

/** Returns the most arrivals of a window that begins at `fromMs` or later. */
export function worstWindow(
  arrivalsMs: readonly number[],
  fromMs: number,
): number {
  const counted = arrivalsMs.filter(atMs => atMs >= fromMs);
  const counts = counted.map(
    startMs =>
      counted.filter(atMs => atMs >= startMs && atMs < startMs + windowMs)
        .length,
  );
  return Math.max(0, ...counts);
}

/** Starts the upstreams and lists all of them with incarnation 1. */
export async function createLimitedFleet(
  options: LimitedFleetOptions,
): Promise<LimitedFleet> {
  const clock = createSystemClock();
  const log: LimitedLogLine[] = [];
  const limits = new Map<number, string>();
  const arrivals: number[][] = options.handlers.map(() => []);
  const headers = new Map<number, IncomingHttpHeaders>();
  let ownerIndex = 0;
  let callCount = 0;

  async function startUpstream(
    handler: UpstreamHandler,
    index: number,
  ): Promise<Server> {
    const server = createServer((message, response) => {
      arrivals[index]!.push(clock.nowMs());
      headers.set(index, message.headers);
      const limit = limits.get(index);
      if (limit !== undefined) response.setHeader(limitHeader, limit);
      const chunks: Buffer[] = [];
      message.on('data', (chunk: Buffer) => chunks.push(chunk));
      message.on('end', () =>
        handler(message, Buffer.concat(chunks).toString(), response),
      );
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    return server;
  }

  const servers = await Promise.all(options.handlers.map(startUpstream));
  const addresses = servers.map(
    server => `127.0.0.1:${(server.address() as AddressInfo).port}`,
  );
  const ids = Array.from({length: options.instanceCount}, (_, index) =>
    toInstanceId(`router-${index}`),
  );
  const instances = ids.map(createTestInstance);

  function infoOf(index: number, incarnation: number): UpstreamInfo {
    const info = upstreamInfo(upstreamName(index));
    return {...info, address: addresses[index]!, incarnation};
  }

  function hostOf(id: InstanceId): SchedulerHost {
    return instances[ids.indexOf(id)]!.host;
  }

  function createHost(
    selfId: InstanceId,
    directory: UpstreamDirectory,
  ): SchedulerHost {
    let permitCount = 0;
    return createSchedulerHost({
      clock,
      selfId,
      createScheduler: shard =>
        createShardScheduler({
          shardId: shard,
          tracker: createUpstreamTracker(),
          lengths: createLengthModel(),
          random: createSeededRandom(1),
          createPermitId: () => toPermitId(`${selfId}.${++permitCount}`),
        }),
      isOwned: () => ids[ownerIndex] === selfId,
      upstreamsOf: directory.inShard,
      classes: () => [urgentClass, patientClass],
      deliver: (shard, effect) =>
        instances[ids.indexOf(effect.holder)]!.permits.deliver(
          shard,
          selfId,
          effect,
        ),
      heartbeatAgeMs: () => 0,
    });
  }

  function createTestInstance(selfId: InstanceId) {
    const directory = createUpstreamDirectory();
    const write = (message: string, fields: LogFields = {}) => {
      log.push({message, fields});
    };
    const logger: Logger = {
      debug: () => undefined,
      error: write,
      info: write,
      warn: write,
    };
    const host = createHost(selfId, directory);
    const permits: PermitClient = createPermitClient({
      clock,
      selfId,
      ownerOf: () => ids[ownerIndex]!,
      portOf: hostOf,
      statedRates: shard => limitedUpstreams.statements(shard),
    });
    const limitedUpstreams = createLimitedUpstreams({
      clock,
      logger,
      directory,
      onChange: permits.reportRates,
    });
    const pausedUpstreams = createPausedUpstreams({clock, logger, directory});
    const hedgeBudget = createHedgeBudget();
    hedgeBudget.recordWork(ampleTokens);
    const dispatcher = new Agent({pipelining: 1});
    const access: UpstreamAccess = {
      clock,
      region: 'here',
      directory,
      permits,
      dispatcher,
      responseBuffers: createBufferBudget(),
      retryBudget: createRetryBudget({minRatePerSecond: () => ampleTokens}),
      hedgeBudget,
      promptGuard: createPromptGuard({
        clock,
        logger,
        random: createSeededRandom(1),
        probe: () => Promise.resolve('unknown'),
        find: directory.find,
        onNews: () => undefined,
      }),
      pausedUpstreams,
      limitedUpstreams,
      random: createSeededRandom(1),
    };
    directory.registerChangeHandler(host.refreshUpstreams);
    return {
      access,
      directory,
      host,
      permits,
      start: () => {
        host.start();
        permits.start();
        host.warmUp([shardId]);
      },
      close: async () => {
        pausedUpstreams.close();
        limitedUpstreams.close();
        permits.close();
        host.close();
        await dispatcher.destroy();
      },
    };
  }

  function createExchange(body: string, serviceClass: ServiceClass): Exchange {
    let started = false;
    return createTestExchange(
      {
        requestId: toRequestId(`r${++callCount}`),
        body: Buffer.from(body),
        target: {kind: 'engine', serves: 'advisor', method: 'POST', path: '/'},
        serviceClass,
        nowMs: clock.nowMs(),
        limitMs: deadlineMs,
      },
      {
        headers: {[limitHeader]: '1'},
        response: {
          ...discardedResponse,
          get started() {
            return started;
          },
          startStream: () => {
            started = true;
          },
        },
      },
    );
  }

  const chatBody = JSON.stringify({
    model: 'advisor',
    stream: true,
    messages: [{role: 'user', content: 'hello'}],
  });

  function serve(
    kind: CallKind,
    access: UpstreamAccess,
    exchange: Exchange,
  ): Promise<Result<PlainResponse | void, RouterError>> {
    if (kind === 'plain') return servePlain(access, exchange, shardId, {});
    const request = parseChatRequest(exchange.body)._unsafeUnwrap();
    return serveChat(access, exchange, request, shardId);
  }

  const fleet: LimitedFleet = {
    startedAtMs: clock.nowMs(),
    call: async (kind, instance, isUrgent) => {
      const body = kind === 'chat' ? chatBody : '{}';
      const serviceClass = isUrgent ? urgentClass : patientClass;
      const exchange = createExchange(body, serviceClass);
      const result = await serve(kind, instances[instance]!.access, exchange);
      const response = result.isOk() ? result.value : undefined;
      return {
        kind: result.isOk() ? 'answered' : result.error.kind,
        isUrgent,
        headers: response === undefined ? undefined : response.headers,
        retryAfterMs: result.isErr() ? result.error.retryAfterMs : undefined,
        totalMs: clock.nowMs() - exchange.arrivedAtMs,
      };
    },
    limit: (index, value) => {
      if (value === undefined) limits.delete(index);
      else limits.set(index, value);
    },
    list: entries => {
      const listed = entries.map(entry => infoOf(...entry));
      for (const {directory} of instances) directory.setListed(listed);
    },
    stop: async index => {
      const server = servers[index]!;
      server.closeAllConnections();
      await new Promise(resolve => server.close(resolve));
    },
    start: async index => {
      const {port} = new URL(`http://${addresses[index]!}`);
      const server = servers[index]!;
      await new Promise<void>(resolve =>
        server.listen(Number(port), '127.0.0.1', resolve),
      );
    },
    setOwner: instance => {
      ownerIndex = instance;
      for (const {host, permits} of instances) {
        host.warmUp([shardId]);
        permits.refreshOwners();
      }
    },
    arrivalsMs: index => arrivals[index]!,
    headers: index => headers.get(index),
    limits: () => instances[ownerIndex]!.host.rateStatus().limits,
    limitedCount: instance =>
      instances[instance]!.access.limitedUpstreams.count(),
    log,
    nowMs: clock.nowMs,
    wait: forMs => delay(clock, forMs),
    close: async () => {
      for (const instance of instances) await instance.close();
      for (const server of servers) {
        server.closeAllConnections();
        server.close();
      }
    },
  };
  fleet.list(servers.map((_, index) => [index, 1] as const));
  for (const instance of instances) instance.start();
  await fleet.wait(warmUpMs);
  return fleet;
}
