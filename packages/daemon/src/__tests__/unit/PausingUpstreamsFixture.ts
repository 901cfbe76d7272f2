/**
 * Calls of one instance, with its real scheduler, to upstreams on loopback that
 * reject requests and ask for pauses when a test says so.
 */
import type {IncomingHttpHeaders, OutgoingHttpHeaders, Server} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {
  ClaimStore,
  PermitOutcome,
  ServiceClass,
  UpstreamInfo,
  RouterError,
} from '@toucanrouter/common';
import {
  createBufferBudget,
  createSeededRandom,
  createSystemClock,
  delay,
  toInstanceId,
  toPermitId,
  toRequestId,
} from '@toucanrouter/common';
import type {LogFields, Logger} from '@toucanrouter/logging';
import {
  createHedgeBudget,
  createLengthModel,
  createRetryBudget,
  createShardScheduler,
  createUpstreamTracker,
} from '@toucanrouter/policy';
import type {Result} from 'neverthrow';
import {okAsync} from 'neverthrow';
import {Agent} from 'undici';
import {createClaimedCalls} from '../../claims/ClaimedCall.js';
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
import type {Permit, PermitClient} from '../../scheduling/PermitClient.js';
import {createPermitClient} from '../../scheduling/PermitClient.js';
import type {SchedulerHost} from '../../scheduling/SchedulerHost.js';
import {createSchedulerHost} from '../../scheduling/SchedulerHost.js';
import {shardId, testClass, upstreamInfo} from './SchedulingFixture.js';
import type {UpstreamHandler} from './SuspectUpstreamsFixture.js';
import {upstreamName} from './SuspectUpstreamsFixture.js';
import {createTestExchange, discardedResponse} from './ExchangeFixture.js';

/** How a call ended. */
export interface CallOutcome {
  /** `answered`, or the kind of the error. */
  readonly kind: string;
  /** Status of a plain response. */
  readonly status: number | undefined;
  /** Headers of a plain response. */
  readonly headers: OutgoingHttpHeaders | undefined;
  readonly retryAfterMs: number | undefined;
  /** What the caller received as a stream. */
  readonly relayed: string;
  readonly totalMs: number;
}

/** A line of the log. */
export interface LogLine {
  readonly message: string;
  readonly fields: LogFields;
}

/** A request that reached an upstream. */
export interface Arrival {
  readonly atMs: number;
  /** Sent as the `Retry-After` of a rejection. */
  readonly rejectedWith: string | undefined;
}

export interface PausingFleetOptions {
  readonly handlers: readonly UpstreamHandler[];
  /** Changes the class of all calls. */
  readonly serviceClass?: Partial<ServiceClass>;
  /** Called with each permit that the scheduler granted. */
  readonly onGranted?: (permit: Permit) => Promise<void> | void;
  /** The scheduler does not know which upstreams are leaving. */
  readonly schedulerLags?: boolean;
  /** Called after tokens were recorded; `tokens` counts all of the permit. */
  readonly onTokens?: (permit: Permit, tokens: number) => void;
}

export interface PausingFleet {
  chat(): Promise<CallOutcome>;
  plain(): Promise<CallOutcome>;
  /** A plain call that claims an idempotency key. */
  claimed(): Promise<CallOutcome>;
  /** Puts these upstreams on the instance list, by index and incarnation. */
  list(entries: readonly (readonly [number, number])[]): void;
  /** An upstream rejects all requests with this header; undefined ends it. */
  reject(index: number, retryAfter: string | undefined): void;
  /** An upstream says in all its responses that it is leaving, or stops that. */
  leave(index: number, isLeaving: boolean): void;
  /** Reports that an incarnation is leaving, as a peer does. */
  reportLeaving(index: number, incarnation: number): void;
  arrivals(index: number): readonly Arrival[];
  /** Headers of the requests that reached an upstream. */
  headers(index: number): readonly IncomingHttpHeaders[];
  /** Returns how each permit was released, by upstream. */
  outcomes(index: number): readonly PermitOutcome[];
  readonly log: readonly LogLine[];
  nowMs(): number;
  wait(forMs: number): Promise<void>;
  close(): Promise<void>;
}

/** The rule: what was on its way may still come for this long. */
export const onItsWayMs = 500;
/** The rule: requests that may come after that, until the pause ends. */
export const maxLateRequests = 2;

