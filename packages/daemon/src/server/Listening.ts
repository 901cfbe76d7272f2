/**
 * Opens the listeners of an instance and closes its HTTP servers.
 */
import type {Server} from 'node:http';
import type {
  Listener,
  ListenerOptions,
  ListenTarget,
  RouterError,
} from '@toucanrouter/common';
import {
  createListener,
  createServerListener,
  isLastingListenError,
} from '@toucanrouter/common';
import type {PeerHub} from '@toucanrouter/peer';
import type {Result, ResultAsync} from 'neverthrow';
import {ok} from 'neverthrow';
import type {InstanceOptions} from '../Instance.js';

/** Opens the listeners of one instance, until it is asked to stop. */
export interface Listening {
  /** Opens the listener of a server; resolves with the port. */
  openServer(
    server: Server,
    target: ListenTarget,
    purpose: string,
    backlog: number,
  ): Promise<Result<number, RouterError>>;
  /**
   * Opens the listener of a server without which callers are served; its attempts
   * go on until it is closed.
   */
  openOptional(
    server: Server,
    target: ListenTarget,
    purpose: string,
    backlog: number,
  ): Listener;
  /** Opens the listener for peers; resolves with the hub. */
  openHub(
    target: ListenTarget,
    createHub: () => ResultAsync<PeerHub, RouterError>,
  ): Promise<Result<PeerHub, RouterError>>;
}

/** Creates the opener of listeners; `stopSignal` ends its attempts. */
export function createListening(
  {clock, logger}: InstanceOptions,
  stopSignal: AbortSignal,
): Listening {
  const optionsFor = (purpose: string, target: ListenTarget) =>
    ({
      clock,
      log: logger,
      purpose,
      target,
      // An instance that lacks a required listener is useless.
      isFinal: isLastingListenError,
    }) satisfies Partial<ListenerOptions>;

  async function open(
    listener: Listener,
  ): Promise<Result<number, RouterError>> {
    const close = () => listener.close();
    stopSignal.addEventListener('abort', close);
    if (stopSignal.aborted) close();
    const outcome = await listener.open();
    // From here on the listener is closed with its server.
    stopSignal.removeEventListener('abort', close);
    return outcome;
  }

  return {
    openServer: (server, target, purpose, backlog) =>
      open(
        createServerListener({
          ...optionsFor(purpose, target),
          server,
          backlog,
        }),
      ),
    openOptional: (server, target, purpose, backlog) => {
      const listener = createServerListener({
        ...optionsFor(purpose, target),
        server,
        backlog,
        isFinal: () => false,
      });
      void listener.open();
      return listener;
    },
    openHub: async (target, createHub) => {
      let hub: PeerHub | undefined;
      const listener = createListener({
        ...optionsFor('peers', target),
        tryOpen: async () => {
          const created = await createHub();
          if (created.isErr()) throw created.error.cause as Error;
          hub = created.value;
          return hub.port;
        },
        undoOpen: () => hub?.close(),
      });
      const opened = await open(listener);
      return opened.andThen(() => ok(hub!));
    },
  };
}

/** Returns the port of a server; undefined if it does not listen. */
export function listeningPort(server: Server): number | undefined {
  const address = server.address();
  return typeof address === 'object' ? address?.port : undefined;
}

/** Stops accepting connections; resolves when all connections are closed. */
export function closeServer(server: Server): Promise<void> {
  return new Promise(resolve => {
    if (!server.listening) return resolve();
    server.close(() => resolve());
    server.closeIdleConnections();
  });
}
