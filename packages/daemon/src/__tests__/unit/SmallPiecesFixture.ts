/**
 * Upstreams that send small pieces without end, and how much of them is read.
 */
import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import type {Socket} from 'node:net';

const blockBytes = 16 * 1024;

/** Writes chunks that hold `piece` for as long as the connection is open. */
export function writeWithoutEnd(socket: Socket, piece: string): void {
  const chunk = `${piece.length.toString(16)}\r\n${piece}\r\n`;
  const block = Buffer.from(chunk.repeat(blockBytes / chunk.length));
  const write = () => {
    while (!socket.destroyed && socket.write(block));
  };
  socket.on('drain', write);
  write();
}

/** Returns how many bytes `undici` read from its connections meanwhile. */
export async function countBytesRead(
  run: () => Promise<void>,
): Promise<number> {
  const sockets: Socket[] = [];
  const onConnected = (message: unknown) =>
    sockets.push((message as {socket: Socket}).socket);
  subscribe('undici:client:connected', onConnected);
  try {
    await run();
  } finally {
    unsubscribe('undici:client:connected', onConnected);
  }
  return sockets.reduce((sum, {bytesRead}) => sum + bytesRead, 0);
}
