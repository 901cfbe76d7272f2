/**
 * Connections that the operating system has established and that a server has
 * not accepted yet. The server accepts about one in each turn of the event loop,
 * so they queue while a process is busy, and closing the listener resets them.
 * As long as callers connect sooner than a process accepts, the queue is never
 * empty, so no further ones are let in before a late listener closes: their
 * callers try again a little later, and are refused by then.
 */
import type {Server} from 'node:net';
import {turnEnded} from './SocketsRead.js';

/** What was accepted before a listener closed. */
export interface AcceptedConnections {
  readonly acceptedCount: number;
  /** False if connections may still have been waiting. */
  readonly isQueueEmpty: boolean;
}

/** Options of the end of a listener. */
export interface ListenerEndOptions {
  readonly server: Server;
  /** Closes the listener; connections that wait are reset. */
  readonly close: () => void;
  /** True once no further connections may queue. */
  readonly isLate: () => boolean;
  /** True once the listener has to close whatever waits. */
  readonly isOverdue: () => boolean;
}

/** Time after which further connections may no longer queue at a port. */
export const maxQueueingMs = 400;
/** The queue counts as empty after this many turns without a connection. */
const emptyTurns = 2;
/** With this backlog one connection waits at most. */
const shortestBacklog = 0;

/** The handle of a listener, which Node.js does not declare. */
interface ListenerHandle {
  listen?: (backlog: number) => number;
}

/** Lets no connections queue any more; those that wait go on waiting. */
function shortenQueue(server: Server): void {
  const {_handle: handle} = server as Server & {
    _handle?: ListenerHandle | null;
  };
  handle?.listen?.(shortestBacklog);
}

/**
 * Closes the listener of `server` once the connections that wait are accepted,
 * or as soon as it is overdue.
 */
export async function closeOnceAccepted({
  server,
  close,
  isLate,
  isOverdue,
}: ListenerEndOptions): Promise<AcceptedConnections> {
  let acceptedCount = 0;
  let turnsWithout = 0;
  let isShort = false;
  /** True once all connections that waited before the queue was short came. */
  let hasCaughtUp = false;
  let isClosed = false;
  const closeNow = () => {
    isClosed = true;
    close();
  };
  const onConnection = () => {
    acceptedCount += 1;
    turnsWithout = 0;
    // Nothing waits behind this one yet, but may while it is being served.
    if (isShort && (hasCaughtUp || isOverdue())) closeNow();
  };
  server.prependListener('connection', onConnection);
  // The turn that has begun may be past the reading of its sockets.
  await turnEnded();
  while (!isClosed) {
    const isTurnEmpty = turnsWithout > 0;
    if (isShort && isTurnEmpty) hasCaughtUp = true;
    if (turnsWithout >= emptyTurns || (isTurnEmpty && isOverdue())) break;
    if (!isShort && (isLate() || isOverdue())) {
      isShort = true;
      shortenQueue(server);
    }
    turnsWithout += 1;
    await turnEnded();
  }
  server.off('connection', onConnection);
  const isQueueEmpty = hasCaughtUp || turnsWithout > 0;
  if (!isClosed) closeNow();
  return {acceptedCount, isQueueEmpty};
}
