/**
 * Runs modules as child processes that the parent calls over the IPC channel.
 * Their lifetime is limited, and the parent kills them by their process id.
 */
import type {ChildProcess} from 'node:child_process';
import {fork} from 'node:child_process';
import {extname} from 'node:path';
import {fileURLToPath} from 'node:url';

/** A child process exits by itself after this time. */
const maxLifetimeMs = 180_000;

const responseTimeoutMs = 60_000;

interface Call {
  readonly id: number;
  readonly method: string;
  readonly params: unknown;
}

interface CallResponse {
  readonly id: number;
  readonly result?: unknown;
  readonly error?: string;
}

/** Methods of a child process that its parent can call. */
export type ChildMethods = Readonly<
  Record<string, (params: never) => Promise<unknown> | unknown>
>;

/** A child process as its parent sees it. */
export interface MeasuredChild {
  call<Result>(method: string, params?: unknown): Promise<Result>;
  /** Kills the process and waits for its exit. */
  stop(): Promise<void>;
}

/** Starts the module `name` of this directory as a child process. */
export function startChild(name: string): MeasuredChild {
  const extension = extname(fileURLToPath(import.meta.url));
  const script = new URL(`./${name}${extension}`, import.meta.url);
  const child = fork(fileURLToPath(script), []);
  const pendingCalls = new Map<number, (response: CallResponse) => void>();
  let lastId = 0;
  child.on('message', (answer: CallResponse) =>
    pendingCalls.get(answer.id)?.(answer),
  );
  child.on('exit', () => {
    const error = `${name} ended`;
    for (const [id, settle] of [...pendingCalls]) settle({id, error});
  });
  return {
    call: (method, params) =>
      new Promise((resolve, reject) => {
        const id = ++lastId;
        const complete = (answer: CallResponse): void => {
          clearTimeout(timer);
          pendingCalls.delete(id);
          if (answer.error === undefined) resolve(answer.result as never);
          else reject(new Error(`${name}.${method}: ${answer.error}`));
        };
        const timer = setTimeout(
          () =>
            complete({id, error: `no response within ${responseTimeoutMs} ms`}),
          responseTimeoutMs,
        );
        pendingCalls.set(id, complete);
        child.send({id, method, params} satisfies Call);
      }),
    stop: () => stopChild(child),
  };
}

function stopChild(child: ChildProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) {
    return Promise.resolve();
  }
  return new Promise(resolve => {
    child.once('exit', () => resolve());
    child.kill('SIGKILL');
  });
}

/** Serves calls of the parent; exits when the parent disconnects. */
export function serveParentCalls(methods: ChildMethods): void {
  process.on('message', (call: Call) => void handleCall(methods, call));
  process.on('disconnect', () => process.exit(0));
  setTimeout(() => process.exit(1), maxLifetimeMs).unref();
}

async function handleCall(methods: ChildMethods, call: Call): Promise<void> {
  const {id, method, params} = call;
  try {
    const run = methods[method];
    if (run === undefined)
      throw new Error(`${method} is not a method of this process`);
    const result = await run(params as never);
    process.send?.({id, result} satisfies CallResponse);
  } catch (error) {
    process.send?.({id, error: String(error)} satisfies CallResponse);
  }
}
