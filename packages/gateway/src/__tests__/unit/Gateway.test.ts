import {once} from 'node:events';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer, request as sendRequest} from 'node:http';
import type {Socket} from 'node:net';
import {connect} from 'node:net';
import {Worker} from 'node:worker_threads';
import type {RandomSource} from '@toucanrouter/common';
import {createSeededRandom, delay} from '@toucanrouter/common';
import {expect} from 'chai';
import type {GatewayRoute} from '../../config/GatewayConfig.js';
import {clock, host, startGateway} from './RunningGatewayFixtures.js';

/** The load balancer opens no connections later than this after a stop. */
const loadBalancerDelayMs = 2_600;
const maxResponseMs = 150;
/** Callers send their request within this time of opening a connection. */
const maxUnusedMs = 250;

/** Ends shortly after the load balancer's delay. */
const shortGraceMs = 3_200;
/** The process needs this time to exit after its gateway has closed. */
const exitReserveMs = 100;
/** Enough for callers that learn late of a stop and for their answers. */
const maxDrainMs = 2_000;
const silent = () => undefined;

const waitingCallerCount = 100;
/** Sends requests while the thread of the gateway is blocked. */
const waitingCallers = `
  const {workerData} = require('node:worker_threads');
  const {connect} = require('node:net');
  const {port, host, count, counts} = workerData;
  for (let index = 0; index < count; index++) {
    const socket = connect(port, host, () => Atomics.add(counts, 0, 1));
    socket.write('GET /chat/x HTTP/1.1\\r\\nhost: h\\r\\nid: r\\r\\n\\r\\n');
    socket.once('data', answer => {
      if (/^HTTP.1.1 503 /.test(String(answer))) Atomics.add(counts, 1, 1);
    });
    socket.on('error', () => undefined);
  }
`;

/** Blocks the event loop for `blockMs` again and again; returns the end of it. */
function keepLoopBusy(blockMs: number): () => void {
  const timer = setInterval(() => {
    const endMs = clock.nowMs() + blockMs;
    while (clock.nowMs() < endMs);
  }, 1);
  return () => clearInterval(timer);
}

/** Starts an upstream that responds after a random time. */
async function startUpstream(random: RandomSource): Promise<Server> {
  const server = createServer((message, response) => {
    message.resume();
    const id = String(message.headers['id']);
    setTimeout(() => {
      response.writeHead(200, {id, mark: 'm'});
      response.end(id);
    }, random.next() * maxResponseMs);
  });
  await new Promise<void>(resolve => server.listen(0, host, resolve));
  return server;
}

/**
 * Sends a request, starts to read its response only when `mayRead` resolves, and
 * resolves to the number of body bytes and whether the response was complete.
 */
async function readLate(
  port: number,
  mayRead: Promise<void>,
): Promise<{readonly bodyBytes: number; readonly complete: boolean}> {
  const headers = {id: 'late', host: 'h'};
  const message = sendRequest({host, port, path: '/chat/x', headers});
  message.end();
  const [response] = (await once(message, 'response')) as [IncomingMessage];
  response.pause();
  await mayRead;
  let bodyBytes = 0;
  response.on('data', (chunk: Buffer) => (bodyBytes += chunk.length));
  response.on('error', () => undefined);
  response.resume();
  await new Promise<void>(resolve => response.once('close', () => resolve()));
  return {bodyBytes, complete: response.complete};
}

/**
 * Opens a connection, sends a request some time later, its body in two parts,
 * and resolves to the response or the error.
 */
async function sendInParts(
  port: number,
  id: string,
  random: RandomSource,
): Promise<string> {
  const message = sendRequest({
    host,
    port,
    path: '/chat/x',
    method: 'POST',
    headers: {id, host: 'h', 'content-length': 20_000},
    agent: false,
  });
  const answered = new Promise<string>(resolve => {
    message.on('error', error => resolve(`error: ${error.message}`));
    message.on('response', response => {
      let body = '';
      response.on('data', chunk => (body += String(chunk)));
      response.on('error', () => undefined);
      response.on('close', () =>
        resolve(
          response.complete
            ? `${response.statusCode} ${response.statusCode === 200 ? body : ''}`
            : 'cut within the response',
        ),
      );
    });
  });
  await new Promise<void>(resolve =>
    message.on('socket', socket => {
      socket.once('connect', () => resolve());
      socket.once('close', () => resolve());
    }),
  );
  await delay(clock, random.next() * maxUnusedMs);
  message.write(Buffer.alloc(10_000));
  await delay(clock, random.next() * 60);
  message.end(Buffer.alloc(10_000));
  return answered;
}

