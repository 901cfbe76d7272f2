/**
 * Runs a gateway in a process of its own, with the heap of the users' platform
 * and a memory limit, in front of one upstream.
 */
import type {ChildProcess} from 'node:child_process';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {readdirSync, readFileSync} from 'node:fs';
import type {Server} from 'node:http';
import {createServer, request} from 'node:http';
import {join} from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {build} from 'esbuild';

const program = fileURLToPath(new URL('LimitedGateway.ts', import.meta.url));
const deployFile = fileURLToPath(
  new URL('../../../../../deploy/system.toml', import.meta.url),
);
const compilerOptions = ['--import=tsx', '--conditions=source'];
/** Heap of the users' platform. */
const defaultMaxHeapMib = 120;
/** Dependencies that are CommonJS modules require modules of Node.js. */
const requireBanner = [
  'import {createRequire as createBundleRequire} from "node:module";',
  'const require = createBundleRequire(import.meta.url);',
].join(' ');
const startTimeMs = 500;
const callTimeoutMs = 9_000;
const host = '127.0.0.1';
const bytesPerKilobyte = 1024;

export const memoryLimitBytes = 350_000_000;

/** A running gateway process. */
export interface LimitedGateway {
  readonly port: number;
  readonly pid: number;
  /** The largest resident memory until now. */
  peakBytes(): number;
  /** Descriptors that are open now. */
  openDescriptors(): number;
  isRunning(): boolean;
}

/** Options of a gateway process. */
export interface LimitedGatewayOptions {
  readonly mode?: 'responses' | 'streams';
  readonly limitBytes?: number;
  /** Limit of the operating system; by default that of the test. */
  readonly maxDescriptors?: number;
  readonly maxHeapMib?: number;
  /** The gateway as one bundled file; by default it is compiled at its start. */
  readonly bundleFile?: string;
}

/** Options of the runtime in the deploy file, with a heap of another size. */
function deployedOptions(maxHeapMib: number): readonly string[] {
  const [, options = ''] =
    /^run = "node (.*) \S+"$/m.exec(readFileSync(deployFile, 'utf8')) ?? [];
  return options.replace(/(?<=old-space-size=)\d+/, `${maxHeapMib}`).split(' ');
}

function peakBytesOf({pid}: ChildProcess): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const [, kilobytes] = /^VmHWM:\s+(\d+) kB$/m.exec(status) ?? [];
  return Number(kilobytes) * bytesPerKilobyte;
}

/** Runs `use` with a gateway in front of the upstream at a port. */
export async function withLimitedGateway(
  upstreamPort: number,
  use: (gateway: LimitedGateway) => Promise<void>,
  {
    mode = 'responses',
    limitBytes = memoryLimitBytes,
    maxDescriptors,
    maxHeapMib = defaultMaxHeapMib,
    bundleFile,
  }: LimitedGatewayOptions = {},
): Promise<void> {
  const lowerLimit =
    maxDescriptors === undefined ? '' : `ulimit -n ${maxDescriptors}; `;
  const child = spawn(
    'sh',
    [
      '-c',
      `${lowerLimit}exec "$0" "$@"`,
      process.execPath,
      ...deployedOptions(maxHeapMib),
      ...(bundleFile === undefined
        ? [...compilerOptions, program]
        : [bundleFile]),
      `${upstreamPort}`,
      `${limitBytes}`,
      mode,
    ],
    {stdio: ['ignore', 'pipe', 'inherit']},
  );
  try {
    const [line] = (await once(child.stdout, 'data')) as [Buffer];
    await sleep(startTimeMs);
    await use({
      port: Number(line),
      pid: child.pid ?? 0,
      peakBytes: () => peakBytesOf(child),
      openDescriptors: () => readdirSync(`/proc/${child.pid}/fd`).length,
      isRunning: () => child.exitCode === null && child.signalCode === null,
    });
  } finally {
    child.kill('SIGKILL');
  }
}

/**
 * Bundles the gateway process, which takes less memory than one that is compiled
 * at its start; returns the file.
 */
export async function bundleLimitedGateway(directory: string): Promise<string> {
  const outfile = join(directory, 'LimitedGateway.mjs');
  await build({
    entryPoints: [program],
    outfile,
    bundle: true,
    platform: 'node',
    format: 'esm',
    conditions: ['source'],
    banner: {js: requireBanner},
    logLevel: 'warning',
  });
  return outfile;
}

/** Starts an upstream that answers each request as soon as its head is read. */
export async function startUpstream(): Promise<Server> {
  const server = createServer((message, response) => {
    message.resume();
    response.writeHead(200, {id: String(message.headers['id']), mark: 'm'});
    response.end('whole');
  });
  server.listen(0, host);
  await once(server, 'listening');
  return server;
}

/** Sends one request; returns the status, or undefined without a response. */
export function call(port: number, id: string): Promise<number | undefined> {
  return new Promise(resolve => {
    const sent = request(
      {
        host,
        port,
        path: '/chat/x',
        headers: {id},
        agent: false,
        timeout: callTimeoutMs,
      },
      response => {
        response.on('error', () => undefined);
        response.resume();
        resolve(response.statusCode);
      },
    );
    sent.on('timeout', () => sent.destroy());
    sent.on('error', () => resolve(undefined));
    sent.end();
  });
}
