/**
 * Senders of small pieces without end.
 */
import type {Server} from 'node:http';
import {createServer} from 'node:http';
import type {Socket} from 'node:net';

const host = '127.0.0.1';
const blockBytes = 64 * 1024;

/** A chunk of one byte, as HTTP frames it. */
export const smallChunk = '1\r\na\r\n';

/** Writes `piece` over and over while the connection is open. */
export function writeWithoutEnd(socket: Socket, piece: string): void {
  const block = Buffer.from(
    piece.repeat(Math.floor(blockBytes / piece.length)),
  );
  const write = () => {
    while (!socket.destroyed && socket.writable && socket.write(block));
  };
  socket.on('drain', write);
  write();
}

/** Starts a server that answers with chunks of one byte without end. */
export async function startEndlessServer(): Promise<Server> {
  const server = createServer((_, {socket}) => {
    if (socket === null) return;
    socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n');
    writeWithoutEnd(socket, smallChunk);
  });
  await new Promise<void>(resolve => server.listen(0, host, resolve));
  return server;
}