async function stopUnderLoad(seed: number): Promise<readonly string[]> {
  const random = createSeededRandom(seed);
  const upstream = await startUpstream(random);
  const {gateway, port} = await startGateway(upstream, random);
  const answers: Promise<string>[] = [];
  const faults: string[] = [];
  const startedAtMs = clock.nowMs();
  const stopAfterMs = 200 + random.next() * 200;
  let stopped: Promise<void> | undefined;
  for (let index = 0; ; index++) {
    const elapsedMs = clock.nowMs() - startedAtMs;
    if (elapsedMs > stopAfterMs) stopped ??= gateway.close();
    if (elapsedMs > stopAfterMs + loadBalancerDelayMs) break;
    const id = `${seed}-${index}`;
    const answer = sendInParts(port, id, random).then(text => {
      const isServed = text === `200 ${id}`;
      const isRefused = text.startsWith('503');
      if (!isServed && !isRefused) faults.push(`${id}: ${text}`);
      return text;
    });
    answers.push(answer);
    await delay(clock, random.next() * 12);
  }
  await Promise.all(answers);
  await stopped;
  upstream.closeAllConnections();
  upstream.close();
  return faults;
}

/** Sends `text` on a new connection and resolves to all that comes back. */
async function exchangeText(
  port: number,
  text: string,
): Promise<{readonly received: string; readonly wasReset: boolean}> {
  const socket: Socket = connect(port, host);
  let received = '';
  let wasReset = false;
  socket.on('data', chunk => (received += String(chunk)));
  socket.on('error', () => (wasReset = true));
  socket.write(text);
  await new Promise<void>(resolve => socket.once('close', () => resolve()));
  return {received, wasReset};
}

/**
 * Sends `text` to a gateway whose upstream runs `handler`, stops the gateway and
 * resolves to what the caller received.
 */
async function exchangeBesideStop(
  handler: (response: ServerResponse) => void,
  text: string,
  route: Partial<GatewayRoute> = {},
) {
  const upstream = createServer((message, response) => {
    message.resume();
    handler(response);
  });
  await new Promise<void>(resolve => upstream.listen(0, host, resolve));
  const {gateway, port} = await startGateway(upstream, createSeededRandom(1), {
    settings: {stopGraceMs: shortGraceMs},
    route,
  });
  const exchanged = exchangeText(port, text);
  await delay(clock, 200);
  const startedAtMs = clock.nowMs();
  await gateway.close();
  const stopMs = clock.nowMs() - startedAtMs;
  const result = await exchanged;
  upstream.closeAllConnections();
  upstream.close();
  return {...result, stopMs};
}

