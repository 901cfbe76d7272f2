/**
 * Keeps an HTTP server from cutting responses when it closes idle connections.
 * Node.js counts a connection as idle once its response was ended, although a
 * slow caller may not have received the last part yet, and also closes such
 * connections when the server is closed. Timers run before sockets are read, so
 * a process that runs late would also close connections on which a request has
 * been waiting since.
 */
import type {Server} from 'node:http';
import type {Socket} from 'node:net';
import {socketsRead} from './SocketsRead.js';

interface Connection {
  /** Responses whose last byte was not handed to the operating system. */
  unsentResponses: number;
  /**
   * Bytes read when the latest response was sent; further ones are a request.
   * Undefined before the first response: the caller opened the connection to
   * send a request, which is on its way.
   */
  bytesReadWhenIdle: number | undefined;
}

/**
 * Makes `server.closeIdleConnections` and `server.close` spare connections with
 * a response that was not sent completely, or on which a request arrives, waits
 * unread or is yet to arrive for the first time. Idle connections are closed
 * shortly after the call.
 */
export function spareUnsentResponses(server: Server): void {
  const connections = new Map<Socket, Connection>();
  server.on('connection', (socket: Socket) => {
    connections.set(socket, {
      unsentResponses: 0,
      bytesReadWhenIdle: undefined,
    });
    socket.once('close', () => connections.delete(socket));
  });
  server.prependListener('request', ({socket}, response) => {
    const connection = connections.get(socket);
    if (connection === undefined) return;
    connection.unsentResponses += 1;
    response.once('close', () => {
      connection.unsentResponses -= 1;
      connection.bytesReadWhenIdle = socket.bytesRead;
    });
  });
  const closeIdle = () => {
    for (const [socket, connection] of connections) {
      const isIdle =
        connection.unsentResponses === 0 &&
        connection.bytesReadWhenIdle === socket.bytesRead;
      if (isIdle) socket.destroy();
    }
  };
  let isClosing = false;
  async function closeIdleOnceRead(): Promise<void> {
    if (isClosing) return;
    isClosing = true;
    await socketsRead();
    isClosing = false;
    closeIdle();
  }
  server.closeIdleConnections = () => void closeIdleOnceRead();
}
