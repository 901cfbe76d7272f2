/**
 * Limits what one read of a socket returns. `undici` returns to the socket what
 * follows a pause, and reads all of it again for the next few pieces. A read of
 * everything also makes the socket ask the system for more, so without a limit
 * its buffer grows with each pause, and each read copies all of it.
 */
import type {Socket} from 'node:net';

/** Below the high-water mark of sockets, so that the rest stops their reading. */
const maxReadBytes = 16 * 1024;

/** Limits the reads of a socket that is read with `read()`. */
export function limitReads(socket: Socket): void {
  const read = socket.read.bind(socket) as (bytes?: number) => unknown;
  socket.read = (bytes?: number) => {
    const maxBytes = Math.min(socket.readableLength, maxReadBytes);
    return read(bytes ?? (maxBytes > 0 ? maxBytes : undefined));
  };
}
