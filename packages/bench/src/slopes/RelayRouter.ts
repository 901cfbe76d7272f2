/**
 * Child process: a complete daemon as the only instance of its fleet.
 */
import {createSystemClock, toInstanceId} from '@toucanrouter/common';
import type {Daemon} from '@toucanrouter/daemon';
import {createLogger, startDaemon} from '@toucanrouter/daemon';
import {serveParentCalls} from './ChildProcess.js';
import {cpuMicros, usedBytes} from './Cost.js';

/** Where the daemon finds the platform and its token files. */
export interface RelayRouterPlan {
  readonly keyValueAddress: string;
  readonly instanceListUrl: string;
  readonly tokenFile: string;
}

const loopback = {host: '127.0.0.1', port: 0};
const instanceId = toInstanceId('router-117');
let daemon: Daemon | undefined;

async function start(plan: RelayRouterPlan): Promise<string> {
  const started = await startDaemon({
    clock: createSystemClock(),
    logger: createLogger({format: 'json', level: 'warn', instanceId}),
    settings: {
      instanceId,
      region: 'region-1',
      failureDomain: 'region-1-0',
      callers: loopback,
      admin: loopback,
      peers: loopback,
      keyValueAddress: plan.keyValueAddress,
      instanceListUrl: plan.instanceListUrl,
      instanceListPollMs: 1_000,
      platformTimeoutMs: 2_000,
      seedPeers: [],
      readerTokenFile: plan.tokenFile,
      writerTokenFile: plan.tokenFile,
      defaultTimeoutMs: 60_000,
      maxBodyBytes: 1_000_000,
      stopGraceMs: 90_000,
      memoryLimitBytes: undefined,
      servicesIgnoringFencing: [],
      logFormat: 'json',
      logLevel: 'warn',
    },
  });
  if (started.isErr()) throw started.error;
  daemon = started.value;
  return `127.0.0.1:${daemon.ports.callersPort}`;
}

serveParentCalls({
  start,
  cpu: cpuMicros,
  memory: () => ({
    usedBytes: usedBytes(),
    residentBytes: process.memoryUsage().rss,
  }),
});
