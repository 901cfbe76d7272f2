import {once} from 'node:events';
import type {Server} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import type {LimitedGateway} from './LimitedGatewayFixtures.js';
import {
  memoryLimitBytes,
  withLimitedGateway,
} from './LimitedGatewayFixtures.js';

const bodyBytes = 4 * 1024 * 1024;
const body = Buffer.alloc(bodyBytes, 'b');
const host = '127.0.0.1';
const answerDelayMs = 100;
const answerBytes = 8_000_000;
const maxWaitMs = 20_000;
/** Time in which most of the bodies arrive. */
const minReceiveMs = 3_000;
const repeatDelayMs = 300;
const pipeliningCount = 20;
const pipelinedRequestsCount = 220;
/** Slow enough for the processor, so that nothing is refused for its sake. */
const pipelineIntervalMs = 40;
const manyPipeliningCount = 60;
const manyPipelinedRequestsCount = 80;
const manyPipelineIntervalMs = 110;
const burstConnectionsCount = 20;
const burstRequestsCount = 2_000;
const refusedConnectionsCount = 120;
const packetBytes = 65_000;
/** Time in which a request is passed on. */
const openingMs = 200;
/** Time in which a burst is read, or the process ends. */
const burstMs = 4_000;

/** An upstream that discards bodies and answers after a while, or at length. */
async function startUpstream(): Promise<Server> {
  const upstream = createServer((message, response) => {
    message.resume();
    message.once('end', () => {
      setTimeout(() => {
        const id = String(message.headers['id']);
        if (id.startsWith('hang')) return;
        response.writeHead(200, {id, mark: 'm'});
        response.end(
          id.startsWith('long') ? Buffer.alloc(answerBytes) : 'whole',
        );
      }, answerDelayMs);
    });
  });
  upstream.listen(0, host);
  await once(upstream, 'listening');
  return upstream;
}

/** Runs `use` with a gateway that has a memory limit. */
async function withGateway(
  use: (gateway: LimitedGateway) => Promise<void>,
): Promise<void> {
  const upstream = await startUpstream();
  const {port: upstreamPort} = upstream.address() as AddressInfo;
  try {
    await withLimitedGateway(upstreamPort, use);
  } finally {
    upstream.closeAllConnections();
    upstream.close();
  }
}

/** Sends one request; returns the head of its response, or how it ended. */
function call(port: number, id: string, sent: Buffer): Promise<string> {
  return new Promise(resolve => {
    const socket = connect(port, host);
    let received = '';
    const finish = (result: string) => {
      clearTimeout(timer);
      resolve(result);
      socket.destroy();
    };
    const timer = setTimeout(() => finish('no response'), maxWaitMs);
    socket.write(
      `POST /chat/x HTTP/1.1\r\nHost: h\r\nid: ${id}\r\nContent-Length: ${bodyBytes}\r\n\r\n`,
    );
    socket.write(sent);
    socket.on('data', chunk => {
      received += String(chunk);
      if (received.includes('\r\n\r\n')) finish(received.slice(9, 12));
    });
    socket.on('error', error => finish(error.message));
    socket.on('close', () => finish('closed'));
  });
}

/** Asks for a long answer and does not read it. */
async function callWithoutReading(port: number, id: string): Promise<Socket> {
  const socket = connect(port, host);
  socket.on('error', () => undefined);
  await once(socket, 'connect');
  socket.pause();
  socket.write(`GET /chat/x HTTP/1.1\r\nHost: h\r\nid: ${id}\r\n\r\n`);
  return socket;
}

function headOf(id: string, path = '/chat/x'): string {
  return `GET ${path} HTTP/1.1\r\nHost: h\r\nid: ${id}\r\n\r\n`;
}

async function openSocket(port: number): Promise<Socket> {
  const socket = connect(port, host);
  socket.on('error', () => undefined);
  await once(socket, 'connect');
  return socket;
}

interface PipelineOptions {
  readonly requestsCount?: number;
  readonly intervalMs?: number;
}

/** Sends requests without waiting for their answers, which do not come. */
async function pipeline(
  port: number,
  id: string,
  {
    requestsCount = pipelinedRequestsCount,
    intervalMs = pipelineIntervalMs,
  }: PipelineOptions = {},
): Promise<Socket> {
  const socket = await openSocket(port);
  for (let count = 0; count < requestsCount; count += 1) {
    socket.write(headOf(id));
    await sleep(intervalMs);
  }
  return socket;
}

/** Sends a request that is not answered, and many to `path` at once behind it. */
async function burst(port: number, path: string): Promise<Socket> {
  const socket = await openSocket(port);
  socket.write(headOf('hang'));
  await sleep(openingMs);
  socket.write(headOf('hang', path).repeat(burstRequestsCount));
  return socket;
}

/** Sends a request that is not answered, and a packet full of `head` behind it. */
async function burstOfHeads(port: number, head: string): Promise<Socket> {
  const socket = await openSocket(port);
  socket.write(headOf('hang'));
  await sleep(openingMs);
  socket.write(head.repeat(Math.floor(packetBytes / head.length)));
  return socket;
}

/** Sends a body again while it is refused; returns the last result. */
async function callUntilServed(port: number, id: string): Promise<string> {
  for (const endMs = performance.now() + maxWaitMs; ;) {
    const result = await call(port, id, body);
    if (result !== '503' || performance.now() >= endMs) return result;
    await sleep(repeatDelayMs);
  }
}

