/**
 * A gateway in front of upstreams on loopback, for tests of whole requests.
 */
import type {IncomingMessage} from 'node:http';
import {request as sendRequest} from 'node:http';
import type {AddressInfo, Server} from 'node:net';
import {
  createBufferBudget,
  createConnectionBudget,
  createMemoryBudget,
  createSeededRandom,
  createSystemClock,
  toInstanceId,
  createOpenRequestLimit,
} from '@toucanrouter/common';
import {createLogger} from '@toucanrouter/logging';
import {createRetryBudget} from '@toucanrouter/policy';
import {createActiveConfig} from '../../config/ActiveConfig.js';
import {createConfigAge} from '../../config/ConfigAge.js';
import type {GatewayRoute} from '../../config/GatewayConfig.js';
import {shortIdOf} from '../../peers/ShortIds.js';
import type {EndedRequest} from '../../request/EndedRequest.js';
import type {GatewayContext} from '../../request/GatewayContext.js';
import {createLoadControl} from '../../request/LoadControl.js';
import {createPromptGuard} from '../../request/PromptGuard.js';
import {createGatewayServer} from '../../server/GatewayServer.js';
import type {ResumptionOutcome} from '../../request/ResponseStream.js';
import {createTurnQueue} from '../../request/TurnQueue.js';
import {createLocalStreamOrigins} from './LocalStreamOrigins.js';
import type {UpstreamEntry} from '../../upstreams/UpstreamEntry.js';
import {createUpstreamConnections} from '../../upstreams/UpstreamConnections.js';
import {createUpstreamKnowledge} from '../../upstreams/UpstreamKnowledge.js';
import {createUpstreamNotices} from '../../upstreams/UpstreamNotices.js';
import {createUpstreamRateLimits} from '../../upstreams/UpstreamRateLimits.js';
import {createUpstreamRegistry} from '../../upstreams/UpstreamRegistry.js';
import {createConfig, createEntry, createRoute} from './GatewayFixtures.js';
import {testDialect} from './TestDialect.js';

async function startServer(server: Server): Promise<number> {
  if (!server.listening) {
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  }
  return (server.address() as AddressInfo).port;
}

/**
 * Starts a gateway in front of `upstreams`, which it closes with itself. Several
 * gateways may share them.
 */
export async function startGateway(
  route: Partial<GatewayRoute>,
  upstreams: readonly Server[],
  changes: Partial<GatewayContext> = {},
  entryChanges: (index: number) => Partial<UpstreamEntry> = () => ({}),
) {
  const clock = createSystemClock();
  const random = createSeededRandom(1);
  const logger = createLogger({
    format: 'json',
    level: 'error',
    instanceId: toInstanceId('i'),
    write: () => undefined,
  });
  const upstreamRates = createUpstreamRateLimits({
    clock,
    logger,
    random,
    selfId: toInstanceId('i'),
    peerIds: () => [],
    usable: service => registry.usable(service),
    onNews: () => undefined,
  });
  const registry = createUpstreamRegistry({
    clock,
    onAdded: entry => upstreamRates.upstreamAdded(entry),
    onRemoved: entry => upstreamRates.upstreamRemoved(entry),
    leavingDelayMs: () => 2_000,
  });
  for (const [index, upstream] of upstreams.entries()) {
    const port = await startServer(upstream);
    registry.put(createEntry(`u${index}`, {port, ...entryChanges(index)}));
  }
  const config = createActiveConfig(() => undefined);
  const firstConfig = createConfig({routes: [createRoute(route)]});
  config.applyIfNewer(firstConfig);
  const configAge = createConfigAge(clock);
  configAge.confirmed(configAge.mark());
  const connections = createUpstreamConnections(clock);
  const ended: EndedRequest[] = [];
  const resumptions: ResumptionOutcome[] = [];
  const context: GatewayContext = {
    clock,
    logger,
    random,
    dialect: testDialect,
    failureDomain: 'a',
    config,
    configAge,
    maxConfigAgeMs: () => 60_000,
    confirmConfig: () => Promise.resolve(),
    registry,
    knowledge: createUpstreamKnowledge({clock, selfId: shortIdOf('i')}),
    reportSoon: () => undefined,
    loadControl: createLoadControl({
      clock,
      logger,
      random,
      config,
      queueWaitMs: () => 0,
      onRefused: () => undefined,
    }),
    turnQueue: createTurnQueue({clock}),
    connections,
    callerConnections: createConnectionBudget({clock, maxCount: 1_000}),
    openRequestLimit: createOpenRequestLimit(64 * 1024 * 1024),
    requestBodies: createMemoryBudget({clock, maxBytes: 64 * 1024 * 1024}),
    lingeringCallerCount: Infinity,
    responseBuffers: createBufferBudget(),
    promptGuard: createPromptGuard({
      clock,
      logger,
      random,
      probe: () => Promise.resolve('unknown'),
      isUsable: () => true,
      onNews: () => undefined,
      onConvicted: () => undefined,
      onCleared: () => undefined,
    }),
    upstreamNotices: createUpstreamNotices({
      clock,
      logger,
      onLeaving: entry => registry.markLeaving(entry),
      onRefused: () => undefined,
    }),
    upstreamRates,
    streamOrigins: createLocalStreamOrigins(),
    readUpstream: () => Promise.resolve(undefined),
    onResumptionEnded: outcome => resumptions.push(outcome),
    retryBudget: () => createRetryBudget(),
    isDraining: () => false,
    onBegun: () => undefined,
    onEnded: request => ended.push(request),
    ...changes,
  };
  const gateway = createGatewayServer(context);
  gateway.applyLimits(firstConfig.limits);
  const port = await startServer(gateway.server);
  return {
    port,
    server: gateway.server,
    ended,
    resumptions,
    registry,
    upstreamNotices: context.upstreamNotices,
    upstreamRates: context.upstreamRates,
    knowledge: context.knowledge,
    inProgress: gateway.inProgress,
    close: async () => {
      context.upstreamNotices.close();
      await connections.close();
      gateway.server.closeAllConnections();
      for (const server of [gateway.server, ...upstreams]) server.close();
    },
  };
}

/** A response as its caller received it. */
export interface CallerResponse {
  readonly status: number;
  readonly body: string;
  readonly retryAfter: string | undefined;
  readonly headers: IncomingMessage['headers'];
  /** False when the connection closed before the end of the response. */
  readonly complete: boolean;
}

/** Sends one request to a gateway at `port`. */
export function sendRequestTo(
  port: number,
  path = '/chat/x',
  key = 'key',
  id = 'r1',
  extraHeaders: Readonly<Record<string, string>> = {},
): Promise<CallerResponse> {
  return new Promise((resolve, reject) => {
    const headers = {id, authorization: key, ...extraHeaders};
    const call = sendRequest(
      {host: '127.0.0.1', port, path, method: 'POST', headers, agent: false},
      response => {
        let body = '';
        response.on('data', chunk => (body += String(chunk)));
        response.on('error', () => undefined);
        response.on('close', () =>
          resolve({
            status: response.statusCode ?? 0,
            body,
            headers: response.headers,
            retryAfter: response.headers['retry-after'],
            complete: response.complete,
          }),
        );
      },
    );
    call.on('error', reject);
    call.end('body');
  });
}
