import {once} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {Socket} from 'node:net';
import {connect} from 'node:net';
import {
  createMemoryBudget,
  createSystemClock,
  delay,
  toWorkspaceId,
} from '@toucanrouter/common';
import {expect} from 'chai';
import {createActiveConfig} from '../../config/ActiveConfig.js';
import type {GatewayRoute} from '../../config/GatewayConfig.js';
import type {GatewayContext} from '../../request/GatewayContext.js';
import {createConfig, createRoute} from './GatewayFixtures.js';
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
  route: Partial<GatewayRoute> = {},
  changes: Partial<GatewayContext> = {},
) {
  const requestBodies = createMemoryBudget({clock, maxBytes});
  const gateway = await startGateway(
    {streams: false, retryPolicy: 'never', maxUpstreams: 1, ...route},
    [createServer(handler)],
    {requestBodies, ...changes},
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
  /** True once the gateway has closed its direction of the connection. */
  hasEnded(): boolean;
  /** Waits for an answer that contains `text`. */
  answered(text: string): Promise<void>;
}

async function openCall(
  port: number,
  id: string,
  framing = `Content-Length: ${bodyBytes}`,
  key = 'key',
): Promise<RawCall> {
  const socket = connect(port, '127.0.0.1');
  let text = '';
  socket.on('data', chunk => (text += String(chunk)));
  socket.on('error', () => undefined);
  await once(socket, 'connect');
  socket.write(
    `POST /chat/x HTTP/1.1\r\nHost: h\r\nid: ${id}\r\nauthorization: ${key}\r\n${framing}\r\n\r\n`,
  );
  return {
    socket,
    received: () => text,
    hasEnded: () => socket.readableEnded,
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
    // Guards against stalled callers that keep their connections for ever.
    expect(stalled.received()).to.match(/\r\nConnection: close\r\n/);
    await waitUntil(() => stalled.hasEnded());
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

  // Guards against urgent requests that are refused for the bodies of others
  // which wait for their upstreams.
  it('gives up a body that waits for a pause for a more urgent request', async () => {
    const route = {
      streams: false,
      retryPolicy: 'never',
      maxUpstreams: 1,
      timeoutMs: 8_000,
      targetLatencyMs: 6_000,
    } as const;
    const config = createActiveConfig(() => undefined);
    config.applyIfNewer(
      createConfig({
        routes: [createRoute(route)],
        workspacesByKey: new Map([
          ['key', {workspaceId: toWorkspaceId('late'), tier: 2}],
          ['urgent', {workspaceId: toWorkspaceId('urgent'), tier: 0}],
        ]),
      }),
    );
    let pauses = true;
    const gateway = await startGatewayWithMemory(
      bodyBytes + 100,
      (message, response) => {
        if (!pauses) return answerLength(message, response);
        pauses = false;
        const id = String(message.headers['id']);
        response.writeHead(503, {id, 'not-run': '1', 'retry-after': '2'});
        response.end();
      },
      route,
      {config},
    );
    const first = await openCall(gateway.port, 'first', 'Content-Length: 0');
    await first.answered('HTTP/1.1 503 ');
    first.socket.destroy();
    const waiting = await openCall(gateway.port, 'waiting');
    waiting.socket.write(Buffer.alloc(bodyBytes));
    await delay(clock, 200);
    expect(gateway.usedBytes()).to.equal(bodyBytes);
    const urgent = await openCall(gateway.port, 'urgent', undefined, 'urgent');
    urgent.socket.write(Buffer.alloc(bodyBytes));
    await waiting.answered('"run_status":"not_run"');
    expect(waiting.received()).to.match(/^HTTP\/1\.1 503 /);
    await urgent.answered(`got ${bodyBytes}`);
    await waitUntil(() => gateway.usedBytes() === 0);
    const refused = gateway.ended.find(
      ({requestId}) => requestId === 'waiting',
    );
    expect(refused?.reason).to.include('needed by other requests');
    waiting.socket.destroy();
    urgent.socket.destroy();
    await gateway.close();
  });
});