function callTogether(
  port: number,
  count: number,
  sent: Buffer,
): Promise<string[]> {
  return Promise.all(
    Array.from({length: count}, (_, index) => call(port, `r${index}`, sent)),
  );
}

/** Checks that a gateway outlives bursts on connections, and serves others then. */
async function expectSurvival(
  connectionsCount: number,
  start: (port: number) => Promise<Socket>,
): Promise<void> {
  await withGateway(async gateway => {
    const sockets = await Promise.all(
      Array.from({length: connectionsCount}, () => start(gateway.port)),
    );
    await sleep(burstMs);
    expect(gateway.isRunning()).to.equal(true);
    for (const socket of sockets) socket.destroy();
    expect(await callUntilServed(gateway.port, 'whole')).to.equal('200');
    expect(gateway.peakBytes()).to.be.below(memoryLimitBytes);
    expect(gateway.isRunning()).to.equal(true);
  });
}

describe('Process of a gateway with a memory limit', () => {
  // Guards against a process that is killed because callers' bodies take more
  // memory than the machine has.
  it('stays below it under many large bodies and answers each of them', async () => {
    await withGateway(async gateway => {
      const results = await callTogether(gateway.port, 150, body);
      expect(gateway.isRunning()).to.equal(true);
      for (const result of results) expect(result).to.match(/^(200|503)$/);
      expect(results).to.include('200');
      expect(gateway.peakBytes()).to.be.below(memoryLimitBytes);
      expect(await call(gateway.port, 'later', body)).to.equal('200');
    });
  });

  // Guards against the same through bodies whose callers never finish them.
  it('stays below it under large bodies that never end', async () => {
    await withGateway(async gateway => {
      const unfinished = body.subarray(0, bodyBytes * 0.97);
      let unfinishedEnded = false;
      const results = callTogether(gateway.port, 300, unfinished).finally(
        () => {
          unfinishedEnded = true;
        },
      );
      await sleep(minReceiveMs);
      // Bodies that still arrive keep their memory, and the caller tries again.
      const whole = await callUntilServed(gateway.port, 'whole');
      expect(whole).to.equal('200');
      expect(unfinishedEnded).to.equal(false);
      expect(new Set(await results)).to.deep.equal(new Set(['503']));
      expect(gateway.peakBytes()).to.be.below(memoryLimitBytes);
      expect(gateway.isRunning()).to.equal(true);
    });
  });

  // Guards against the same through answers that their callers do not read.
  it('stays below it under long answers that are not read, and serves others', async () => {
    await withGateway(async gateway => {
      const sockets: Socket[] = [];
      for (let index = 0; index < 60; index += 1) {
        sockets.push(await callWithoutReading(gateway.port, `long-${index}`));
        await sleep(50);
      }
      await sleep(1_000);
      expect(gateway.peakBytes()).to.be.below(memoryLimitBytes);
      expect(await call(gateway.port, 'whole', body)).to.equal('200');
      for (const socket of sockets) socket.destroy();
      expect(gateway.peakBytes()).to.be.below(memoryLimitBytes);
      expect(gateway.isRunning()).to.equal(true);
    });
  });

  // Guards against a heap that is exhausted by requests that wait for upstreams,
  // since a caller may send any number of them on one connection.
  it('survives many open requests and refuses further ones', async () => {
    await withGateway(async gateway => {
      const sockets = await Promise.all(
        Array.from({length: pipeliningCount}, (_, index) =>
          pipeline(gateway.port, `hang-${index}`),
        ),
      );
      expect(gateway.isRunning()).to.equal(true);
      expect(await call(gateway.port, 'further', body)).to.equal('503');
      for (const socket of sockets) socket.destroy();
      expect(await callUntilServed(gateway.port, 'whole')).to.equal('200');
      expect(gateway.peakBytes()).to.be.below(memoryLimitBytes);
      expect(gateway.isRunning()).to.equal(true);
    });
  });

  // Guards against refusals that fill the heap while they wait for the earlier
  // responses of their connections.
  it('survives many connections whose refused requests wait for earlier ones', async () => {
    await withGateway(async gateway => {
      const sockets = await Promise.all(
        Array.from({length: manyPipeliningCount}, (_, index) =>
          pipeline(gateway.port, `hang-${index}`, {
            requestsCount: manyPipelinedRequestsCount,
            intervalMs: manyPipelineIntervalMs,
          }),
        ),
      );
      expect(gateway.isRunning()).to.equal(true);
      for (const socket of sockets) socket.destroy();
      expect(await callUntilServed(gateway.port, 'whole')).to.equal('200');
      expect(gateway.peakBytes()).to.be.below(memoryLimitBytes);
      expect(gateway.isRunning()).to.equal(true);
    });
  });

  // Guards against a heap that is filled by the requests of a few packets, on
  // connections that cannot be answered yet.
  for (const path of ['/chat/x', '/unknown']) {
    it(`survives bursts of requests to ${path} behind open ones`, async () => {
      await expectSurvival(burstConnectionsCount, port => burst(port, path));
    });
  }

  // Guards against a heap that is filled by requests that Node.js would refuse
  // without handing them over, so that nothing counts them.
  for (const [name, head] of [
    ['an unknown expectation', 'GET / HTTP/1.1\r\nHost:h\r\nExpect:x\r\n\r\n'],
    ['no host', 'GET / HTTP/1.1\r\n\r\n'],
  ] as const) {
    it(`survives bursts of requests with ${name} behind open ones`, async () => {
      await expectSurvival(refusedConnectionsCount, port =>
        burstOfHeads(port, head),
      );
    });
  }
});
