import {createServer} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {connect} from 'node:net';
import {createMemoryBudget, createSystemClock} from '@toucanrouter/common';
import {expect} from 'chai';
import {openCallerBody} from '../../server/CallerBody.js';
import {writeWithoutEnd} from './SmallPiecesFixture.js';

const host = '127.0.0.1';
const head = 'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n';
const maxBytes = 16 * 1024 * 1024;
const maxReadBytes = 512 * 1024;

/** Receives the body that `write` sends. */
async function receiveBody(write: (socket: Socket) => void) {
  let resolveReceived: (result: {
    readonly sizeBytes: number | undefined;
    readonly readBytes: number;
  }) => void;
  const received = new Promise<Parameters<typeof resolveReceived>[0]>(
    resolve => (resolveReceived = resolve),
  );
  const server = createServer(incoming => {
    const body = openCallerBody(incoming, {
      maxBytes,
      memory: createMemoryBudget({clock: createSystemClock(), maxBytes}),
      tier: () => 0,
      copyCount: 1,
      retryAfterMs: () => 0,
      canGiveUp: () => true,
      onGivenUp: () => undefined,
    });
    void body.received.then(result => {
      resolveReceived({
        sizeBytes: result.map(({length}) => length).unwrapOr(undefined),
        readBytes: incoming.socket.bytesRead,
      });
      body.close();
    });
  });
  await new Promise<void>(resolve => server.listen(0, host, resolve));
  const socket = connect((server.address() as AddressInfo).port, host);
  socket.on('error', () => undefined);
  socket.write(head);
  write(socket);
  const result = await received;
  socket.destroy();
  server.close();
  server.closeAllConnections();
  return result;
}

describe('openCallerBody', () => {
  // Guards against calls that wait while the pieces of a body are handled.
  it('refuses a body whose chunks have one byte each', async () => {
    const {readBytes, sizeBytes} = await receiveBody(socket =>
      writeWithoutEnd(socket, 'a'),
    );
    expect(sizeBytes).to.equal(undefined);
    expect(readBytes).to.be.below(maxReadBytes);
  });

  // Guards against limits that refuse sound calls.
  it('receives bodies in many small chunks and in large ones', async () => {
    const smallCount = 10_000;
    const largeBytes = 4 * 1024 * 1024;
    const small = await receiveBody(socket =>
      socket.write(`${'1\r\na\r\n'.repeat(smallCount)}0\r\n\r\n`),
    );
    const large = await receiveBody(socket =>
      socket.write(
        `${largeBytes.toString(16)}\r\n${'a'.repeat(largeBytes)}\r\n0\r\n\r\n`,
      ),
    );
    expect(small.sizeBytes).to.equal(smallCount);
    expect(large.sizeBytes).to.equal(largeBytes);
  });
});
