/**
 * Keeps an HTTP server from resetting a connection on which it has just sent a
 * response. If a socket is closed while bytes of its peer are unread, or arrive
 * later, the operating system resets the connection, and the reset can overtake
 * the response: a caller that is still sending its body sees a failed write
 * instead of the response.
 */
import type {Server} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock} from './Clock.js';

/** A peer that has not closed the connection after this time is cut off. */
export const maxLingerMs = 1_000;

function discard(): void {
  // The peer sends a body whose response is complete already.
}

function lingerBeforeDestroy(socket: Socket, clock: Clock): void {
  // A request that follows must not be served: its response cannot be sent.
  socket.removeAllListeners('data');
  socket.on('data', discard);
  socket.resume();
  socket.end();
  const cancelTimeout = clock.after(maxLingerMs, () => socket.destroy());
  socket.once('end', () => socket.destroy());
  socket.once('close', cancelTimeout);
}

/**
 * Makes `server` close only its own direction of a connection after the last
 * response, and read on until the peer has closed too, for a bounded time.
 */
export function lingerAfterLastResponse(server: Server, clock: Clock): void {
  server.on('connection', (socket: Socket) => {
    let lingering = false;
    // The HTTP server calls this method once the last response is sent.
    socket.destroySoon = () => {
      if (lingering || socket.destroyed) return;
      lingering = true;
      lingerBeforeDestroy(socket, clock);
    };
  });
}
