/**
 * Fixtures of the tests that run a whole gateway: free ports, settings, and a
 * store that never changes.
 */
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {createServer as createTcpServer} from 'node:net';
import type {RandomSource} from '@toucanrouter/common';
import {
  createProcessRandom,
  createSystemClock,
  delay,
  PlatformError,
  toInstanceId,
} from '@toucanrouter/common';
import {createLogger} from '@toucanrouter/logging';
import type {GatewaySettings} from '@toucanrouter/settings';
import {errAsync, okAsync} from 'neverthrow';
import type {CallerLimits, GatewayRoute} from '../../config/GatewayConfig.js';
import type {Gateway} from '../../Gateway.js';
import {createGateway} from '../../Gateway.js';
import type {StateChange, StateStore} from '../../state/StateStore.js';
import {createConfig, createEntry, createRoute} from './GatewayFixtures.js';
import {testDialect} from './TestDialect.js';
import {emptyOriginStore} from './StreamOriginFixtures.js';

export const clock = createSystemClock();
export const host = '127.0.0.1';
export const readinessPath = '/ready';

/** Below the ports that the operating system assigns to connections. */
const minPort = 15_000;
const maxPort = 30_000;

/** Returns a port that no process uses, and that no connection can take. */
export async function freePort(random: RandomSource): Promise<number> {
  for (;;) {
    const port = minPort + Math.floor(random.next() * (maxPort - minPort));
    const server = createTcpServer();
    const isFree = await new Promise<boolean>(resolve => {
      server.once('error', () => resolve(false));
      server.listen(port, host, () => resolve(true));
    });
    if (!isFree) continue;
    await new Promise(resolve => server.close(resolve));
    return port;
  }
}

/** Creates a store whose content is `changes` from the start on. */
export function createUnchangingStore(
  changes: readonly StateChange[],
): StateStore {
  const items = changes.map((_, index) => ({key: `${index}`, value: ''}));
  return {
    ...emptyOriginStore,
    decode: ({key}) => changes[Number(key)],
    readAll: () => okAsync({revision: 1, items}),
    readChanges: revision => okAsync({revision, items: []}),
    readConfig: () => okAsync(undefined),
    readUpstream: () => okAsync(undefined),
    register: () => errAsync(new PlatformError('not supported', false)),
    renew: () => okAsync({exists: true}),
    saveVerdict: () => okAsync(undefined),
    removeVerdict: () => okAsync(undefined),
  };
}

/** Creates a store with one upstream and one route, which never changes. */
export function createFixedStore(
  upstreamPort: number,
  route: Partial<GatewayRoute>,
  limits: Partial<CallerLimits> = {},
): StateStore {
  return createUnchangingStore([
    {
      kind: 'config',
      config: createConfig({
        routes: [createRoute({streams: false, retryPolicy: 'never', ...route})],
        limits: {
          maxHeaderBytes: 16_384,
          maxBodyBytes: 100_000,
          headerTimeoutMs: 3_000,
          idleTimeoutMs: 15_000,
          ...limits,
        },
        workspacesByKey: undefined,
      }),
    },
    {kind: 'upstream', entry: createEntry('u', {host, port: upstreamPort})},
  ]);
}

export async function createSettings(
  changes: Partial<GatewaySettings> = {},
): Promise<GatewaySettings> {
  const random = createProcessRandom();
  const address = async () => ({host, port: await freePort(random)});
  return {
    instanceId: toInstanceId('i'),
    failureDomain: 'a',
    callers: await address(),
    readiness: await address(),
    metrics: await address(),
    peers: await address(),
    storeAddress: 'unused',
    stopGraceMs: 8_000,
    revocationDelayMs: 5_000,
    configDelayMs: 2_000,
    leavingDelayMs: 2_000,
    retryShare: 0.2,
    retryWindowMs: 10_000,
    retryAllowance: 50,
    memoryLimitBytes: undefined,
    logLevel: 'error',
    ...changes,
  };
}

/** Creates a gateway in front of one upstream; it is not started. */
export function createTestGateway(
  settings: GatewaySettings,
  upstream: Server,
  random: RandomSource,
  onLogLine: (line: string) => void = () => undefined,
  route: Partial<GatewayRoute> = {},
): Gateway {
  return createGateway({
    settings,
    clock,
    logger: createLogger({
      format: 'json',
      level: settings.logLevel,
      instanceId: settings.instanceId,
      write: onLogLine,
    }),
    random,
    dialect: testDialect,
    store: createFixedStore((upstream.address() as AddressInfo).port, route),
    readinessPath,
  });
}

/** Starts a gateway in front of one upstream. */
export async function startGateway(
  upstream: Server,
  random: RandomSource,
  changes: {
    readonly settings?: Partial<GatewaySettings>;
    readonly route?: Partial<GatewayRoute>;
  } = {},
): Promise<{readonly gateway: Gateway; readonly port: number}> {
  const settings = await createSettings(changes.settings);
  const gateway = createTestGateway(
    settings,
    upstream,
    random,
    undefined,
    changes.route,
  );
  await gateway.start();
  await delay(clock, 100);
  return {gateway, port: settings.callers.port};
}
