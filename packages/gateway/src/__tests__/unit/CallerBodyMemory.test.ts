import {once} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {Socket} from 'node:net';
import {connect} from 'node:net';
import {
  createMemoryBudget,
  createSystemClock,
  delay,
} from '@toucanrouter/common';
import {expect} from 'chai';
import {startGateway} from './GatewayServerFixtures.js';

const clock = createSystemClock();
/** Below the limit of a single body in the configuration of the fixture. */
const bodyBytes = 900;
const maxWaitMs = 5_000;

type Handler = (message: IncomingMessage, response: ServerResponse) => void;

/** Answers each request with the number of bytes of its body. */
function answerLength(message: IncomingMessage, response: ServerResponse) {
  let bytes = 0;
  message.on('data', (chunk: Buffer) => (bytes += chunk.length));
  message.on('end', () => {
    const id = String(message.headers['id']);
    response.writeHead(200, {id, mark: 'm'});
    response.end(`got ${bytes}`);
  });
}

/** Starts a gateway whose callers' bodies may use `maxBytes` together. */
async function startGatewayWithMemory(
  maxBytes: number,
  handler: Handler = answerLength,
) {
  const requestBodies = createMemoryBudget({clock, maxBytes});
  const gateway = await startGateway(
    {streams: false, retryPolicy: 'never', maxUpstreams: 1},
    [createServer(handler)],
    {requestBodies},
  );
  const usedBytes = () => requestBodies.status().usedBytes;
  return {...gateway, requestBodies, usedBytes};
}

async function waitUntil(holds: () => boolean): Promise<void> {
  const endMs = clock.nowMs() + maxWaitMs;
  while (!holds() && clock.nowMs() < endMs) await delay(clock, 5);
  expect(holds()).to.equal(true);
}

interface RawCall {
  readonly socket: Socket;
  /** What was received until now. */
  received(): string;
  /** Waits for an answer that contains `text`. */
  answered(text: string): Promise<void>;
}

async function openCall(
  port: number,
  id: string,
  framing = `Content-Length: ${bodyBytes}`,
): Promise<RawCall> {
  const socket = connect(port, '127.0.0.1');
  let text = '';
  socket.on('data', chunk => (text += String(chunk)));
  socket.on('error', () => undefined);
  await once(socket, 'connect');
  socket.write(
    `POST /chat/x HTTP/1.1\r\nHost: h\r\nid: ${id}\r\nauthorization: key\r\n${framing}\r\n\r\n`,
  );
  return {
    socket,
    received: () => text,
    answered: async expected => {
      await waitUntil(() => text.includes(expected));
    },
  };
}

