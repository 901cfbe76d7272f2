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
/** Time that each peer has to read its response, however many still send. */
export const minLingerMs = 500;

/**
 * Makes `server` close only its own direction of a connection after the last
 * response, and read on until the peer has closed too, for a bounded time. When
 * more peers than `maxSendingCount` still send, those that have had time to read
 * their response are cut off.
 */
export function lingerAfterLastResponse(
  server: Server,
  clock: Clock,
  maxSendingCount = Infinity,
): void {
  /** When each peer was seen to send on, in that order. */
  const sendingSinceMs = new Map<Socket, number>();
  const latestMessages = new WeakMap<Socket, IncomingMessage>();

  /** Cuts off the first of too many peers that have had time to read. */
  function cutOffSurplus(): void {
    for (const [socket, sinceMs] of sendingSinceMs) {
      const isWithinLimit = sendingSinceMs.size <= maxSendingCount;
      if (isWithinLimit || clock.nowMs() - sinceMs < minLingerMs) return;
      sendingSinceMs.delete(socket);
      socket.destroy();
    }
  }

  function stillSends(socket: Socket): void {
    if (sendingSinceMs.has(socket)) return;
    sendingSinceMs.set(socket, clock.nowMs());
    cutOffSurplus();
    const cancel = clock.after(minLingerMs, cutOffSurplus);
    socket.once('close', () => {
      cancel();
      sendingSinceMs.delete(socket);
    });
  }

  function linger(socket: Socket): void {
    const message = latestMessages.get(socket);
    // The peer may send a body whose response is complete already.
    const discard = ({length}: Buffer) => {
      bufferGarbage.received(length);
      if (!socket.destroyed) stillSends(socket);
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
    socket.once('close', cancelTimeout);
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
