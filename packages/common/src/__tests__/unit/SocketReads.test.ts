import {once} from 'node:events';
import type {AddressInfo, Socket} from 'node:net';
import {connect, createServer} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {expect} from 'chai';
import {limitReads} from '../../SocketReads.js';

const sent = Buffer.alloc(8 * 1024 * 1024, 'abcdefghijklm');
const handledBytes = 1024;
const pausesCount = 200;
const maxBufferedBytes = 256 * 1024;

/** Connects to a server that sends `sent` and ends. */
async function withSocket(use: (socket: Socket) => Promise<void>) {
  const server = createServer(peer => {
    peer.on('error', () => undefined);
    peer.end(sent);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
  limitReads(socket);
  try {
    await use(socket);
  } finally {
    socket.destroy();
    server.close();
  }
}

describe('limitReads', () => {
  // Guards against a buffer that grows with each pause of its reader.
  it('buffers little for a reader that returns most of what it reads', () =>
    withSocket(async socket => {
      await once(socket, 'readable');
      for (let pause = 0; pause < pausesCount; pause += 1) {
        const bytes = socket.read() as Buffer | null;
        if (bytes !== null) socket.unshift(bytes.subarray(handledBytes));
        await nextTurn();
      }
      expect(socket.readableLength).to.be.within(1, maxBufferedBytes);
    }));

  it('returns all bytes and the end', () =>
    withSocket(async socket => {
      const parts: Buffer[] = [];
      socket.on('readable', () => {
        for (;;) {
          const bytes = socket.read() as Buffer | null;
          if (bytes === null) return;
          parts.push(bytes);
        }
      });
      await once(socket, 'end');
      expect(Buffer.concat(parts).equals(sent)).to.equal(true);
    }));
});
