/**
 * Errors in what a caller sends on a connection: bytes that are not HTTP, a head
 * that is too large, or one that does not arrive in time. Node.js answers them at
 * once and closes the connection, in place of the answers to earlier requests
 * that are still open. These are sent whole and in order here; the error follows
 * and ends the connection.
 *
 * Timers run before the sockets are read, so after a pause of the process a head
 * looks late that has arrived in time. Its timeout counts only if the head is
 * still not complete once the sockets have been read.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {STATUS_CODES} from 'node:http';
import type {Socket} from 'node:net';
import {bufferGarbage} from './BufferGarbage.js';
import {socketsRead} from './SocketsRead.js';

const timeoutCode = 'ERR_HTTP_REQUEST_TIMEOUT';
/** The caller closed its side in the middle of a request. */
const endCode = 'HPE_INVALID_EOF_STATE';
const parserCodePrefix = 'HPE_';
const badRequestStatus = 400;
/** The statuses that Node.js sends; 400 for all other codes. */
const statusByCode = new Map([
  [timeoutCode, 408],
  ['HPE_CHUNK_EXTENSIONS_OVERFLOW', 413],
  ['HPE_HEADER_OVERFLOW', 431],
]);

interface OpenResponse {
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
}

/** What follows an error is not read as requests. */
function discard({length}: Buffer): void {
  bufferGarbage.received(length);
}

/** Reads on without serving, so that the caller's leaving is noticed. */
function stopServing(socket: Socket): void {
  socket.removeAllListeners('data');
  socket.on('data', discard);
  socket.resume();
  socket.once('end', () => socket.destroy());
}

function writeError(socket: Socket, status: number): void {
  if (!socket.writable) return;
  const reason = STATUS_CODES[status];
  socket.write(`HTTP/1.1 ${status} ${reason}\r\nConnection: close\r\n\r\n`);
}

/** True if the answer does not depend on bytes that are still to come. */
function isServed({message, response}: OpenResponse): boolean {
  return message.complete || response.headersSent;
}

function endAfter(
  socket: Socket,
  {response}: OpenResponse,
  status: number | undefined,
): void {
  response.once('finish', () => {
    // Nothing may follow a response that closed the connection itself.
    if (!socket.writable) return;
    if (status !== undefined) writeError(socket, status);
    socket.destroySoon();
  });
}

/** Makes `server` answer earlier requests before errors of their connection. */
export function answerBeforeErrors(server: Server): void {
  const openBySocket = new WeakMap<Socket, Set<OpenResponse>>();
  const latestBySocket = new WeakMap<Socket, IncomingMessage>();
  const failed = new WeakSet<Socket>();
  server.on('connection', (socket: Socket) => {
    openBySocket.set(socket, new Set());
  });
  server.prependListener('request', (message, response) => {
    const open = {message, response};
    const all = openBySocket.get(message.socket);
    all?.add(open);
    latestBySocket.set(message.socket, message);
    response.once('close', () => all?.delete(open));
  });

  function fail(socket: Socket, error: NodeJS.ErrnoException): void {
    if (failed.has(socket)) return;
    failed.add(socket);
    const code = error.code ?? '';
    const open = [...(openBySocket.get(socket) ?? [])].filter(
      ({response}) => !response.writableFinished,
    );
    const lastServed = open.filter(isServed).at(-1);
    const isOfCaller =
      code === timeoutCode || code.startsWith(parserCodePrefix);
    const status = statusByCode.get(code) ?? badRequestStatus;
    const hasLeft = !isOfCaller || code === endCode;
    if (lastServed === undefined || hasLeft) {
      if (lastServed === undefined) writeError(socket, status);
      socket.destroy(error);
      return;
    }
    stopServing(socket);
    const latest = open.at(-1);
    if (latest === undefined || latest.message.complete) {
      endAfter(socket, lastServed, status);
    } else if (isServed(latest)) {
      endAfter(socket, latest, undefined);
    } else {
      latest.response.writeHead(status, ['Connection', 'close']);
      latest.response.end();
    }
  }

  async function failOnceRead(
    socket: Socket,
    error: NodeJS.ErrnoException,
  ): Promise<void> {
    const latest = latestBySocket.get(socket);
    await socketsRead();
    const hasArrived = latestBySocket.get(socket) !== latest;
    if (!hasArrived && !socket.destroyed) fail(socket, error);
  }

  server.on('clientError', (error: NodeJS.ErrnoException, duplex) => {
    const socket = duplex as Socket;
    if (error.code === timeoutCode) void failOnceRead(socket, error);
    else fail(socket, error);
  });
}
