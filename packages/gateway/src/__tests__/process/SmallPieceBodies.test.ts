import {once} from 'node:events';
import {request} from 'node:http';
import type {Server} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {
  memoryLimitBytes,
  withLimitedGateway,
} from './LimitedGatewayFixtures.js';

const host = '127.0.0.1';
const endlessCallersCount = 40;
const soundCallsCount = 20;
const soundIntervalMs = 400;
const callTimeoutMs = 9_000;
const head =
  'POST /chat/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n';
const smallChunks = Buffer.from('1\r\na\r\n'.repeat(10_000));

async function startUpstream(): Promise<Server> {
  const server = createServer((message, response) => {
    message.resume();
    response.writeHead(200, {id: String(message.headers['id']), mark: 'm'});
    response.end('whole');
  });
  server.listen(0, host);
  await once(server, 'listening');
  return server;
}

/** Sends a body of chunks of one byte for as long as it is read. */
function sendWithoutEnd(port: number, id: string): Socket {
  const socket = connect(port, host);
  socket.on('error', () => undefined);
  socket.resume();
  const write = () => {
    while (!socket.destroyed && socket.writable && socket.write(smallChunks));
  };
  socket.on('drain', write);
  socket.write(`${head}id: ${id}\r\n\r\n`);
  write();
  return socket;
}

/** Sends one request; returns the status, or undefined without a response. */
function call(port: number, id: string): Promise<number | undefined> {
  return new Promise(resolve => {
    const sent = request(
      {
        host,
        port,
        path: '/chat/x',
        headers: {id},
        agent: false,
        timeout: callTimeoutMs,
      },
      response => {
        response.on('error', () => undefined);
        response.resume();
        resolve(response.statusCode);
      },
    );
    sent.on('timeout', () => sent.destroy());
    sent.on('error', () => resolve(undefined));
    sent.end();
  });
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
