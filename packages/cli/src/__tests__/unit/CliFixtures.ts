/**
 * Runs the command-line tool as a process against an administration API with
 * fake dependencies.
 */
import {execFile} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import type {AddressInfo} from 'node:net';
import os from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import type {HttpBindings} from '@hono/node-server';
import {serve} from '@hono/node-server';
import type {AdminDependencies} from '@toucanrouter/daemon';
import {createAdminApp} from '@toucanrouter/daemon';
import type {FakeInstance} from '../../../../daemon/src/__tests__/unit/admin/AdminFixtures.js';
import {createFakeInstance} from '../../../../daemon/src/__tests__/unit/admin/AdminFixtures.js';

/** Path of the source of the command-line tool. */
export const toucanctlBin = fileURLToPath(
  new URL('../../bin/toucanctl.ts', import.meta.url),
);

type FetchCallback = Parameters<typeof serve>[0]['fetch'];

/** Exit code and output of a process. */
export interface CommandResult {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

/** A running administration API and a temporary directory. */
export interface CliFixture {
  readonly fake: FakeInstance;
  readonly address: string;
  /** Runs the tool with the writer token; `env` overrides its environment. */
  run(
    args: readonly string[],
    env?: Readonly<Record<string, string>>,
  ): Promise<CommandResult>;
  /** Writes a file and returns its path. */
  write(name: string, text: string): string;
  close(): Promise<void>;
}

/** Starts the API on loopback; the first `lostResponses` responses are lost. */
export async function createCliFixture(
  overrides: Partial<AdminDependencies> = {},
  lostResponses = 0,
): Promise<CliFixture> {
  const fake = createFakeInstance(overrides);
  const app = createAdminApp(fake.dependencies);
  let requestCount = 0;
  const fetch = async (request: Request, env: HttpBindings) => {
    const response = await app.fetch(request);
    if (requestCount++ < lostResponses) env.outgoing.destroy();
    return response;
  };
  const directory = mkdtempSync(path.join(os.tmpdir(), 'toucanctl-'));
  const server = serve({
    fetch: fetch as FetchCallback,
    hostname: '127.0.0.1',
    port: 0,
  });
  await new Promise<void>(resolve => server.once('listening', resolve));
  const address = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  const baseEnv = {
    PATH: process.env['PATH'] ?? '',
    HOME: directory,
    TOUCANROUTER_ADDRESS: address,
    TOUCANROUTER_TOKEN_FILE: fake.dependencies.writerTokenFile,
    TOUCANROUTER_AUTHOR: 'eva',
  };
  return {
    fake,
    address,
    run: (args, env = {}) =>
      runProgram(toucanctlBin, args, {env: {...baseEnv, ...env}}),
    write: (name, text) => {
      const file = path.join(directory, name);
      writeFileSync(file, text);
      return file;
    },
    close: async () => {
      await new Promise(resolve => server.close(resolve));
      rmSync(directory, {recursive: true});
      fake.close();
    },
  };
}

/** Runs a program of this repository from its TypeScript source. */
export function runProgram(
  bin: string,
  args: readonly string[],
  options: {
    readonly env: Readonly<Record<string, string>>;
    readonly cwd?: string;
  },
): Promise<CommandResult> {
  const tsx = import.meta.resolve('tsx');
  const command = [`--import=${tsx}`, '--conditions=source', bin, ...args];
  return new Promise(resolve => {
    const child = execFile(
      process.execPath,
      command,
      options,
      (_error, stdout, stderr) =>
        resolve({code: child.exitCode ?? -1, stdout, stderr}),
    );
  });
}
