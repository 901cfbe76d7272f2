import type {AddressInfo, Socket} from 'node:net';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {smallChunk, writeWithoutEnd} from '../unit/SmallPieceFixtures.js';
import {
  call,
  memoryLimitBytes,
  startUpstream,
  withLimitedGateway,
} from './LimitedGatewayFixtures.js';

const host = '127.0.0.1';
const endlessCallersCount = 40;
const soundCallsCount = 20;
const soundIntervalMs = 400;
const head =
  'POST /chat/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n';

/** Sends a body of chunks of one byte for as long as it is read. */
function sendWithoutEnd(port: number, id: string): Socket {
  const socket = connect(port, host);
  socket.on('error', () => undefined);
  socket.resume();
  socket.write(`${head}id: ${id}\r\n\r\n`);
  writeWithoutEnd(socket, smallChunk);
  return socket;
}

describe('Process of a gateway whose callers send small pieces without end', () => {
  // Guards against requests that are refused or late while others send bodies
  // whose pieces cost much processor time.
  it('serves other callers', async () => {
    const upstream = await startUpstream();
    const {port: upstreamPort} = upstream.address() as AddressInfo;
    try {
      await withLimitedGateway(upstreamPort, async gateway => {
        const sockets = Array.from({length: endlessCallersCount}, (_, index) =>
          sendWithoutEnd(gateway.port, `endless-${index}`),
        );
        const statuses: (number | undefined)[] = [];
        for (let index = 0; index < soundCallsCount; index += 1) {
          statuses.push(await call(gateway.port, `sound-${index}`));
          await sleep(soundIntervalMs);
        }
        for (const socket of sockets) socket.destroy();
        expect(statuses).to.deep.equal(statuses.map(() => 200));
        expect(gateway.isRunning()).to.equal(true);
        expect(gateway.peakBytes()).to.be.below(memoryLimitBytes);
      });
    } finally {
      upstream.close();
    }
  });
});
