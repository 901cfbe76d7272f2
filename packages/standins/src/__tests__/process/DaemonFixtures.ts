/**
 * Fixtures of the tests that run one daemon process: its settings, its log and
 * how it ended.
 */
import {spawn} from 'node:child_process';
import {
  cpSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import type {Server} from 'node:net';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {findFreePorts} from '../../deployment/FreePorts.js';
import type {PlatformStandIn} from '../../store/PlatformStandIn.js';
import {createPlatformStandIn} from '../../store/PlatformStandIn.js';

const root = fileURLToPath(new URL('../../../../../', import.meta.url));
const program = join(root, 'packages/daemon/src/bin/toucanrouterd.ts');
/** Needs `npm run build`. */
const builtProgram = join(root, 'packages/daemon/dist/bin/toucanrouterd.js');
const nodeOptions = ['--import=tsx', '--conditions=source'];
const host = '127.0.0.1';
const pollMs = 25;
/** A stop completes within this time. */
export const stopGraceMs = 4_000;
const bytesPerKilobyte = 1024;
/** Far above the time that a process needs, also on a busy machine. */
const waitLimitMs = 20_000;

/** Ports of a daemon, by the key of its settings. */
export interface DaemonSettingsPorts {
  readonly callers: number;
  readonly admin: number;
  readonly peers: number;
}

/** The memory that a daemon process may occupy. */
export interface DaemonMemoryLimit {
  readonly limitBytes: number;
  readonly maxHeapMib: number;
  /** Limit of the operating system; by default that of the test. */
  readonly maxDescriptors?: number;
  /**
   * Whether the process runs the compiled program, which takes less memory than
   * one that is compiled at its start.
   */
  readonly isBuilt?: boolean;
}

/** A daemon process and its platform. */
export interface DaemonProcess {
  readonly pid: number;
  readonly platform: PlatformStandIn;
  readonly ports: DaemonSettingsPorts;
  output(): string;
  /** Status and text of `/readyz`; undefined if it does not answer. */
  readiness(): Promise<string | undefined>;
  /** The largest resident memory until now. */
  peakResidentBytes(): number;
  signal(signal: NodeJS.Signals): void;
  /** Closes the pipes that the log is written to. */
  closeOutput(): void;
  /** The exit code or the signal that ended it; undefined while it runs. */
  endedBy(): number | string | undefined;
  close(): Promise<void>;
}

/** Takes a port as another process does. */
export async function takePort(port: number): Promise<Server> {
  const server = createServer(socket => socket.destroy());
  await new Promise<void>(resolve => server.listen(port, host, resolve));
  return server;
}

export function releasePort(server: Server): Promise<void> {
  return new Promise(resolve => server.close(() => resolve()));
}

/** Polls until the condition holds; returns whether it did in time. */
export async function waitUntil(
  isMet: () => Promise<boolean> | boolean,
): Promise<boolean> {
  const endMs = performance.now() + waitLimitMs;
  while (performance.now() < endMs) {
    if (await isMet()) return true;
    await sleep(pollMs);
  }
  return false;
}

export async function findDaemonPorts(): Promise<DaemonSettingsPorts> {
  const [callers = 0, admin = 0, peers = 0] = await findFreePorts(3);
  return {callers, admin, peers};
}

/** Starts a daemon; without a platform its configuration stays unknown. */
export async function startDaemonProcess(
  ports: DaemonSettingsPorts,
  hasPlatform = true,
  memoryLimit?: DaemonMemoryLimit,
): Promise<DaemonProcess> {
  const platform = await createPlatformStandIn();
  if (!hasPlatform) platform.setSwitches({outage: true});
  const directory = mkdtempSync(join(tmpdir(), 'toucanrouter-daemon-'));
  cpSync(join(root, 'samples'), directory, {recursive: true});
  const settingsFile = join(directory, 'ports.ini');
  writeFileSync(
    settingsFile,
    `[instance]
id = router-1
region = a
failure_domain = a
stop_grace = ${stopGraceMs}ms
[listen]
callers = ${host}:${ports.callers}
admin = ${host}:${ports.admin}
peers = ${host}:${ports.peers}
[platform]
key_value = ${platform.keyValueAddress}
instance_list = ${platform.instanceListUrl}
[admin]
reader_token_file = tokens/reader
writer_token_file = tokens/writer
${memoryLimit === undefined ? '' : `[limits]\nmemory = ${memoryLimit.limitBytes}B\n`}`,
  );
  const heapOptions =
    memoryLimit === undefined
      ? []
      : [`--max-old-space-size=${memoryLimit.maxHeapMib}`];
  const programArgs =
    memoryLimit?.isBuilt === true ? [builtProgram] : [...nodeOptions, program];
  const maxDescriptors = memoryLimit?.maxDescriptors;
  const lowerLimit =
    maxDescriptors === undefined ? '' : `ulimit -n ${maxDescriptors}; `;
  const child = spawn(
    'sh',
    [
      '-c',
      `${lowerLimit}exec "$0" "$@"`,
      process.execPath,
      ...heapOptions,
      ...programArgs,
      '--settings',
      settingsFile,
    ],
    {stdio: ['ignore', 'pipe', 'pipe'], cwd: root},
  );
  let output = '';
  let endedBy: number | string | undefined;
  child.stdout.on('data', chunk => (output += String(chunk)));
  child.stderr.on('data', chunk => (output += String(chunk)));
  child.once('exit', (code, signal) => {
    endedBy = signal ?? code ?? undefined;
  });
  return {
    pid: child.pid ?? 0,
    ports,
    platform,
    output: () => output,
    readiness: async () => {
      try {
        const response = await fetch(`http://${host}:${ports.admin}/readyz`);
        return `${response.status} ${await response.text()}`;
      } catch {
        return undefined;
      }
    },
    peakResidentBytes: () => {
      const status = readFileSync(`/proc/${child.pid}/status`, 'utf8');
      const [, kilobytes] = /^VmHWM:\s+(\d+) kB$/m.exec(status) ?? [];
      return Number(kilobytes) * bytesPerKilobyte;
    },
    signal: signal => child.kill(signal),
    closeOutput: () => {
      child.stdout.destroy();
      child.stderr.destroy();
    },
    endedBy: () => endedBy,
    close: async () => {
      child.kill('SIGKILL');
      await platform.close();
      rmSync(directory, {recursive: true});
    },
  };
}
