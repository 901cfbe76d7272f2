import {once} from 'node:events';
import type {ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {connect} from 'node:net';
import {Worker} from 'node:worker_threads';
import {createStopPlan, createSystemClock, delay} from '@toucanrouter/common';
import {expect} from 'chai';
import {stopCallers} from '../../server/CallerStop.js';

const clock = createSystemClock();
const host = '127.0.0.1';
const graceMs = 1_500;
const longGraceMs = 100_000;

/** Stops a server after a caller has sent `text`; its calls never finish. */
async function stopBeside(text: string) {
  const open = new Set<ServerResponse>();
  let recordedCount = 0;
  const server = createServer((_, response) => {
    open.add(response);
    response.once('close', () => open.delete(response));
  });
  server.listen(0, host);
  await once(server, 'listening');
  const socket = connect((server.address() as AddressInfo).port, host);
  let received = '';
  socket.on('data', chunk => (received += String(chunk)));
  socket.on('error', () => undefined);
  socket.write(text);
  const isGone = once(socket, 'close');
  const startedAtMs = clock.nowMs();
  const {cutRequests} = await stopCallers({
    clock,
    callers: {
      server,
      requestsInProgress: () => open.size,
      drainConnections: () => server.closeIdleConnections(),
      endCalls: () => {
        for (const response of open) {
          if (!response.headersSent) response.writeHead(502).end();
        }
      },
    },
    plan: createStopPlan({
      receivedAtMs: startedAtMs,
      signalDelayMs: 0,
      graceMs,
      noticeMs: 100,
      loopDelayMs: () => 0,
    }),
    callsRecorded: () => {
      recordedCount += 1;
      return Promise.resolve();
    },
  });
  const tookMs = clock.nowMs() - startedAtMs;
  await isGone;
  return {received, tookMs, cutRequests, recordedCount};
}

const waitingCallerCount = 100;
const waitingCallers = `
  const {workerData} = require('node:worker_threads');
  const {connect} = require('node:net');
  const {port, host, count, counts} = workerData;
  for (let index = 0; index < count; index++) {
    const socket = connect(port, host, () => Atomics.add(counts, 0, 1));
    socket.write('GET /services/s/x HTTP/1.1\\r\\nhost: h\\r\\n\\r\\n');
    socket.once('data', answer => {
      if (/^HTTP.1.1 502 /.test(String(answer))) Atomics.add(counts, 1, 1);
    });
    socket.on('error', () => undefined);
  }
`;

/** Stops a server beside calls that wait at its port; returns those answered. */
async function answeredOfWaiting(signalDelayMs: number): Promise<number> {
  const open = new Set<ServerResponse>();
  const server = createServer((_, response) => {
    open.add(response);
    response.once('close', () => open.delete(response));
  });
  server.listen({port: 0, host, backlog: 1_024});
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const counts = new Int32Array(new SharedArrayBuffer(8));
  const workerData = {port, host, count: waitingCallerCount, counts};
  const worker = new Worker(waitingCallers, {eval: true, workerData});
  await once(worker, 'online');
  while (Atomics.load(counts, 0) < waitingCallerCount);
  await stopCallers({
    clock,
    callers: {
      server,
      requestsInProgress: () => open.size,
      drainConnections: () => undefined,
      endCalls: () => {
        for (const response of open) {
          if (response.headersSent) continue;
          response.writeHead(502, {connection: 'close'}).end();
        }
      },
    },
    plan: createStopPlan({
      receivedAtMs: clock.nowMs(),
      signalDelayMs,
      graceMs: longGraceMs,
      noticeMs: 100,
      loopDelayMs: () => 0,
    }),
    callsRecorded: () => Promise.resolve(),
  });
  await delay(clock, 200);
  await worker.terminate();
  return counts[1] ?? 0;
}

describe('stopCallers', () => {
  // Guards against a stop that resets what waits at its port once the last
  // answers are due, although the time for them has just begun.
  it('answers calls that wait at its port when the last answers are due', async () => {
    // The reserve is a tenth of the grace period, four tenths of it for answers.
    const answeredCount = await answeredOfWaiting(longGraceMs * 0.91);
    expect(answeredCount).to.equal(waitingCallerCount);
  });

  // Guards against a stop that waits for ever for a call.
  it('gives a call that does not finish its final answer within the grace period', async () => {
    const {cutRequests, received, recordedCount, tookMs} = await stopBeside(
      'GET /services/s/x HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n',
    );
    expect(received).to.match(/^HTTP\/1\.1 502 /);
    expect(cutRequests).to.equal(1);
    expect(recordedCount).to.equal(1);
    expect(tookMs).to.be.below(graceMs);
  });

  // Guards against a stop that waits for ever for a caller that sends nothing.
  it('ends within the grace period although a caller sends half a request', async () => {
    const {cutRequests, tookMs} = await stopBeside('GET /services/s/x HTTP');
    expect(cutRequests).to.equal(0);
    expect(tookMs).to.be.below(graceMs);
  });
});
