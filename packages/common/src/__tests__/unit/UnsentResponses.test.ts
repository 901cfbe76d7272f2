import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {connect} from 'node:net';
import {expect} from 'chai';
import {spareUnsentResponses} from '../../index.js';

const host = '127.0.0.1';

/** Starts a server that responds to each request with `bodyBytes` bytes. */
async function startServer(bodyBytes: number) {
  const server = createServer((message, response) => {
    message.resume();
    message.once('end', () => response.end(Buffer.alloc(bodyBytes)));
  });
  spareUnsentResponses(server);
  server.listen(0, host);
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const socket: Socket = connect({host, port});
  await once(server, 'connection');
  return {server, socket};
}

const bodyHead = 'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n';

/** The next response, or how the connection ends without one. */
function outcomeOf(socket: Socket): Promise<string> {
  return Promise.race([
    once(socket, 'data').then(([response]) => String(response)),
    once(socket, 'close').then(() => 'closed'),
  ]).catch((error: unknown) => String(error));
}

/** Starts a server and makes a call, after which its connection is idle. */
async function startIdle() {
  const started = await startServer(1);
  started.socket.write(`${bodyHead}ab`);
  await once(started.socket, 'data');
  await new Promise(resolve => setTimeout(resolve, 50));
  return started;
}

describe('spareUnsentResponses', () => {
  it('closes a connection whose response was received', async () => {
    const {server, socket} = await startServer(1);
    socket.write(`${bodyHead}ab`);
    await once(socket, 'data');
    socket.resume();
    server.close();
    await once(server, 'close');
    socket.destroy();
  });

  // Guards against cutting a caller that has just connected.
  it('keeps a connection whose first request is yet to arrive', async () => {
    const {server, socket} = await startServer(1);
    server.closeIdleConnections();
    socket.write(`${bodyHead}ab`);
    const [response] = (await once(socket, 'data')) as [Buffer];
    expect(response.toString()).to.match(/^HTTP\/1\.1 200 /);
    socket.destroy();
    server.close();
  });

  it('keeps a connection on which a request waits unread', async () => {
    const {server, socket} = await startIdle();
    const outcome = outcomeOf(socket);
    // The operating system has the bytes before the next line runs.
    socket.write(`${bodyHead}ab`);
    server.closeIdleConnections();
    const response = await outcome;
    socket.destroy();
    server.close();
    expect(response).to.match(/^HTTP\/1\.1 200 /);
  });

  it('keeps a connection on which a request arrives in a long turn', async () => {
    const {server, socket} = await startIdle();
    const outcome = outcomeOf(socket);
    // The second turn has read the sockets and is long then.
    setImmediate(() =>
      setImmediate(() => {
        const untilMs = Date.now() + 200;
        while (Date.now() < untilMs);
        socket.write(`${bodyHead}ab`);
      }),
    );
    server.closeIdleConnections();
    const response = await outcome;
    socket.destroy();
    server.close();
    expect(response).to.match(/^HTTP\/1\.1 200 /);
  });

  // Guards against connections that stay open, and hold up a stop, where each
  // turn of the event loop is long.
  it('closes idle connections while all turns are long', async () => {
    const {server, socket} = await startIdle();
    let isClosed = false;
    socket.on('close', () => (isClosed = true)).resume();
    const turnMs = 60;
    const endMs = performance.now() + 3_000;
    server.closeIdleConnections();
    while (!isClosed && performance.now() < endMs) {
      const untilMs = performance.now() + turnMs;
      while (performance.now() < untilMs);
      await new Promise(resolve => setImmediate(resolve));
    }
    socket.destroy();
    server.close();
    expect(isClosed).to.equal(true);
  });

  it('keeps a connection on which a head or a body is arriving', async () => {
    for (const part of ['POST / HT', `${bodyHead}a`]) {
      const {server, socket} = await startServer(1);
      socket.write(part);
      await new Promise(resolve => setTimeout(resolve, 50));
      server.closeIdleConnections();
      socket.write(`${bodyHead}ab`.slice(part.length));
      const [response] = (await once(socket, 'data')) as [Buffer];
      expect(response.toString()).to.match(/^HTTP\/1\.1 200 /);
      socket.destroy();
      server.close();
    }
  });
});
