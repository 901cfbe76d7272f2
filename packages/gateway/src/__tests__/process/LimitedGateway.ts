/**
 * A gateway in a process of its own, whose memory can be measured from outside:
 * `LimitedGateway.ts UPSTREAM_PORT MEMORY_LIMIT_BYTES [streams]`. It prints its port for
 * callers and runs until it is killed.
 */
import process from 'node:process';
import {createProcessRandom} from '@toucanrouter/common';
import {createLogger} from '@toucanrouter/logging';
import {createGateway} from '../../Gateway.js';
import {
  clock,
  createFixedStore,
  createSettings,
  readinessPath,
} from '../unit/RunningGatewayFixtures.js';
import {testDialect} from '../unit/TestDialect.js';

const maxBodyBytes = 4 * 1024 * 1024;
const timeoutMs = 10_000;

const [upstreamPort, memoryLimitBytes, mode] = process.argv.slice(2);
const settings = await createSettings({
  memoryLimitBytes: Number(memoryLimitBytes),
});
const gateway = createGateway({
  settings,
  clock,
  logger: createLogger({
    format: 'json',
    level: settings.logLevel,
    instanceId: settings.instanceId,
    write: line => process.stderr.write(line),
  }),
  random: createProcessRandom(),
  dialect: testDialect,
  store: createFixedStore(
    Number(upstreamPort),
    {
      timeoutMs,
      targetLatencyMs: timeoutMs,
      streams: mode === 'streams',
    },
    {maxBodyBytes},
  ),
  readinessPath,
});
await gateway.start();
process.stdout.write(`${settings.callers.port}\n`);
