import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {connect} from 'node:net';
import {expect} from 'chai';
import {
  answerBeforeErrors,
  createSystemClock,
  delay,
  readBeforeIdleTimeout,
} from '../../index.js';

const clock = createSystemClock();
const host = '127.0.0.1';
const timeoutMs = 200;
const checkMs = 20;
/** Node.js ends idle connections up to a second after their timeout. */
const pauseMs = 1_000 + 3 * timeoutMs;
/** Far above the time that the server waits once a timeout has ended. */
const closedWithinMs = 5_000;
const head = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n';
const partOfHead = head.slice(0, 20);

/** Keeps the process from reading and from noticing the time. */
function pause(): void {
  const untilMs = clock.nowMs() + pauseMs;
  while (clock.nowMs() < untilMs);
}

async function startConnection() {
  const server = createServer(
    {
      headersTimeout: timeoutMs,
      keepAliveTimeout: timeoutMs,
      connectionsCheckingInterval: checkMs,
    },
    (_message, response) => response.end('served'),
  );
  answerBeforeErrors(server);
  readBeforeIdleTimeout(server);
  server.listen(0, host);
  await once(server, 'listening');
  const socket = connect((server.address() as AddressInfo).port, host);
  let closed = false;
  socket.on('error', () => undefined);
  socket.on('close', () => (closed = true));
  await once(server, 'connection');
  return {
    socket,
    isClosed: () => closed,
    /** The statuses that arrive until the connection is closed. */
    statuses: async () => {
      let received = '';
      socket.on('data', chunk => (received += String(chunk)));
      const endMs = clock.nowMs() + closedWithinMs;
      while (!closed && clock.nowMs() < endMs) await delay(clock, checkMs);
      const found = received.matchAll(/HTTP\/1\.1 (\d+)/g);
      return [...found].map(([, status]) => Number(status));
    },
    close: () => {
      socket.destroy();
      server.closeAllConnections();
      server.close();
    },
  };
}

describe('Timeouts of a connection', () => {
  // Guards against a reset for a request that arrived within the idle timeout of
  // its connection, while the process was paused.
  it('serve a request that arrived before the idle timeout', async () => {
    const {close, isClosed, socket, statuses} = await startConnection();
    socket.write(head);
    await once(socket, 'data');
    // The operating system has the bytes before the next line runs.
    socket.write(head);
    pause();
    const received = await statuses();
    expect(received).to.deep.equal([200]);
    // The idle timeout counts from the second response then.
    expect(isClosed()).to.equal(true);
    close();
  });

  // Guards against a 408 for a head that arrived in time, while the process was
  // paused.
  it('serve a request whose head arrived before its timeout', async () => {
    const {close, socket, statuses} = await startConnection();
    socket.write(partOfHead);
    await delay(clock, timeoutMs / 4);
    socket.write(head.slice(partOfHead.length));
    pause();
    expect(await statuses()).to.deep.equal([200]);
    close();
  });

  // Guards against heads that never end and keep their connection after a pause.
  it('still end a head that is not complete after a pause', async () => {
    const {close, isClosed, socket, statuses} = await startConnection();
    socket.write(partOfHead.slice(0, 5));
    await delay(clock, timeoutMs / 4);
    socket.write(partOfHead.slice(5));
    pause();
    expect(await statuses()).to.deep.equal([408]);
    expect(isClosed()).to.equal(true);
    close();
  });
});
