/**
 * Opens a listener and tries again while its address cannot be used. The holder
 * of an address may be a predecessor within its grace period, and an interface
 * may get its address late, so an instance waits rather than end. Errors that
 * do not pass by themselves end the start of an instance, if it is useless
 * without the listener.
 */
import type {Server} from 'node:net';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {Clock, Undo} from './Clock.js';
import {RouterError} from './Errors.js';

/** An address to listen on. */
export interface ListenTarget {
  readonly host: string;
  readonly port: number;
}

/** Fields of the log lines of a listener. */
export type ListenerFields = Readonly<
  Record<string, number | string | undefined>
>;

/** Receives the log lines of a listener. */
export interface ListenerLog {
  info(message: string, fields: ListenerFields): void;
  warn(message: string, fields: ListenerFields): void;
}

/** Options of a listener. */
export interface ListenerOptions {
  readonly clock: Clock;
  readonly log: ListenerLog;
  /** Whom the listener serves, for log lines and messages. */
  readonly purpose: string;
  readonly target: ListenTarget;
  /** Tries to open once; resolves with the port or rejects with the error. */
  readonly tryOpen: () => Promise<number>;
  /** Undoes `tryOpen`. */
  readonly undoOpen: () => void;
  /** Whether an error ends the attempts. */
  readonly isFinal: (error: ListenError) => boolean;
}

/** An error of a system call; `code` is the name of its number. */
export type ListenError = NodeJS.ErrnoException;

/** A listener that is opened once. */
export interface Listener {
  /**
   * Resolves with the port when the listener is open, and with an error when it
   * was closed before (`shutting_down`) or when an error is final.
   */
  open(): Promise<Result<number, RouterError>>;
  isOpen(): boolean;
  /** Ends the attempts, or undoes the open one. */
  close(): void;
}

/** Callers are turned away between two attempts, so this is short. */
const retryDelayMs = 100;
/** An address that stays in use is reported again after this time. */
const repeatLogAfterMs = 60_000;

/** Errors that may pass without a change of the settings. */
const passingCodes: ReadonlySet<string> = new Set([
  'EADDRINUSE',
  'EADDRNOTAVAIL',
  'EAGAIN',
  'EAI_AGAIN',
  'EMFILE',
  'ENETDOWN',
  'ENFILE',
  'ENOBUFS',
  'ENOMEM',
]);

/** Returns whether an error of listening does not pass by itself. */
export function isLastingListenError({code}: ListenError): boolean {
  return code === undefined || !passingCodes.has(code);
}

/** Creates a listener; nothing is opened. */
export function createListener(options: ListenerOptions): Listener {
  const {clock, log, purpose, target} = options;
  const address = `${target.host}:${target.port}`;
  let isOpen = false;
  let isClosed = false;
  let lastLogAtMs: number | undefined;
  let cancelRetry: Undo = () => undefined;
  let onClosed: () => void = () => undefined;

  function logFailure({code, message}: ListenError): void {
    const nowMs = clock.nowMs();
    if (lastLogAtMs !== undefined && nowMs - lastLogAtMs < repeatLogAfterMs) {
      return;
    }
    lastLogAtMs = nowMs;
    log.warn('listener cannot be opened', {
      purpose,
      address,
      code,
      error: message,
    });
  }

  function toRouterError(cause: ListenError): RouterError {
    const message = `cannot listen for ${purpose} on ${address}: ${cause.message}`;
    return new RouterError('settings_invalid', message, {cause});
  }

  async function attempt(
    done: (outcome: Result<number, RouterError>) => void,
  ): Promise<void> {
    try {
      const port = await options.tryOpen();
      if (isClosed) {
        options.undoOpen();
        return;
      }
      isOpen = true;
      log.info('listener opened', {
        purpose,
        address: `${target.host}:${port}`,
      });
      done(ok(port));
    } catch (cause) {
      if (isClosed) return;
      const error = cause as ListenError;
      logFailure(error);
      if (options.isFinal(error)) done(err(toRouterError(error)));
      else cancelRetry = clock.after(retryDelayMs, () => void attempt(done));
    }
  }

  return {
    open: () =>
      new Promise(resolve => {
        onClosed = () => {
          const message = `closed before it could listen for ${purpose}`;
          resolve(err(new RouterError('shutting_down', message)));
        };
        if (isClosed) onClosed();
        else void attempt(resolve);
      }),
    isOpen: () => isOpen,
    close: () => {
      if (isClosed) return;
      isClosed = true;
      cancelRetry();
      if (isOpen) options.undoOpen();
      isOpen = false;
      onClosed();
    },
  };
}

/**
 * Returns a function that logs errors of an open listener. They may come with
 * each connection, so only the first one of a time is logged.
 */
export function createOpenListenerErrorLog({
  clock,
  log,
  purpose,
  target,
}: Pick<ListenerOptions, 'clock' | 'log' | 'purpose' | 'target'>): (
  error: ListenError,
) => void {
  let lastLogAtMs: number | undefined;
  return ({code, message}) => {
    const nowMs = clock.nowMs();
    if (lastLogAtMs !== undefined && nowMs - lastLogAtMs < repeatLogAfterMs) {
      return;
    }
    lastLogAtMs = nowMs;
    log.warn('open listener failed; it stays open', {
      purpose,
      address: `${target.host}:${target.port}`,
      code,
      error: message,
    });
  };
}

/** Options of the listener of a server. */
export interface ServerListenerOptions extends Pick<
  ListenerOptions,
  'clock' | 'isFinal' | 'log' | 'purpose' | 'target'
> {
  readonly server: Server;
  /** Connections that may wait to be accepted; by default that of Node.js. */
  readonly backlog?: number;
}

/**
 * Creates a listener for a server. Errors of the server while it is open, such
 * as a connection that cannot be accepted for lack of descriptors, are logged:
 * without a handler each would end the process.
 */
export function createServerListener(options: ServerListenerOptions): Listener {
  const {backlog, server, target} = options;
  const logError = createOpenListenerErrorLog(options);
  const listener = createListener({
    ...options,
    tryOpen: () => listenOnce(server, {...target, backlog}),
    undoOpen: () => server.close(),
  });
  server.on('error', (error: ListenError) => {
    if (listener.isOpen()) logError(error);
  });
  return listener;
}

/** Tries to listen once; resolves with the port. */
export function listenOnce(
  server: Server,
  options: ListenTarget & {readonly backlog?: number | undefined},
): Promise<number> {
  return new Promise((resolve, reject) => {
    const onListening = () => {
      server.off('error', onError);
      const address = server.address();
      resolve(
        typeof address === 'object' && address !== null
          ? address.port
          : options.port,
      );
    };
    const onError = (error: Error) => {
      server.off('listening', onListening);
      reject(error);
    };
    server.once('listening', onListening);
    server.once('error', onError);
    server.listen(options);
  });
}