describe('Gateway with bodies that need more memory than there is', () => {
  // Guards against bodies that fit their own limit and exhaust the memory of the
  // process together.
  it('refuses a body before it is read, and tells that it was not run', async () => {
    const gateway = await startGatewayWithMemory(bodyBytes + 100);
    const first = await openCall(gateway.port, 'first');
    await waitUntil(() => gateway.usedBytes() === bodyBytes);
    const second = await openCall(gateway.port, 'second');
    await second.answered('"run_status":"not_run"');
    expect(second.received()).to.match(/^HTTP\/1\.1 503 /);
    expect(second.received()).to.match(/\r\nRetry-After: \d/);
    expect(gateway.usedBytes()).to.equal(bodyBytes);
    first.socket.write(Buffer.alloc(bodyBytes));
    await first.answered(`got ${bodyBytes}`);
    await waitUntil(() => gateway.usedBytes() === 0);
    const refused = gateway.ended.find(({status}) => status === 503);
    expect(refused).to.include({outcome: 'overloaded'});
    expect(refused?.reason).to.include('memory');
    first.socket.destroy();
    second.socket.destroy();
    await gateway.close();
  });

  // Guards against a connection on which the rest of a refused body is taken for
  // the next request.
  it('serves the next request on the connection of a refused body', async () => {
    const gateway = await startGatewayWithMemory(bodyBytes + 100);
    const first = await openCall(gateway.port, 'first');
    await waitUntil(() => gateway.usedBytes() === bodyBytes);
    const second = await openCall(gateway.port, 'second');
    await second.answered('"run_status":"not_run"');
    first.socket.destroy();
    await waitUntil(() => gateway.usedBytes() === 0);
    second.socket.write(Buffer.alloc(bodyBytes));
    second.socket.write(
      'POST /chat/x HTTP/1.1\r\nHost: h\r\nid: third\r\nauthorization: key\r\nContent-Length: 2\r\n\r\nab',
    );
    await second.answered('got 2');
    second.socket.destroy();
    await gateway.close();
  });

  // Guards against callers that send a part of their body and hold its memory.
  it('gives up a stalled body for a request that is complete', async () => {
    const gateway = await startGatewayWithMemory(bodyBytes + 100);
    const stalled = await openCall(gateway.port, 'stalled');
    stalled.socket.write(Buffer.alloc(bodyBytes - 1));
    await delay(clock, 1_200);
    const next = await openCall(gateway.port, 'next');
    next.socket.write(Buffer.alloc(bodyBytes));
    await next.answered(`got ${bodyBytes}`);
    await stalled.answered('"run_status":"not_run"');
    expect(stalled.received()).to.match(/^HTTP\/1\.1 503 /);
    await waitUntil(() => gateway.usedBytes() === 0);
    stalled.socket.destroy();
    next.socket.destroy();
    await gateway.close();
  });

  // Guards against a request that counts as not run while an upstream has it.
  it('does not give up a body that was sent to an upstream', async () => {
    let release = () => undefined as void;
    const gateway = await startGatewayWithMemory(
      bodyBytes + 100,
      (message, response) => {
        release = () => answerLength(message, response);
      },
    );
    const sent = await openCall(gateway.port, 'sent');
    sent.socket.write(Buffer.alloc(bodyBytes));
    await delay(clock, 1_200);
    const next = await openCall(gateway.port, 'next');
    await next.answered('HTTP/1.1 503 ');
    expect(gateway.usedBytes()).to.equal(bodyBytes);
    release();
    await sent.answered(`got ${bodyBytes}`);
    await waitUntil(() => gateway.usedBytes() === 0);
    sent.socket.destroy();
    next.socket.destroy();
    await gateway.close();
  });

  it('refuses a body without a length once it grows too large', async () => {
    const gateway = await startGatewayWithMemory(bodyBytes + 100);
    const first = await openCall(gateway.port, 'first');
    await waitUntil(() => gateway.usedBytes() === bodyBytes);
    const chunked = await openCall(
      gateway.port,
      'chunked',
      'Transfer-Encoding: chunked',
    );
    chunked.socket.write('5\r\nabcde\r\n');
    await chunked.answered('"run_status":"not_run"');
    expect(gateway.usedBytes()).to.equal(bodyBytes);
    first.socket.destroy();
    chunked.socket.destroy();
    await waitUntil(() => gateway.usedBytes() === 0);
    await gateway.close();
  });

  it('forwards a body without a length as it was sent', async () => {
    const gateway = await startGatewayWithMemory(100_000);
    const chunked = await openCall(
      gateway.port,
      'chunked',
      'Transfer-Encoding: chunked',
    );
    chunked.socket.write('5\r\nabcde\r\n');
    chunked.socket.write('3\r\nfgh\r\n0\r\n\r\n');
    await chunked.answered('got 8');
    await waitUntil(() => gateway.usedBytes() === 0);
    chunked.socket.destroy();
    await gateway.close();
  });

  // Guards against memory that counts as used after its caller has left.
  it('frees the memory of a caller that leaves', async () => {
    const gateway = await startGatewayWithMemory(bodyBytes + 100);
    const first = await openCall(gateway.port, 'first');
    await waitUntil(() => gateway.usedBytes() === bodyBytes);
    first.socket.write(Buffer.alloc(10));
    first.socket.destroy();
    await waitUntil(() => gateway.usedBytes() === 0);
    await gateway.close();
  });
});