describe('Gateway', () => {
  it('answers every request that was accepted while it stops under load', async () => {
    // Bodies are still being sent, and requests are still being read, when the
    // last response has been sent.
    const seeds = Array.from({length: 8}, (_, index) => index + 1);
    const faults = await Promise.all(seeds.map(stopUnderLoad));
    expect(faults.flat()).to.deep.equal([]);
  });

  // Guards against a planned stop that cuts the response to a slow caller.
  it('sends a response completely to a caller that reads slowly while it stops', async () => {
    const sentBytes = 7 * 1024 * 1024;
    const upstream = createServer((_, response) => {
      response.writeHead(200, {id: 'late', mark: 'm'});
      response.end(Buffer.alloc(sentBytes));
    });
    await new Promise<void>(resolve => upstream.listen(0, host, resolve));
    const random = createSeededRandom(1);
    const {gateway, port} = await startGateway(upstream, random);
    let stopped: Promise<void> | undefined;
    const mayRead = delay(clock, 200).then(() => {
      stopped = gateway.close();
      return delay(clock, loadBalancerDelayMs + 1_000);
    });
    const received = await readLate(port, mayRead);
    await stopped;
    upstream.closeAllConnections();
    upstream.close();
    expect(received).to.deep.equal({bodyBytes: sentBytes, complete: true});
  });

  // Guards against a stop that closes a connection whose request an upstream has.
  it('answers at the end of a stop a request whose upstream is still silent', async () => {
    const {received, stopMs} = await exchangeBesideStop(
      silent,
      'GET /chat/x HTTP/1.1\r\nhost: h\r\nid: r1\r\n\r\n',
    );
    expect(received).to.match(/^HTTP\/1\.1 502 /);
    expect(received).to.include('"run_status":"unknown"');
    expect(stopMs).to.be.below(shortGraceMs);
  });

  // Guards against a stop that gives no true refusal to a request it did not read.
  it('refuses at the end of a stop a request whose body is not complete', async () => {
    const {received} = await exchangeBesideStop(
      silent,
      'POST /chat/x HTTP/1.1\r\nhost: h\r\nid: r1\r\ncontent-length: 9\r\n\r\nhalf',
    );
    expect(received).to.match(/^HTTP\/1\.1 503 /);
    expect(received).to.include('"run_status":"not_run"');
  });

  // Guards against a stream that a stop cuts and that looks complete.
  it('resets at the end of a stop a stream whose end only the connection shows', async () => {
    const {received, wasReset} = await exchangeBesideStop(
      response => {
        response.writeHead(200, {id: 'r1', mark: 'm'});
        response.write('id: 1\ndata: e1\n\n');
      },
      'GET /chat/x HTTP/1.0\r\nhost: h\r\nid: r1\r\n\r\n',
      {streams: true, retryPolicy: 'resume'},
    );
    expect(received).to.include('data: e1');
    expect(wasReset).to.equal(true);
  });

  // Guards against a stop of a busy process that overruns the grace period.
  it('answers and ends within the grace period although the event loop runs late', async () => {
    const endBusy = keepLoopBusy(150);
    const {received, stopMs} = await exchangeBesideStop(
      silent,
      'GET /chat/x HTTP/1.1\r\nhost: h\r\nid: r1\r\n\r\n',
    ).finally(endBusy);
    expect(received).to.match(/^HTTP\/1\.1 502 /);
    expect(stopMs).to.be.below(shortGraceMs - exitReserveMs);
  });

  // Guards against a stop that learns of its signal so late that it resets what
  // waits at its port, although the platform lets the process live.
  it('refuses what waits at its port although the signal may have waited for long', async () => {
    const upstream = await startUpstream(createSeededRandom(1));
    const {gateway, port} = await startGateway(
      upstream,
      createSeededRandom(1),
      {settings: {stopGraceMs: shortGraceMs}},
    );
    const counts = new Int32Array(new SharedArrayBuffer(8));
    const workerData = {port, host, count: waitingCallerCount, counts};
    const worker = new Worker(waitingCallers, {eval: true, workerData});
    await once(worker, 'online');
    const endMs = clock.nowMs() + shortGraceMs;
    while (
      Atomics.load(counts, 0) < waitingCallerCount ||
      clock.nowMs() < endMs
    );
    await gateway.close();
    upstream.closeAllConnections();
    upstream.close();
    await delay(clock, 100);
    await worker.terminate();
    expect(counts[1]).to.equal(waitingCallerCount);
  });

  // Guards against a stop that lasts as long as callers open connections.
  it('stops soon after the notice although callers go on', async () => {
    const random = createSeededRandom(1);
    const upstream = await startUpstream(random);
    const {gateway, port} = await startGateway(upstream, random);
    const answers: Promise<string>[] = [];
    let isStopped = false;
    const startedAtMs = clock.nowMs();
    const stopped = gateway.close().then(() => (isStopped = true));
    for (let index = 0; !isStopped; index++) {
      answers.push(sendInParts(port, `${index}`, random));
      await delay(clock, 10);
    }
    await stopped;
    const stopMs = clock.nowMs() - startedAtMs;
    const texts = await Promise.all(answers);
    upstream.closeAllConnections();
    upstream.close();
    const others = texts.filter(text => !/^(200|503) |ECONNREFUSED/.test(text));
    expect(others).to.deep.equal([]);
    expect(texts.some(text => text.includes('ECONNREFUSED'))).to.equal(true);
    expect(stopMs).to.be.below(loadBalancerDelayMs + maxDrainMs);
  });

  // Guards against a request that an upstream runs and whose connection closes
  // with the response to the request before it.
  it('answers all requests that it reads on a connection while it stops', async () => {
    const random = createSeededRandom(1);
    const received: string[] = [];
    const upstream = createServer((message, response) => {
      const id = String(message.headers['id']);
      received.push(id);
      setTimeout(() => {
        response.writeHead(200, {id, mark: 'm'});
        response.end(`<${id}>`);
      }, 200);
    });
    await new Promise<void>(resolve => upstream.listen(0, host, resolve));
    const {gateway, port} = await startGateway(upstream, random);
    const stopped = gateway.close();
    const request = (id: string) =>
      `GET /chat/x HTTP/1.1\r\nhost: h\r\nid: ${id}\r\n\r\n`;
    const socket = connect(port, host);
    let text = '';
    socket.on('data', chunk => (text += String(chunk)));
    socket.write(request('r1'));
    await delay(clock, 50);
    socket.write(request('r2'));
    await new Promise<void>(resolve => socket.once('close', () => resolve()));
    await stopped;
    upstream.closeAllConnections();
    upstream.close();
    expect(received).to.deep.equal(['r1', 'r2']);
    expect(text).to.include('<r1>').and.to.include('<r2>');
    expect(text.match(/connection: close/gi)).to.have.length(1);
  });
});
