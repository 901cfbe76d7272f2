import {once} from 'node:events';
import {connect} from 'node:net';
import {createSystemClock, delay} from '@toucanrouter/common';
import {expect} from 'chai';
import {ok} from 'neverthrow';
import type {Exchange, Filter} from '../../request/Exchange.js';
import {startLimitedServer} from './CallerServerFixture.js';

const clock = createSystemClock();
const host = '127.0.0.1';
const openRequestBytes = 1024 * 1024;
const burstCount = 50;
const maxWaitMs = 5_000;
const pollMs = 10;

async function waitUntil(isTrue: () => boolean): Promise<void> {
  const endMs = clock.nowMs() + maxWaitMs;
  while (!isTrue() && clock.nowMs() < endMs) await delay(clock, pollMs);
}

function headOf(path: string): string {
  return `GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`;
}

/** A filter whose calls wait until they are answered together. */
function createHeldFilter() {
  const held: Exchange[] = [];
  let release = (): void => undefined;
  const released = new Promise<void>(resolve => (release = resolve));
  const filter: Filter = async exchange => {
    held.push(exchange);
    await released;
    exchange.response.send(200, {}, Buffer.from('whole'));
    return ok(undefined);
  };
  return {filter, held, release: () => release()};
}

describe('Open calls', () => {
  // Guards against a heap that is filled by requests behind unanswered ones, and
  // against a connection that closes before what was passed on is answered.
  for (const [name, head] of [
    ['to /services/tier-1/x', headOf('/services/tier-1/x')],
    ['to /unknown', headOf('/unknown')],
    [
      'with an unknown expectation',
      'GET / HTTP/1.1\r\nHost: h\r\nExpect: x\r\n\r\n',
    ],
    ['without a host', 'GET / HTTP/1.1\r\n\r\n'],
    ['with an invalid host', 'GET / HTTP/1.1\r\nHost: [\r\n\r\n'],
  ] as const) {
    it(`are bounded and answered before a burst ${name} ends its connection`, async () => {
      const {filter, held, release} = createHeldFilter();
      const server = await startLimitedServer({filter, openRequestBytes});
      const {maxCount} = server.openRequests.status();
      const socket = connect(server.port, host);
      let received = '';
      socket.on('data', chunk => (received += String(chunk)));
      const ended = once(socket, 'end');
      socket.write(headOf('/services/tier-1/x'));
      await waitUntil(() => held.length === 1);
      socket.write(head.repeat(burstCount));
      await delay(clock, 200);
      socket.write(head.repeat(burstCount));
      await delay(clock, 200);
      const {openCount} = server.openRequests.status();
      release();
      await ended;
      await server.close();
      const statuses = [...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(
        ([, status]) => status,
      );
      expect(openCount).to.be.within(1, maxCount);
      expect(statuses.length).to.be.within(held.length + 1, maxCount + 1);
      expect(statuses.slice(0, held.length)).to.deep.equal(
        held.map(() => '200'),
      );
      expect(statuses.slice(held.length)).not.to.include('200');
      expect(received.match(/connection: close/gi)).to.have.length(1);
    });
  }

  // Guards against a call that is run and ends without its answer, because of
  // bytes that follow it.
  it('are answered before an error of their connection', async () => {
    const {filter, held, release} = createHeldFilter();
    const server = await startLimitedServer({filter});
    const socket = connect(server.port, host);
    let received = '';
    socket.on('data', chunk => (received += String(chunk)));
    const ended = once(socket, 'end');
    socket.write(headOf('/services/tier-1/x').repeat(2));
    await waitUntil(() => held.length === 2);
    socket.write('\u0001\u0002 bad\r\n\r\n');
    await delay(clock, 200);
    release();
    await ended;
    await server.close();
    const statuses = [...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(
      ([, status]) => status,
    );
    expect(statuses).to.deep.equal(['200', '200', '400']);
    expect(received.match(/whole/g)).to.have.length(2);
  });
});