const msPerSecond = 1_000;
const deadlineMs = 8_000;
const warmUpMs = 300;
const ampleTokens = 1_000_000;

/** Returns the most requests that came late within one pause. */
export function worstLateCount(arrivals: readonly Arrival[]): number {
  const counts = arrivals.flatMap(({atMs, rejectedWith}) => {
    const endMs = atMs + Number(rejectedWith) * msPerSecond;
    const late = arrivals.filter(
      other => other.atMs > atMs + onItsWayMs && other.atMs < endMs,
    );
    return rejectedWith === undefined ? [] : [late.length];
  });
  return Math.max(0, ...counts);
}

function createTestLogger(log: LogLine[]): Logger {
  const write = (message: string, fields: LogFields = {}) => {
    log.push({message, fields});
  };
  return {debug: () => undefined, error: write, info: write, warn: write};
}

const claimStore: ClaimStore = {
  claim: () => okAsync({kind: 'claimed', fencingToken: 1}),
  end: () => okAsync(undefined),
};

/** Starts the upstreams and lists all of them with incarnation 1. */
export async function createPausingFleet(
  options: PausingFleetOptions,
): Promise<PausingFleet> {
  const clock = createSystemClock();
  const log: LogLine[] = [];
  const logger = createTestLogger(log);
  const selfId = toInstanceId('router-1');
  const serviceClass = {...testClass, ...options.serviceClass};
  const directory = createUpstreamDirectory();
  const rejections = new Map<number, string>();
  const leaving = new Set<number>();
  const headers: IncomingHttpHeaders[][] = options.handlers.map(() => []);
  const arrivals: Arrival[][] = options.handlers.map(() => []);
  const outcomes = new Map<string, PermitOutcome[]>();
  let permitCount = 0;
  let callCount = 0;

  async function startUpstream(
    handler: UpstreamHandler,
    index: number,
  ): Promise<Server> {
    const server = createServer((message, response) => {
      const rejectedWith = rejections.get(index);
      if (leaving.has(index)) response.setHeader('x-upstream-leaving', '1');
      headers[index]!.push(message.headers);
      arrivals[index]!.push({atMs: clock.nowMs(), rejectedWith});
      if (rejectedWith !== undefined) {
        message.resume();
        response.writeHead(503, {'retry-after': rejectedWith});
        response.end();
        return;
      }
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

  function infoOf(index: number, incarnation: number): UpstreamInfo {
    const {port} = servers[index]!.address() as AddressInfo;
    const info = upstreamInfo(upstreamName(index));
    return {...info, address: `127.0.0.1:${port}`, incarnation};
  }

  const host: SchedulerHost = createSchedulerHost({
    clock,
    selfId,
    createScheduler: shard =>
      createShardScheduler({
        shardId: shard,
        tracker: createUpstreamTracker(),
        lengths: createLengthModel(),
        random: createSeededRandom(1),
        createPermitId: () => toPermitId(`permit-${++permitCount}`),
      }),
    isOwned: () => true,
    upstreamsOf: shard =>
      directory.inShard(shard).map(info => ({
        ...info,
        leaving: info.leaving && options.schedulerLags !== true,
      })),
    classes: () => [serviceClass],
    deliver: (shard, effect) => client.deliver(shard, selfId, effect),
    heartbeatAgeMs: () => 0,
  });
  const client = createPermitClient({
    clock,
    selfId,
    ownerOf: () => selfId,
    portOf: () => host,
  });

  function observePermit(permit: Permit): Permit {
    const {recordTokens, release} = permit;
    let tokens = 0;
    permit.recordTokens = count => {
      recordTokens(count);
      tokens += count;
      const total = tokens;
      setImmediate(() => options.onTokens?.(permit, total));
    };
    permit.release = end => {
      const earlier = outcomes.get(permit.upstreamId) ?? [];
      outcomes.set(permit.upstreamId, [...earlier, end.outcome]);
      release(end);
    };
    return permit;
  }

  const permits: PermitClient = {
    ...client,
    acquire: async (shard, request, signal) => {
      const granted = await client.acquire(shard, request, signal);
      if (granted.isOk()) {
        observePermit(granted.value);
        await options.onGranted?.(granted.value);
      }
      return granted;
    },
  };
  const dispatcher = new Agent({pipelining: 1});
  const hedgeBudget = createHedgeBudget();
  hedgeBudget.recordWork(ampleTokens);
  const pausedUpstreams = createPausedUpstreams({clock, logger, directory});
  const access: UpstreamAccess = {
    clock,
    region: 'here',
    directory,
    permits,
    dispatcher,
    responseBuffers: createBufferBudget(),
    retryBudget: createRetryBudget({minRatePerSecond: () => ampleTokens}),
    hedgeBudget: {...hedgeBudget, tryHedge: () => true},
    promptGuard: createPromptGuard({
      clock,
      logger: createTestLogger([]),
      random: createSeededRandom(1),
      probe: () => Promise.resolve('unknown'),
      find: directory.find,
      onNews: () => undefined,
    }),
    pausedUpstreams,
    limitedUpstreams: createLimitedUpstreams({
      clock,
      logger,
      directory,
      onChange: client.reportRates,
    }),
    random: createSeededRandom(1),
  };
  const claims = createClaimedCalls(clock, selfId, claimStore);

  function createExchange(body: string, relayed: string[]): Exchange {
    const requestId = toRequestId(`r${++callCount}`);
    return createTestExchange(
      {
        requestId,
        body: Buffer.from(body),
        target: {kind: 'engine', serves: 'advisor', method: 'POST', path: '/'},
        serviceClass,
        nowMs: clock.nowMs(),
        limitMs: deadlineMs,
      },
      {
        headers: {'idempotency-key': requestId, 'x-upstream-leaving': '1'},
        response: {
          ...discardedResponse,
          get started() {
            return relayed.length > 0;
          },
          startStream: () => relayed.push(''),
          write: bytes => {
            relayed.push(Buffer.from(bytes).toString());
            return Promise.resolve();
          },
        },
      },
    );
  }

  async function run(
    body: string,
    serve: (
      exchange: Exchange,
    ) => Promise<Result<PlainResponse | void, RouterError>>,
  ): Promise<CallOutcome> {
    const relayed: string[] = [];
    const exchange = createExchange(body, relayed);
    const result = await serve(exchange);
    const value = result.isOk() ? result.value : undefined;
    return {
      kind: result.isOk() ? 'answered' : result.error.kind,
      status: value === undefined ? undefined : value.status,
      headers: value === undefined ? undefined : value.headers,
      retryAfterMs: result.isErr() ? result.error.retryAfterMs : undefined,
      relayed: relayed.join(''),
      totalMs: clock.nowMs() - exchange.arrivedAtMs,
    };
  }

  const chatBody = JSON.stringify({
    model: 'advisor',
    stream: true,
    messages: [{role: 'user', content: 'hello'}],
  });
  const fleet: PausingFleet = {
    chat: () =>
      run(chatBody, exchange => {
        const request = parseChatRequest(exchange.body)._unsafeUnwrap();
        return serveChat(access, exchange, request, shardId);
      }),
    plain: () =>
      run('{}', exchange => servePlain(access, exchange, shardId, {})),
    claimed: () =>
      run('{}', exchange =>
        claims.run(exchange, () => servePlain(access, exchange, shardId, {})),
      ),
    list: entries => {
      directory.setListed(entries.map(entry => infoOf(...entry)));
    },
    reject: (index, retryAfter) => {
      if (retryAfter === undefined) rejections.delete(index);
      else rejections.set(index, retryAfter);
    },
    leave: (index, isLeaving) => {
      if (isLeaving) leaving.add(index);
      else leaving.delete(index);
    },
    reportLeaving: (index, incarnation) => {
      const upstreamId = infoOf(index, incarnation).id;
      directory.markLeaving({upstreamId, incarnation});
    },
    arrivals: index => arrivals[index]!,
    headers: index => headers[index]!,
    outcomes: index => outcomes.get(upstreamName(index)) ?? [],
    log,
    nowMs: clock.nowMs,
    wait: forMs => delay(clock, forMs),
    close: async () => {
      await claims.idle();
      pausedUpstreams.close();
      client.close();
      host.close();
      await dispatcher.destroy();
      for (const server of servers) {
        server.closeAllConnections();
        server.close();
      }
    },
  };
  directory.registerChangeHandler(host.refreshUpstreams);
  fleet.list(servers.map((_, index) => [index, 1] as const));
  host.start();
  client.start();
  host.warmUp([shardId]);
  await fleet.wait(warmUpMs);
  return fleet;
}
