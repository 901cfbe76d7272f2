import {once} from 'node:events';
import {createServer} from 'node:http';
import {connect} from 'node:net';
import {createSeededRandom, delay} from '@toucanrouter/common';
import {expect} from 'chai';
import {clock, host, startGateway} from './RunningGatewayFixtures.js';

const head = 'GET /chat/x HTTP/1.1\r\nHost: h\r\nid: r\r\n\r\n';
/** Longer than the head timeout and the time between its checks together. */
const answerMs = 5_000;
const timeoutMs = 10_000;
const passedOnMs = 300;

describe('Gateway on a connection with an error', () => {
  // Guards against a request that is run and ends without its answer, because of
  // bytes that follow it.
  for (const [name, sent, status] of [
    ['an unfinished head', head.slice(0, 20), 408],
    ['bytes that are not HTTP', '\u0001\u0002 bad\r\n\r\n', 400],
    [
      'an unfinished body',
      'POST /chat/x HTTP/1.1\r\nHost: h\r\nid: p\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n',
      400,
    ],
  ] as const) {
    it(`answers the request before ${name}, and no later one`, async () => {
      let passedOnCount = 0;
      const upstream = createServer((message, response) => {
        passedOnCount += 1;
        void delay(clock, answerMs).then(() => {
          response.writeHead(200, {
            id: String(message.headers['id']),
            mark: 'm',
          });
          response.end('whole');
        });
      });
      upstream.listen(0, host);
      await once(upstream, 'listening');
      const {gateway, port} = await startGateway(
        upstream,
        createSeededRandom(1),
        {route: {timeoutMs, targetLatencyMs: timeoutMs}},
      );
      const socket = connect(port, host);
      let received = '';
      socket.on('data', chunk => (received += String(chunk)));
      socket.on('error', () => undefined);
      const closed = once(socket, 'close');
      socket.write(head);
      await delay(clock, passedOnMs);
      socket.write(sent);
      await closed;
      upstream.closeAllConnections();
      upstream.close();
      await gateway.close();
      const statuses = [...received.matchAll(/HTTP\/1\.1 (\d+)/g)];
      expect(statuses.map(([, text]) => Number(text))).to.deep.equal([
        200,
        status,
      ]);
      expect(received).to.contain('whole');
      expect(passedOnCount).to.equal(1);
    });
  }
});
