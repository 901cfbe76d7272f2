/**
 * Keeps an HTTP server from resetting a connection on which it has just sent a
 * response. If a socket is closed while bytes of its peer are unread, or arrive
 * later, the operating system resets the connection, and the reset can overtake
 * the response: a caller that is still sending its body sees a failed write
 * instead of the response. The peers that still send are bounded, because their
 * bytes take memory until they are read.
 */
import type {IncomingMessage, Server} from 'node:http';
import type {Socket} from 'node:net';
import {bufferGarbage} from './BufferGarbage.js';
import type {Clock} from './Clock.js';

/** A peer that has not closed the connection after this time is cut off. */
export const maxLingerMs = 1_000;

/**
 * Makes `server` close only its own direction of a connection after the last
 * response, and read on until the peer has closed too, for a bounded time. When
 * more peers than `maxSendingCount` still send, the first of them is cut off.
 */
export function lingerAfterLastResponse(
  server: Server,
  clock: Clock,
  maxSendingCount = Infinity,
): void {
  /** In the order in which their bytes began to arrive. */
  const sendingSockets = new Set<Socket>();
  const latestMessages = new WeakMap<Socket, IncomingMessage>();

  function stillSends(socket: Socket): void {
    sendingSockets.add(socket);
    const [first] = sendingSockets;
    if (first === undefined || sendingSockets.size <= maxSendingCount) return;
    sendingSockets.delete(first);
    first.destroy();
  }

  function linger(socket: Socket): void {
    const message = latestMessages.get(socket);
    // The peer may send a body whose response is complete already.
    const discard = ({length}: Buffer) => {
      bufferGarbage.received(length);
      stillSends(socket);
    };
    if (message?.complete === false) stillSends(socket);
    // A request that follows must not be served: its response cannot be sent.
    socket.removeAllListeners('data');
    // Frees the part of the body that was received and is not used.
    message?.read();
    socket.on('data', discard);
    socket.resume();
    socket.end();
    const cancelTimeout = clock.after(maxLingerMs, () => socket.destroy());
    socket.once('end', () => socket.destroy());
    socket.once('close', () => {
      cancelTimeout();
      sendingSockets.delete(socket);
    });
  }

  server.on('connection', (socket: Socket) => {
    let lingering = false;
    // The HTTP server calls this method once the last response is sent.
    socket.destroySoon = () => {
      if (lingering || socket.destroyed) return;
      lingering = true;
      linger(socket);
    };
  });
  server.prependListener('request', message => {
    latestMessages.set(message.socket, message);
  });
}
