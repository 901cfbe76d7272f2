import {once} from 'node:events';
import type {ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import {connect} from 'node:net';
import {delay, createOpenRequestLimit} from '@toucanrouter/common';
import {expect} from 'chai';
import {sendRequestTo, startGateway} from './GatewayServerFixtures.js';
import {clock, host} from './RunningGatewayFixtures.js';

const maxBytes = 1024 * 1024;
const pipelinedCount = 50;
const fewCount = 5;
const head =
  'GET /chat/x HTTP/1.1\r\nHost: h\r\nid: r\r\nauthorization: key\r\n\r\n';
const checkMs = 20;
const maxWaitMs = 5_000;
const timeoutMs = 10_000;

async function waitUntil(isTrue: () => boolean): Promise<void> {
  const endMs = clock.nowMs() + maxWaitMs;
  while (!isTrue() && clock.nowMs() < endMs) await delay(clock, checkMs);
}

describe('Open requests', () => {
  // Guards against open requests whose number nothing bounds.
  it('are refused without being run once the heap has no room', async () => {
    let receivedCount = 0;
    const silent = createServer(() => {
      receivedCount += 1;
    });
    const limit = createOpenRequestLimit(maxBytes);
    const {maxCount} = limit.status();
    const gateway = await startGateway(
      {tier: 0, timeoutMs, targetLatencyMs: timeoutMs},
      [silent],
      {
        openRequestLimit: limit,
      },
    );
    const socket = connect(gateway.port, host);
    await once(socket, 'connect');
    socket.write(head.repeat(pipelinedCount));
    // The first that does not fit is the last one that is read there.
    await waitUntil(() => gateway.inProgress() === maxCount + 1);
    await waitUntil(() => receivedCount === maxCount);
    const response = await sendRequestTo(gateway.port);
    const refused = gateway.ended.map(({outcome, reason}) => [outcome, reason]);
    const {openCount, refusedCount} = limit.status();
    socket.destroy();
    await waitUntil(() => limit.status().openCount === 0);
    silent.closeAllConnections();
    await gateway.close();
    expect(response.status).to.equal(503);
    expect(Number(response.retryAfter)).to.be.greaterThan(0);
    expect(receivedCount).to.equal(maxCount);
    expect(openCount).to.equal(maxCount);
    expect(refusedCount).to.equal(2);
    expect(refused).to.have.length(refusedCount);
    for (const ended of refused) {
      expect(ended).to.deep.equal([
        'overloaded',
        'the memory for open requests is in use',
      ]);
    }
    expect(limit.status().openCount).to.equal(0);
  });

  // Guards against a connection that is closed without an answer to a request
  // that was passed on, and against one that closes although its caller behaves.
  it('are all answered before a connection with a refused one closes', async () => {
    const waiting: ServerResponse[] = [];
    const slow = createServer((message, response) => {
      response.setHeader('id', String(message.headers['id']));
      response.setHeader('mark', 'm');
      waiting.push(response);
    });
    const limit = createOpenRequestLimit(maxBytes);
    const {maxCount} = limit.status();
    const gateway = await startGateway(
      {tier: 0, timeoutMs, targetLatencyMs: timeoutMs, streams: false},
      [slow],
      {openRequestLimit: limit},
    );
    const socket = connect(gateway.port, host);
    let received = '';
    socket.on('data', chunk => (received += String(chunk)));
    const ended = once(socket, 'end');
    socket.write(head.repeat(fewCount));
    await waitUntil(() => waiting.length === fewCount);
    for (const response of waiting.splice(0)) response.end('whole');
    const few = () => received.match(/HTTP\/1\.1 200/g)?.length;
    await waitUntil(() => few() === fewCount);
    expect(few()).to.equal(fewCount);
    expect(received).not.to.match(/connection: close/i);
    received = '';
    socket.write(head.repeat(pipelinedCount));
    await waitUntil(() => waiting.length === maxCount);
    socket.write(head.repeat(pipelinedCount));
    const inProgress = gateway.inProgress();
    for (const response of waiting) response.end('whole');
    await ended;
    await gateway.close();
    const statuses = [...received.matchAll(/HTTP\/1\.1 (\d+)/g)];
    expect(inProgress).to.equal(maxCount + 1);
    expect(waiting).to.have.length(maxCount);
    expect(statuses.map(([, status]) => status)).to.deep.equal([
      ...Array.from({length: maxCount}, () => '200'),
      '503',
    ]);
    expect(received.match(/connection: close/gi)).to.have.length(1);
  });

  // Guards against a caller whose leaving is not noticed once nothing more of
  // what it sends is served.
  it('end when their caller leaves a connection with a refused one', async () => {
    let openCount = 0;
    const silent = createServer((_, response) => {
      openCount += 1;
      response.once('close', () => (openCount -= 1));
    });
    const limit = createOpenRequestLimit(maxBytes);
    const {maxCount} = limit.status();
    const gateway = await startGateway(
      {tier: 0, timeoutMs, targetLatencyMs: timeoutMs},
      [silent],
      {openRequestLimit: limit},
    );
    const socket = connect(gateway.port, host);
    await once(socket, 'connect');
    socket.write(head.repeat(pipelinedCount));
    await waitUntil(() => openCount === maxCount);
    const passedOnCount = openCount;
    const bodyBytes = 1024 * 1024;
    socket.write(
      `POST /chat/x HTTP/1.1\r\nHost: h\r\nContent-Length: ${bodyBytes}\r\n\r\n`,
    );
    socket.end(Buffer.alloc(bodyBytes));
    await once(socket, 'finish');
    socket.destroy();
    await waitUntil(() => openCount === 0);
    const {openCount: countedCount} = limit.status();
    const inProgress = gateway.inProgress();
    silent.closeAllConnections();
    await gateway.close();
    expect(passedOnCount).to.equal(maxCount);
    expect(openCount).to.equal(0);
    expect(inProgress).to.equal(0);
    expect(countedCount).to.equal(0);
  });

  // Guards against requests that nothing counts while the configuration is
  // confirmed, also of callers that have left.
  it('count while they wait for the configuration', async () => {
    let endWait = (): void => undefined;
    const confirmed = new Promise<void>(resolve => (endWait = resolve));
    const silent = createServer();
    const limit = createOpenRequestLimit(maxBytes);
    const {maxCount} = limit.status();
    const gateway = await startGateway(
      {tier: 0, timeoutMs, targetLatencyMs: timeoutMs},
      [silent],
      {
        openRequestLimit: limit,
        maxConfigAgeMs: () => -1,
        confirmConfig: () => confirmed,
      },
    );
    for (let count = 0; count < maxCount; count += 1) {
      const socket = connect(gateway.port, host);
      await once(socket, 'connect');
      socket.write(head);
      await waitUntil(() => gateway.inProgress() === 1);
      socket.destroy();
      await waitUntil(() => gateway.inProgress() === 0);
    }
    const {openCount} = limit.status();
    const response = await sendRequestTo(gateway.port);
    endWait();
    await waitUntil(() => limit.status().openCount === 0);
    await gateway.close();
    expect(openCount).to.equal(maxCount);
    expect(response.status).to.equal(503);
    expect(Number(response.retryAfter)).to.be.greaterThan(0);
    expect(limit.status().openCount).to.equal(0);
  });

  // Guards against heads that hold more than a request counts with.
  it('count with the size of their heads', () => {
    const limit = createOpenRequestLimit(maxBytes);
    const headBytes = 64 * 1024;
    let count = 0;
    while (limit.tryOpen(headBytes) !== undefined) count += 1;
    expect(count).to.be.within(1, maxBytes / (2 * headBytes));
  });

  // Guards against urgent requests that find the limit used up by others.
  it('leave room for more urgent tiers', () => {
    const limit = createOpenRequestLimit(maxBytes);
    const tryAdmit = (tier: number) => {
      const share = limit.tryOpen(0);
      if (share?.tryAdmit(tier) === true) return share;
      share?.close();
      return undefined;
    };
    while (tryAdmit(3) !== undefined);
    const {openCount, maxCount} = limit.status();
    expect(openCount).to.be.within(1, maxCount / 2 + 1);
    const urgent = tryAdmit(0);
    expect(urgent).not.to.equal(undefined);
    while (tryAdmit(0) !== undefined);
    expect(limit.status().openCount).to.equal(maxCount);
    expect(tryAdmit(0)).to.equal(undefined);
    urgent?.close();
    expect(tryAdmit(0)).not.to.equal(undefined);
  });
});
