/**
 * Keeps an HTTP server from closing a connection whose idle timeout ends while a
 * request waits on it. Timers run before the sockets are read, so after a pause
 * of the process a connection looks idle although its caller has sent a request
 * in time, and its caller would get a reset.
 */
import type {Server} from 'node:http';
import type {Socket} from 'node:net';
import {socketsRead} from './SocketsRead.js';

async function closeUnlessRead(socket: Socket): Promise<void> {
  const {bytesRead} = socket;
  await socketsRead();
  if (socket.bytesRead === bytesRead) socket.destroy();
}

/** Makes `server` close idle connections only once the sockets have been read. */
export function readBeforeIdleTimeout(server: Server): void {
  // Without a listener Node.js destroys the connection at once.
  server.on('timeout', socket => void closeUnlessRead(socket));
}
