/**
 * The instances of a soak: real processes, started with the command and the
 * template of the deploy file, and started again when they have ended.
 */
import {
  clearInterval,
  clearTimeout,
  setInterval,
  setTimeout,
} from 'node:timers';
import {spawn} from 'node:child_process';
import {createWriteStream, readFileSync, writeFileSync} from 'node:fs';
import {get} from 'node:http';
import {join} from 'node:path';
import process from 'node:process';
import {bounds, root} from '../../review/router.js';

const restartDelayMs = 500;
const readinessPollMs = 50;
const memoryPollMs = 50;
const bytesPerMb = 1024 * 1024;
/** Limits of the smallest machine that the deployment consists of. */
export const limits = {memory_mb: 350, file_descriptors: 4_100};
export const gracePeriodMs = bounds.grace_s * 1_000;

function fillTemplate(template, values) {
  const valueOf = path =>
    String(
      path.split('.').reduce((value, name) => value?.[name], values) ?? '',
    );
  return template
    .replace(/\{\{#([\w.]+)\}\}([^]*?)\{\{\/\1\}\}/g, (_, path, section) =>
      valueOf(path) === '' ? '' : section,
    )
    .replace(/\{\{([\w.]+)\}\}/g, (_, path) => valueOf(path));
}

function readDeployFile() {
  const deploy = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
  const valueOf = key => new RegExp(`^${key} = "(.*)"$`, 'm').exec(deploy)[1];
  return {
    command: valueOf('run').split(' '),
    template: readFileSync(join(root, valueOf('template')), 'utf8'),
  };
}

/** Returns the largest memory that a process has had, in bytes. */
function peakResidentBytes(pid) {
  try {
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    return Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0) * 1024;
  } catch {
    // The process has ended.
    return 0;
  }
}

function isReady({host, ports}) {
  return new Promise(resolve => {
    const call = get(
      {
        host,
        port: ports.readiness,
        path: '/readiness',
        timeout: 1_000,
        agent: false,
      },
      response => {
        response.resume();
        resolve(response.statusCode === 200);
      },
    );
    call.on('timeout', () => call.destroy());
    call.on('error', () => resolve(false));
  });
}

/**
 * Creates the instances without starting them. `onViolation` is called for each
 * process that ends by itself, stops too late or exceeds its memory, `onRestart`
 * for each that replaces one that has ended.
 */
export function createFleet({
  count,
  directory,
  storeAddress,
  nowMs,
  subnet,
  basePort,
  cpus,
  duties = {},
  onViolation,
  onRestart = () => undefined,
}) {
  const {command, template} = readDeployFile();
  const ports = {
    callers: basePort,
    readiness: basePort + 1,
    peers: basePort + 2,
  };
  let closing = false;

  function settingsOf(instance) {
    return fillTemplate(template, {
      node_name: instance.name,
      zone: `zone-${'abcd'[instance.index % 4]}`,
      ip_address: instance.host,
      internal_port_range: [ports.peers],
      listen_addresses: {
        front: `${instance.host}:${ports.callers}`,
        ready: `${instance.host}:${ports.readiness}`,
      },
      platform: {address: storeAddress},
      cloud_api: duties.api,
      bounds: {...bounds, ...duties.bounds},
      limits,
    });
  }

  function startProcess(instance) {
    writeFileSync(instance.settingsFile, settingsOf(instance));
    const pinned = cpus === undefined ? [] : ['taskset', '-c', cpus];
    const [program, ...args] = [...pinned, ...command];
    const child = spawn(program === 'node' ? process.execPath : program, args, {
      cwd: root,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        TOUCANROUTER_SETTINGS: instance.settingsFile,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const life = {child, startedAtMs: nowMs(), peakBytes: 0, hasEnded: false};
    instance.lives.push(life);
    for (const stream of [child.stdout, child.stderr]) {
      stream.pipe(instance.log, {end: false});
    }
    const poll = setInterval(() => {
      life.peakBytes = Math.max(life.peakBytes, peakResidentBytes(child.pid));
    }, memoryPollMs);
    child.once('exit', (code, signal) => {
      clearInterval(poll);
      life.hasEnded = true;
      life.endedAtMs = nowMs();
      life.endedBy = signal ?? code;
      checkEnd(instance, life);
      if (!closing) {
        setTimeout(() => {
          if (closing) return;
          startProcess(instance);
          onRestart(instance.lives.at(-1));
        }, restartDelayMs);
      }
    });
    void watchReadiness(instance, life);
  }

  async function watchReadiness(instance, life) {
    while (!life.hasEnded && life.readyAtMs === undefined) {
      if (await isReady({host: instance.host, ports})) {
        life.readyAtMs = nowMs();
        return;
      }
      await new Promise(resolve => setTimeout(resolve, readinessPollMs));
    }
  }

  function checkEnd({name}, life) {
    const where = `${name}, started at ${Math.round(life.startedAtMs)} ms`;
    const peakMb = Math.round(life.peakBytes / bytesPerMb);
    if (peakMb > limits.memory_mb) {
      onViolation(
        `${where}: memory of ${peakMb} MB, limit ${limits.memory_mb}`,
      );
    }
    if (closing || life.killedAtMs !== undefined) return;
    if (life.stoppedAtMs === undefined || life.endedBy !== 0) {
      onViolation(`${where}: ended with ${life.endedBy}`);
      return;
    }
    const tookMs = Math.round(life.endedAtMs - life.stoppedAtMs);
    life.stopTookMs = tookMs;
    if (tookMs > gracePeriodMs) {
      onViolation(`${where}: the stop took ${tookMs} ms of ${gracePeriodMs}`);
    }
  }

  const instances = Array.from({length: count}, (_, index) => ({
    index,
    name: `router-${index}`,
    host: `${subnet}.${index + 1}`,
    ports,
    settingsFile: join(directory, `router-${index}.ini`),
    logFile: join(directory, `router-${index}.log`),
    log: createWriteStream(join(directory, `router-${index}.log`)),
    lives: [],
    freezes: [],
  }));

  return {
    instances,
    start: () => instances.forEach(startProcess),
    settingsOf,
    /** The process that runs now. */
    lifeOf: instance => instance.lives.at(-1),
    /** True while the process runs and nothing asked it to end. */
    isUndisturbed: life =>
      !life.hasEnded &&
      life.readyAtMs !== undefined &&
      life.stoppedAtMs === undefined &&
      life.killedAtMs === undefined,
    signal: (life, name) => life.child.kill(name),
    /** Asks for a planned stop; the platform kills after the grace period. */
    stop: life => {
      life.stoppedAtMs = nowMs();
      life.child.kill('SIGTERM');
      const timer = setTimeout(() => {
        if (life.hasEnded) return;
        life.killedAtMs = nowMs();
        onViolation(
          `process ${life.child.pid}: still runs after its grace period`,
        );
        life.child.kill('SIGKILL');
      }, gracePeriodMs);
      life.child.once('exit', () => clearTimeout(timer));
    },
    kill: life => {
      life.killedAtMs = nowMs();
      life.child.kill('SIGKILL');
    },
    freeze: async (instance, life, forMs) => {
      const freeze = {fromMs: nowMs(), toMs: Infinity};
      instance.freezes.push(freeze);
      life.child.kill('SIGSTOP');
      await new Promise(resolve => setTimeout(resolve, forMs));
      life.child.kill('SIGCONT');
      freeze.toMs = nowMs();
    },
    close: () => {
      closing = true;
      for (const instance of instances) {
        const life = instance.lives.at(-1);
        if (life !== undefined && !life.hasEnded) life.child.kill('SIGKILL');
        instance.log.end();
      }
    },
  };
}
