import {once} from 'node:events';
import type {Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {connect} from 'node:net';
import {expect} from 'chai';
import {
  answerBeforeErrors,
  createSystemClock,
  delay,
  lingerAfterLastResponse,
} from '../../index.js';

const clock = createSystemClock();
const host = '127.0.0.1';
const headTimeoutMs = 150;
const checkMs = 50;
/** Time until the answers are sent, after all errors. */
const holdMs = 500;
const endMs = 400;
const largeBytes = 32 * 1024;
const head = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n';
const post = 'POST / HTTP/1.1\r\nHost: h\r\n';

const faults = [
  ['bytes that are not HTTP', '\u0001\u0002\r\n\r\n', 400],
  ['a head that does not end', head.slice(0, 20), 408],
  [
    'a head that is too large',
    `${post}A: ${'x'.repeat(largeBytes)}\r\n\r\n`,
    431,
  ],
  [
    'a chunk that is not one',
    `${post}Transfer-Encoding: chunked\r\n\r\nx\r\n`,
    400,
  ],
  [
    'a chunk extension that is too large',
    `${post}Transfer-Encoding: chunked\r\n\r\n1;${'x'.repeat(largeBytes)}\r\n`,
    413,
  ],
] as const;

/** Answers GET after a while, and POST once its body has arrived. */
function createHoldingServer(): Server {
  const answer = (response: ServerResponse) => {
    if (!response.headersSent) response.end('whole');
  };
  return createServer(
    {headersTimeout: headTimeoutMs, connectionsCheckingInterval: checkMs},
    (message, response) => {
      if (message.method === 'POST') {
        message.resume();
        message.once('end', () => answer(response));
      } else void delay(clock, holdMs).then(() => answer(response));
    },
  );
}

function createMendedServer(): Server {
  const server = createHoldingServer();
  lingerAfterLastResponse(server, clock);
  answerBeforeErrors(server);
  return server;
}

/** Returns all that `server` answers to `sent`, without dates. */
async function answersOf(server: Server, sent: string): Promise<string> {
  server.listen(0, host);
  await once(server, 'listening');
  const socket = connect((server.address() as AddressInfo).port, host);
  let received = '';
  socket.on('data', chunk => (received += String(chunk)));
  socket.on('error', () => undefined);
  socket.on('close', () => (received += '[closed]'));
  socket.write(sent);
  await delay(clock, holdMs / 2);
  // Whatever follows an error is not served.
  socket.write(head);
  await delay(clock, holdMs / 2 + endMs);
  socket.destroy();
  server.closeAllConnections();
  server.close();
  return received.replace(/^Date: .*\r\n/gm, '');
}

describe('Errors of a connection', () => {
  // Guards against requests that are run and end without their answers, because
  // of bytes that follow them.
  for (const [name, sent, status] of faults) {
    it(`follow the answers of earlier requests: ${name}`, async () => {
      const received = await answersOf(
        createMendedServer(),
        head + head + sent,
      );
      const statuses = [...received.matchAll(/HTTP\/1\.1 (\d+)/g)];
      expect(statuses.map(([, text]) => Number(text))).to.deep.equal([
        200,
        200,
        status,
      ]);
      expect(received.match(/whole/g)).to.have.length(2);
      expect(received).to.match(/\[closed\]$/);
    });

    // Guards against other answers than before where nothing waits.
    it(`are answered as by Node.js without earlier requests: ${name}`, async () => {
      const usual = await answersOf(createHoldingServer(), sent);
      const received = await answersOf(createMendedServer(), sent);
      expect(usual).to.match(new RegExp(`^HTTP/1\\.1 ${status} `));
      expect(received).to.equal(usual);
    });
  }
});
