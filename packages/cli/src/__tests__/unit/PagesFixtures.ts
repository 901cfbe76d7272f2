/**
 * Runs the examples in docs/ against one instance with stand-ins for the
 * platform, an engine and the plain services.
 */
import {
  cpSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import type {FleetStatus} from '@toucanrouter/common';
import {createSystemClock, toInstanceId} from '@toucanrouter/common';
import {parseInstanceSettings} from '@toucanrouter/settings';
import {
  createEngineStandIn,
  createPlatformStandIn,
  createServiceStandIn,
} from '@toucanrouter/standins';
import {fetch} from 'undici';
import {startDaemon} from '../../../../daemon/src/Daemon.js';
import {createLogger} from '@toucanrouter/logging';
import type {CommandResult} from './CliFixtures.js';
import {runProgram, toucanctlBin} from './CliFixtures.js';

const root = fileURLToPath(new URL('../../../../../', import.meta.url));
const programs: Readonly<Record<string, string>> = {
  toucanctl: toucanctlBin,
  toucanrouterd: path.join(root, 'packages/daemon/src/bin/toucanrouterd.ts'),
};

const region = 'zilina';
const readyTimeoutMs = 10_000;
const pollMs = 50;

/** Reads a page or a sample. */
export function readRepositoryFile(name: string): string {
  return readFileSync(path.join(root, name), 'utf8');
}

/** A fenced block of a page. */
export interface PageBlock {
  readonly language: string;
  /** Words after the language, such as the expected status. */
  readonly info: readonly string[];
  readonly text: string;
}

/** Returns the fenced blocks of a page, without their indentation. */
export function readBlocks(page: string): readonly PageBlock[] {
  const pattern = /^( *)```(\S+)([^\n]*)\n([\s\S]*?)^ *```$/gm;
  return [...readRepositoryFile(page).matchAll(pattern)].map(match => {
    const [, indent = '', language = '', info = '', text = ''] = match;
    return {
      language,
      info: info.split(' ').filter(word => word !== ''),
      text: text.replaceAll(new RegExp(`^${indent}`, 'gm'), ''),
    };
  });
}

/** Returns the rows of the table whose first heading is `heading`. */
export function readTable(
  page: string,
  heading: string,
): readonly (readonly string[])[] {
  const lines = readRepositoryFile(page).split('\n');
  const start = lines.findIndex(line => line.startsWith(`| ${heading} |`));
  const rows = lines.slice(start + 2);
  const end = rows.findIndex(line => !line.startsWith('|'));
  return rows.slice(0, end).map(line =>
    line
      .split('|')
      .slice(1, -1)
      .map(cell => cell.trim().replaceAll('`', '')),
  );
}

/** The response to an HTTP example. */
export interface ExampleResponse {
  readonly status: number;
  readonly text: string;
}

/** A running instance with its stand-ins. */
export interface PagesFixture {
  /** Runs a `$` line, which may redirect stdout to a file. */
  runCommand(line: string): Promise<CommandResult>;
  /** Sends an HTTP example to the API that its path belongs to. */
  sendRequest(text: string): Promise<ExampleResponse>;
  /** Starts or ends an outage of the key-value service. */
  setOutage(outage: boolean): void;
  close(): Promise<void>;
}

/** Starts an instance without a configuration in force. */
export async function createPagesFixture(): Promise<PagesFixture> {
  const directory = mkdtempSync(path.join(os.tmpdir(), 'pages-'));
  cpSync(path.join(root, 'samples'), directory, {recursive: true});
  const platform = await createPlatformStandIn();
  const common = {listUrl: platform.instanceListUrl, region};
  const upstreams = [
    await createEngineStandIn({
      ...common,
      id: 'engine-1',
      model: 'kilt-advisor',
      profile: {tokenGapMs: 1},
    }),
    await createServiceStandIn({...common, id: 'o-1', service: 'ordering'}),
    await createServiceStandIn({...common, id: 'p-1', service: 'profiles'}),
  ];
  const daemon = await startSampleInstance(directory, platform);
  const {adminPort, callersPort} = daemon.ports;
  const adminUrl = `http://127.0.0.1:${adminPort}`;
  await waitForUpstreams(adminUrl, upstreams.length);
  const env = {
    PATH: process.env['PATH'] ?? '',
    HOME: directory,
    TOUCANROUTER_ADDRESS: adminUrl,
    TOUCANROUTER_TOKEN_FILE: path.join(directory, 'tokens/writer'),
  };
  return {
    runCommand: line => runCommand(line, {cwd: directory, env}),
    sendRequest: text =>
      sendRequest(text, adminUrl, `http://127.0.0.1:${callersPort}`),
    setOutage: outage => platform.setSwitches({outage}),
    close: async () => {
      await daemon.close();
      await Promise.all(upstreams.map(upstream => upstream.close()));
      await platform.close();
      rmSync(directory, {recursive: true});
    },
  };
}

async function startSampleInstance(
  directory: string,
  platform: {
    readonly keyValueAddress: string;
    readonly instanceListUrl: string;
  },
) {
  const file = path.join(directory, 'instance.ini');
  const text = readFileSync(file, 'utf8');
  const listen = {host: '127.0.0.1', port: 0};
  const settings = {
    ...parseInstanceSettings(text, file)._unsafeUnwrap(),
    callers: listen,
    admin: listen,
    peers: listen,
    keyValueAddress: platform.keyValueAddress,
    instanceListUrl: platform.instanceListUrl,
    instanceListPollMs: pollMs,
  };
  const logger = createLogger({
    format: 'json',
    level: 'error',
    instanceId: toInstanceId('router-1'),
  });
  const clock = createSystemClock();
  return (await startDaemon({settings, clock, logger}))._unsafeUnwrap();
}

async function waitForUpstreams(
  adminUrl: string,
  count: number,
): Promise<void> {
  const headers = {authorization: 'Bearer sample-reader-token'};
  const deadlineMs = performance.now() + readyTimeoutMs;
  while (performance.now() < deadlineMs) {
    const response = await fetch(`${adminUrl}/admin/v1/status`, {headers});
    const {upstreams} = (await response.json()) as FleetStatus;
    if (upstreams.length >= count) return;
    await sleep(pollMs);
  }
  throw new Error(
    `fewer than ${count} upstreams were listed before the timeout`,
  );
}

async function runCommand(
  line: string,
  options: {
    readonly env: Readonly<Record<string, string>>;
    readonly cwd: string;
  },
): Promise<CommandResult> {
  const [command = '', target] = line.split(' > ');
  const [program = '', ...args] = command.split(' ');
  const bin = programs[program];
  if (bin === undefined) throw new Error(`unknown program "${program}"`);
  const run = await runProgram(bin, args, options);
  if (target !== undefined) {
    writeFileSync(path.join(options.cwd, target), run.stdout);
  }
  return run;
}

async function sendRequest(
  text: string,
  adminUrl: string,
  callersUrl: string,
): Promise<ExampleResponse> {
  const [head = '', body = ''] = text.split('\n\n');
  const [requestLine = '', ...headerLines] = head.trim().split('\n');
  const [method = '', target = ''] = requestLine.split(' ');
  const base = target.startsWith('/admin/') ? adminUrl : callersUrl;
  const response = await fetch(`${base}${target}`, {
    method,
    headers: headerLines.map(line => line.split(': ') as [string, string]),
    body: body.trim() === '' ? null : body.trim(),
  });
  return {status: response.status, text: await response.text()};
}
