import {createServer} from 'node:http';
import {once} from 'node:events';
import {connect} from 'node:net';
import {delay} from '@toucanrouter/common';
import {expect} from 'chai';
import {createOpenRequestLimit} from '../../request/OpenRequestLimit.js';
import {sendRequestTo, startGateway} from './GatewayServerFixtures.js';
import {clock, host} from './RunningGatewayFixtures.js';

const maxBytes = 1024 * 1024;
const pipelinedCount = 50;
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
    socket.write(
      'GET /chat/x HTTP/1.1\r\nHost: h\r\nid: r\r\nauthorization: key\r\n\r\n'.repeat(
        pipelinedCount,
      ),
    );
    await waitUntil(() => gateway.inProgress() === pipelinedCount);
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
    expect(refusedCount).to.equal(pipelinedCount + 1 - maxCount);
    expect(refused).to.have.length(refusedCount);
    for (const ended of refused) {
      expect(ended).to.deep.equal([
        'overloaded',
        'the memory for open requests is in use',
      ]);
    }
    expect(limit.status().openCount).to.equal(0);
  });

  // Guards against urgent requests that find the limit used up by others.
  it('leave room for more urgent tiers', () => {
    const limit = createOpenRequestLimit(maxBytes);
    while (limit.tryOpen(3));
    const {openCount, maxCount} = limit.status();
    expect(openCount).to.be.within(1, maxCount / 2 + 1);
    expect(limit.tryOpen(0)).to.equal(true);
    while (limit.tryOpen(0));
    expect(limit.status().openCount).to.equal(maxCount);
    expect(limit.tryOpen(0)).to.equal(false);
    limit.close();
    expect(limit.tryOpen(0)).to.equal(true);
  });
});
