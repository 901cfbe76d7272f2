/**
 * A child process of a deployment. Signals are sent only to its own process id.
 */
import type {ChildProcess} from 'node:child_process';
import {spawn} from 'node:child_process';
import {createWriteStream} from 'node:fs';
import {createInterface} from 'node:readline';

/** Exit status of a process. */
export interface ProcessExit {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

export interface ProcessOptions {
  readonly name: string;
  /** JavaScript file that Node.js runs. */
  readonly script: string;
  readonly args: readonly string[];
  /** Receives standard output and standard error. */
  readonly logFile: string;
}

export interface ManagedProcess {
  readonly name: string;
  readonly pid: number;
  exit(): ProcessExit | undefined;
  /** Waits for a JSON line whose `msg` ends in "ready". */
  readyLine(timeoutMs: number): Promise<Readonly<Record<string, unknown>>>;
  signal(signal: NodeJS.Signals): void;
  /** Waits until the process exits; undefined on timeout. */
  waitForExit(timeoutMs: number): Promise<ProcessExit | undefined>;
}

export function startProcess(options: ProcessOptions): ManagedProcess {
  const child = spawn(process.execPath, [options.script, ...options.args], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const log = createWriteStream(options.logFile, {flags: 'a'});
  child.stdout.pipe(log, {end: false});
  child.stderr.pipe(log, {end: false});
  const ready = findReadyLine(child);
  let exit: ProcessExit | undefined;
  const exited = new Promise<ProcessExit>(resolve => {
    child.once('close', (code, signal) => {
      exit = {code, signal};
      log.end();
      resolve(exit);
    });
  });
  const pid = child.pid;
  if (pid === undefined) throw new Error(`${options.name} did not start`);

  return {
    name: options.name,
    pid,
    exit: () => exit,
    readyLine: timeoutMs =>
      withTimeout(
        Promise.race([
          ready,
          exited.then(() =>
            Promise.reject(
              new Error(`${options.name} exited early; see ${options.logFile}`),
            ),
          ),
        ]),
        timeoutMs,
      ).then(line => {
        if (line !== undefined) return line;
        throw new Error(`${options.name} was not ready within ${timeoutMs} ms`);
      }),
    signal: signal => {
      if (exit === undefined) child.kill(signal);
    },
    waitForExit: timeoutMs => withTimeout(exited, timeoutMs),
  };
}

function findReadyLine(
  child: ChildProcess,
): Promise<Readonly<Record<string, unknown>>> {
  return new Promise(resolve => {
    if (child.stdout === null) return;
    createInterface({input: child.stdout}).on('line', text => {
      const line = parseLine(text);
      if (String(line?.['msg']).endsWith('ready')) resolve(line ?? {});
    });
  });
}

function parseLine(text: string): Record<string, unknown> | undefined {
  if (!text.startsWith('{')) return undefined;
  try {
    return JSON.parse(text) as Record<string, unknown>;
  } catch {
    return undefined;
  }
}

/** Returns the value, or undefined on timeout. */
async function withTimeout<T>(
  value: Promise<T>,
  timeoutMs: number,
): Promise<T | undefined> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<undefined>(resolve => {
    timer = setTimeout(() => resolve(undefined), timeoutMs);
  });
  try {
    return await Promise.race([value, timeout]);
  } finally {
    clearTimeout(timer);
  }
}
