import {once} from 'node:events';
import type {RequestListener, Server} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {connect} from 'node:net';
import {expect} from 'chai';
import {
  createSystemClock,
  delay,
  handOverRefusedRequests,
  sendRefusal,
  unrefusedOptions,
} from '../../index.js';

const clock = createSystemClock();
const host = '127.0.0.1';
const answerMs = 150;

const serve: RequestListener = (message, response) => {
  message.resume();
  message.once('end', () => response.end('served'));
};

function createRefusingServer(): Server {
  const server = createServer(unrefusedOptions, (message, response) => {
    const refusal = refusedRequests.refusalOf(message);
    if (refusal === undefined) serve(message, response);
    else sendRefusal(response, refusal.status, refusal.mustClose);
  });
  const refusedRequests = handOverRefusedRequests(server);
  return server;
}

/** Returns all that `server` answers to `sent`, without dates. */
async function answersOf(server: Server, sent: string): Promise<string> {
  server.listen(0, host);
  await once(server, 'listening');
  const socket = connect((server.address() as AddressInfo).port, host);
  let received = '';
  socket.on('data', chunk => (received += String(chunk)));
  socket.on('close', () => (received += '[closed]'));
  socket.write(sent);
  await delay(clock, answerMs);
  socket.destroy();
  server.closeAllConnections();
  server.close();
  return received.replace(/^Date: .*\r\n/gm, '');
}

describe('Requests that Node.js would refuse', () => {
  // Guards against callers that get other answers since they are handed over.
  for (const [name, head, status] of [
    ['without a host', 'GET / HTTP/1.1\r\n', 400],
    [
      'with an unknown expectation',
      'GET / HTTP/1.1\r\nHost: h\r\nExpect: x\r\n',
      417,
    ],
    ['with neither', 'GET / HTTP/1.1\r\nExpect: x\r\n', 400],
    [
      'that await 100 without a host',
      'GET / HTTP/1.1\r\nExpect: 100-continue\r\n',
      400,
    ],
    [
      'that await 100',
      'GET / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n',
      100,
    ],
    [
      'of HTTP/1.0',
      'GET / HTTP/1.0\r\nConnection: keep-alive\r\nExpect: x\r\n',
      200,
    ],
    ['without a fault', 'GET / HTTP/1.1\r\nHost: h\r\n', 200],
  ] as const) {
    it(`get the same answers ${name}`, async () => {
      const sent = `${head}\r\n${head}Content-Length: 2\r\n\r\nab`;
      const usual = await answersOf(createServer(serve), sent);
      const answers = await answersOf(createRefusingServer(), sent);
      expect(usual).to.match(new RegExp(`^HTTP/1\\.1 ${status} `));
      expect(answers).to.equal(usual);
    });
  }
});
