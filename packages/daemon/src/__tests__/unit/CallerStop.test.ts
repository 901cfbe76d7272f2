import {once} from 'node:events';
import type {ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {connect} from 'node:net';
import {createStopPlan, createSystemClock} from '@toucanrouter/common';
import {expect} from 'chai';
import {stopCallers} from '../../server/CallerStop.js';

const clock = createSystemClock();
const host = '127.0.0.1';
const graceMs = 1_500;

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
        for (const response of open) response.writeHead(502).end();
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

describe('stopCallers', () => {
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
