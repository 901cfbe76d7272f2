/**
 * Keeps the connections of an HTTP server within a budget. A connection is busy
 * from the head of its first open request to the end of its last response.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {ConnectionBudget} from './ConnectionBudget.js';

interface OpenExchange {
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
}

function transferredBytes(socket: Socket): number {
  return socket.bytesRead + socket.bytesWritten - socket.writableLength;
}

/** Makes every connection of `server` ask for a place in `budget`. */
export function limitConnections(
  server: Server,
  budget: ConnectionBudget,
): void {
  const openedBySocket = new WeakMap<
    Socket,
    (exchange: OpenExchange) => void
  >();
  server.on('connection', (socket: Socket) => {
    const open = new Set<OpenExchange>();
    const place = budget.tryOpen({
      transferredBytes: () => transferredBytes(socket),
      waitsForCaller: () => {
        const [oldest] = open;
        return socket.writableLength > 0 || oldest?.message.complete === false;
      },
      onDisplaced: () => socket.destroy(),
    });
    if (place === undefined) {
      socket.destroy();
      return;
    }
    socket.once('close', place.close);
    openedBySocket.set(socket, exchange => {
      open.add(exchange);
      place.requestOpened();
      exchange.response.once('close', () => {
        open.delete(exchange);
        if (open.size === 0) place.idle();
      });
    });
  });
  server.prependListener('request', (message, response) => {
    openedBySocket.get(message.socket)?.({message, response});
  });
}
