/**
 * A fleet of whole gateways in front of upstreams that limit the rate of requests
 * from all instances together, for tests of that rate.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {
  createSeededRandom,
  createSystemClock,
  delay,
  toInstanceId,
} from '@toucanrouter/common';
import {createLogger} from '@toucanrouter/logging';
import type {GatewaySettings} from '@toucanrouter/settings';
import type {GatewayRoute} from '../../config/GatewayConfig.js';
import type {Gateway} from '../../Gateway.js';
import {createGateway} from '../../Gateway.js';
import type {Dialect} from '../../request/Dialect.js';
import type {Prompt} from '../../upstreams/Prompt.js';
import {createConfig, createEntry, createRoute} from './GatewayFixtures.js';
import type {CallerResponse} from './GatewayServerFixtures.js';
import {sendRequestTo} from './GatewayServerFixtures.js';
import {
  createSettings,
  createUnchangingStore,
  readinessPath,
} from './RunningGatewayFixtures.js';
import {testDialect} from './TestDialect.js';

const clock = createSystemClock();
const host = '127.0.0.1';
/** Nobody listens at this port. */
const discardPort = 9;
const answerMs = 20;
/** Time in which instances learn of a limit that has just begun. */
const contactMs = 3_000;
const windowMs = 4_000;
const msPerSecond = 1_000;
/** Requests over the rate that a window may have. */
const allowanceShare = 1.5;
const allowanceRequests = 5;

/** An upstream that records what arrives and may state a limit. */
export interface RatedTestUpstream {
  readonly server: Server;
  readonly arrivalsMs: readonly number[];
  /** Names the limit in the responses from now on; undefined ends it. */
  limit(perS: string | undefined): void;
  /** When a response first named the limit. */
  firstStatedMs(): number | undefined;
}

/** Creates an upstream whose responses have two events, or none if plain. */
export function createRatedUpstream(): RatedTestUpstream {
  const arrivalsMs: number[] = [];
  let limitPerS: string | undefined;
  let statedMs: number | undefined;

  function answer(message: IncomingMessage, response: ServerResponse): void {
    const headers: Record<string, string> = {
      id: String(message.headers['id']),
      mark: 'm',
    };
    if (limitPerS !== undefined) {
      headers['rate-limit'] = limitPerS;
      statedMs ??= clock.nowMs();
    }
    response.writeHead(200, headers);
    response.end('id: 1\ndata: a\n\nid: 2\ndata: b\n\n');
  }

  const server = createServer((message, response) => {
    arrivalsMs.push(clock.nowMs());
    message.resume();
    setTimeout(() => answer(message, response), answerMs);
  });
  return {
    server,
    arrivalsMs,
    limit: perS => {
      limitPerS = perS;
    },
    firstStatedMs: () => statedMs,
  };
}

/** Creates a prompt that shares nothing with others. */
function createOwnPrompt(requestId: string): Prompt {
  return {
    segments: [{id: requestId, tokens: 200}],
    promptTokens: 200,
    maxOutputTokens: 20,
  };
}

const promptDialect: Dialect = {
  ...testDialect,
  readRequest: message => {
    const request = testDialect.readRequest(message);
    return {...request, prompt: createOwnPrompt(request.requestId)};
  },
};

/** Options of {@link startRatedFleet}. */
export interface RatedFleetOptions {
  readonly instanceCount: number;
  readonly upstreams: readonly RatedTestUpstream[];
  readonly servesModels: boolean;
  /** False if no report of a peer arrives. */
  readonly reportsArrive?: boolean;
  /** The routes are found at the paths `/tier0/`, `/tier1/` and so on. */
  readonly routes: readonly Partial<GatewayRoute>[];
}

/** What a caller got, and when it was sent. */
export interface FleetResponse extends CallerResponse {
  readonly tier: number;
  readonly instance: number;
  readonly sentMs: number;
  readonly receivedMs: number;
}

/** Where a load goes; by default, to all instances and tiers. */
export interface LoadSpread {
  readonly tiers?: readonly number[];
  /** Instances that get requests, from the first one on. */
  readonly loadedCount?: number;
}

