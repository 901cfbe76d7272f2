/**
 * Starts the project's program with the command of the deploy file and the
 * settings of its template.
 */
import process from 'node:process';
import {setTimeout} from 'node:timers';
import {spawn} from 'node:child_process';
import {createWriteStream, readFileSync, writeFileSync} from 'node:fs';
import {get} from 'node:http';
import {createServer} from 'node:net';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

/** The root of the repository. */
export const root = join(dirname(fileURLToPath(import.meta.url)), '..');

/** Figures of the users' small deployments. */
export const bounds = {
  drain_ms: 2000,
  grace_s: 8,
  config_apply_ms: 2000,
  revocation_ms: 5000,
  retry_budget_ratio: 0.2,
  budget_window_s: 10,
  retry_budget_slack: 56,
};

const metricsPort = 9464;

/** Resolves after a time. */
export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

function isFree(host, port) {
  return new Promise(resolve => {
    const probe = createServer();
    probe.once('error', () => resolve(false));
    probe.listen(port, host, () => probe.close(() => resolve(true)));
  });
}

/**
 * The port for metrics is fixed, so each instance gets a loopback address on
 * which it is free.
 */
async function freeHost() {
  for (let last = 1; last < 200; last += 1) {
    const host = `127.0.0.${last}`;
    if (await isFree(host, metricsPort)) return host;
  }
  throw new Error('no loopback address with a free port for metrics');
}

function freePort(host) {
  return new Promise((resolve, reject) => {
    const probe = createServer();
    probe.once('error', reject);
    probe.listen(0, host, () => {
      const {port} = probe.address();
      probe.close(() => resolve(port));
    });
  });
}

function fill(template, values) {
  return template.replace(/\{\{([\w.]+)\}\}/g, (_, path) =>
    String(path.split('.').reduce((value, name) => value?.[name], values)),
  );
}

/** Returns the status of a readiness check; 0 if there was no response. */
export function readiness({host, port}, timeoutMs = 1000) {
  return new Promise(resolve => {
    const call = get(
      {host, port, path: '/readiness', timeout: timeoutMs, agent: false},
      response => {
        response.resume();
        resolve(response.statusCode ?? 0);
      },
    );
    call.on('timeout', () => call.destroy());
    call.on('error', () => resolve(0));
  });
}

/** Reads the memory that a process occupies, in bytes; 0 if it has ended. */
export function residentBytes(pid) {
  try {
    const [, pages] = readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ');
    return Number(pages) * 4096;
  } catch {
    // The process has ended.
    return 0;
  }
}

/** Starts an instance and waits until it is ready. */
export async function startRouter({directory, name, zone, storeAddress}) {
  const deploy = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
  const run = /^run = "(.*)"$/m.exec(deploy)[1].split(' ');
  const template = /^template = "(.*)"$/m.exec(deploy)[1];
  const host = await freeHost();
  const [front, ready, internal] = [
    await freePort(host),
    await freePort(host),
    await freePort(host),
  ];
  const settingsFile = join(directory, `${name}.ini`);
  const settings = fill(readFileSync(join(root, template), 'utf8'), {
    node_name: name,
    zone,
    ip_address: host,
    internal_port_range: [internal],
    listen_addresses: {front: `${host}:${front}`, ready: `${host}:${ready}`},
    platform: {address: storeAddress},
    bounds,
  });
  writeFileSync(settingsFile, settings);
  const log = createWriteStream(join(directory, `${name}.log`));
  const child = spawn(
    run[0] === 'node' ? process.execPath : run[0],
    run.slice(1),
    {
      cwd: root,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        TOUCANROUTER_SETTINGS: settingsFile,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    },
  );
  child.stdout.pipe(log);
  child.stderr.pipe(log);
  const router = {
    host,
    front,
    child,
    ended: false,
    ready: () => readiness({host, port: ready}),
    stop: () => {
      if (!router.ended) child.kill('SIGKILL');
    },
  };
  child.once('exit', (code, signal) => {
    router.ended = true;
    router.exit = signal ?? code;
  });
  for (let tries = 0; tries < 100; tries += 1) {
    if (router.ended) break;
    if ((await router.ready()) === statusReady) return router;
    await sleep(100);
  }
  router.stop();
  throw new Error(`${name} did not become ready`);
}

const statusReady = 200;
