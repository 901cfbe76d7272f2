/**
 * Connections that the operating system has established and that a server has
 * not accepted yet. The server accepts about one in each turn of the event loop,
 * so they queue while a process is busy, and closing the listener resets them.
 */
import type {Server} from 'node:net';

/** What was accepted before a listener closes. */
export interface AcceptedConnections {
  readonly acceptedCount: number;
  /** False if connections may still have been waiting. */
  readonly isQueueEmpty: boolean;
}

/** The queue counts as empty after this many turns without a connection. */
const emptyTurns = 2;

/**
 * Resolves once the server has accepted the connections that wait, or as soon as
 * `isOverdue` holds.
 */
export async function acceptWaitingConnections(
  server: Server,
  isOverdue: () => boolean,
): Promise<AcceptedConnections> {
  let acceptedCount = 0;
  let turnsWithout = 0;
  const onConnection = () => {
    acceptedCount += 1;
    turnsWithout = 0;
  };
  server.on('connection', onConnection);
  while (turnsWithout < emptyTurns && !isOverdue()) {
    turnsWithout += 1;
    await new Promise(resolve => setImmediate(resolve));
  }
  server.off('connection', onConnection);
  return {acceptedCount, isQueueEmpty: turnsWithout >= emptyTurns};
}