/** Starts gateways that are peers of each other and share all upstreams. */
export async function startRatedFleet(options: RatedFleetOptions) {
  const {instanceCount, reportsArrive = true} = options;
  const {routes, servesModels, upstreams} = options;
  for (const {server} of upstreams) {
    await new Promise<void>(resolve => server.listen(0, host, resolve));
  }
  const settings = await Promise.all(
    Array.from({length: instanceCount}, (_, index) =>
      createSettings({instanceId: toInstanceId(`i${index}`), logLevel: 'info'}),
    ),
  );
  const config = createConfig({
    routes: routes.map((route, index) =>
      createRoute({pathPrefix: `/tier${index}/`, tier: index, ...route}),
    ),
    services: new Map(
      [...createConfig().services].map(([name]) => [
        name,
        {name, servesModels},
      ]),
    ),
    workspacesByKey: undefined,
  });
  const store = createUnchangingStore([
    {kind: 'config', config},
    ...upstreams.map(({server}, index) => ({
      kind: 'upstream' as const,
      entry: createEntry(`u${index}`, {
        host,
        port: (server.address() as AddressInfo).port,
      }),
    })),
    ...settings.map(({instanceId, peers}) => ({
      kind: 'peer' as const,
      entry: {
        instanceId,
        address: reportsArrive ? peers : {...peers, port: discardPort},
      },
    })),
  ]);
  const logLines: string[] = [];
  const create = (each: GatewaySettings, index: number): Gateway =>
    createGateway({
      settings: each,
      clock,
      logger: createLogger({
        format: 'json',
        level: each.logLevel,
        instanceId: each.instanceId,
        write: line => logLines.push(line),
      }),
      random: createSeededRandom(index + 1),
      dialect: servesModels ? promptDialect : testDialect,
      store,
      readinessPath,
    });
  const gateways = settings.map(create);
  /** Instances that get no requests because they restart. */
  const restarting = new Set<number>();
  await Promise.all(gateways.map(gateway => gateway.start()));
  await delay(clock, 200);

  const responses: Promise<FleetResponse>[] = [];
  let requestCount = 0;

  function send(instance: number, tier: number): Promise<FleetResponse> {
    const port = settings[instance]?.callers.port ?? 0;
    const id = `r${requestCount++}`;
    const sentMs = clock.nowMs();
    const response = sendRequestTo(port, `/tier${tier}/x`, 'key', id).then(
      received => ({
        ...received,
        tier,
        instance,
        sentMs,
        receivedMs: clock.nowMs(),
      }),
    );
    responses.push(response);
    return response;
  }

  return {
    send,
    logLines,
    metricsPorts: settings.map(({metrics}) => metrics.port),
    /** Sends `perS` requests a second, spread over instances and tiers. */
    load: async (
      perS: number,
      durationMs: number,
      {
        tiers = routes.map((_, tier) => tier),
        loadedCount = instanceCount,
      }: LoadSpread = {},
    ) => {
      const startMs = clock.nowMs();
      for (let count = 0; ; count += 1) {
        const dueMs = (count * msPerSecond) / perS;
        if (dueMs >= durationMs) break;
        const waitMs = startMs + dueMs - clock.nowMs();
        if (waitMs > 0) await delay(clock, waitMs);
        const round = Math.floor(count / loadedCount);
        const instance = count % loadedCount;
        if (restarting.has(instance)) continue;
        void send(instance, tiers[round % tiers.length] ?? 0);
      }
    },
    /** Stops an instance and starts another one in its place. */
    restart: async (instance: number) => {
      const previous = settings[instance];
      if (previous === undefined) throw new Error('no such instance');
      restarting.add(instance);
      await gateways[instance]?.close();
      const next = create(previous, instance);
      gateways[instance] = next;
      await next.start();
      restarting.delete(instance);
    },
    responses: () => Promise.all(responses),
    close: async () => {
      for (const {server} of upstreams) {
        server.closeAllConnections();
        server.close();
      }
      await Promise.all(gateways.map(gateway => gateway.close()));
    },
  };
}

/** Time from which the rule counts arrivals at an upstream. */
export function countedFromMs(upstream: RatedTestUpstream): number {
  return (upstream.firstStatedMs() ?? Infinity) + contactMs;
}

/** The most arrivals of some four seconds from `fromMs` to `toMs`. */
export function worstWindow(
  {arrivalsMs}: RatedTestUpstream,
  fromMs: number,
  toMs = Infinity,
): number {
  const counted = arrivalsMs.filter(atMs => atMs >= fromMs && atMs < toMs);
  return Math.max(
    0,
    ...counted.map(
      startMs =>
        counted.filter(atMs => atMs >= startMs && atMs < startMs + windowMs)
          .length,
    ),
  );
}

/** The arrivals that an upstream with a limit may get in four seconds. */
export function maxWindowArrivals(limitPerS: number): number {
  return (
    allowanceShare * limitPerS * (windowMs / msPerSecond) + allowanceRequests
  );
}
