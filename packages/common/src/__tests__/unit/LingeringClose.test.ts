import {once} from 'node:events';
import type {Server} from 'node:http';
import {createServer, request as sendRequest} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {connect} from 'node:net';
import {expect} from 'chai';
import type {Clock} from '../../index.js';
import {
  createManualClock,
  createSystemClock,
  delay,
  lingerAfterLastResponse,
  maxLingerMs,
  minLingerMs,
} from '../../index.js';

const host = '127.0.0.1';
const clock = createSystemClock();
const chunk = Buffer.alloc(16 * 1024, 'b');
const rejectedStatus = 413;

/** Starts a server that rejects each request before its body has arrived. */
async function startRejectingServer(
  lingerClock: Clock = clock,
  maxSendingCount?: number,
): Promise<Server> {
  const server = createServer((_, response) => {
    response.writeHead(rejectedStatus, {connection: 'close'});
    response.end('too large');
  });
  lingerAfterLastResponse(server, lingerClock, maxSendingCount);
  server.listen(0, host);
  await once(server, 'listening');
  return server;
}

function portOf(server: Server): number {
  return (server.address() as AddressInfo).port;
}

/** Sends a body without end; resolves to the status, or 0 without a response. */
function sendEndlessBody(port: number): Promise<number> {
  return new Promise(resolve => {
    const message = sendRequest({host, port, method: 'POST', agent: false});
    let status = 0;
    const timer = setInterval(() => message.write(chunk), 1);
    message.on('response', response => {
      status = response.statusCode ?? 0;
      response.resume();
    });
    message.on('error', () => undefined);
    message.on('close', () => {
      clearInterval(timer);
      resolve(status);
    });
  });
}

/** Sends a body without end, also after the response. */
function sendOn(port: number): Socket {
  const socket = connect({host, port, allowHalfOpen: true});
  socket.on('error', () => undefined);
  socket.resume();
  socket.write(
    'POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 90000000\r\n\r\n',
  );
  const timer = setInterval(() => socket.write(chunk), 1);
  socket.once('close', () => clearInterval(timer));
  return socket;
}

describe('LingeringClose', () => {
  // Guards against a reset that overtakes the response to a caller that is
  // still sending its body.
  it('delivers the last response to callers that are still sending', async () => {
    const server = await startRejectingServer();
    const callers = Array.from({length: 40}, () =>
      sendEndlessBody(portOf(server)),
    );
    const statuses = await Promise.all(callers);
    server.closeAllConnections();
    server.close();
    expect(statuses.filter(status => status !== rejectedStatus)).to.deep.equal(
      [],
    );
  });

  it('serves no further request on a connection that it closes', async () => {
    const server = await startRejectingServer();
    let requestCount = 0;
    server.on('request', () => (requestCount += 1));
    const socket: Socket = connect({host, port: portOf(server)});
    socket.on('error', () => undefined);
    const text = 'GET / HTTP/1.1\r\nhost: h\r\n\r\n';
    socket.write(text);
    await once(socket, 'data');
    socket.write(text);
    await once(socket, 'close');
    server.closeAllConnections();
    server.close();
    expect(requestCount).to.equal(1);
  });

  it('cuts off a caller that does not close the connection', async () => {
    const server = await startRejectingServer();
    const closed = once(server, 'connection').then(([socket]) =>
      once(socket as Socket, 'close'),
    );
    const socket = connect({host, port: portOf(server), allowHalfOpen: true});
    socket.on('error', () => undefined);
    socket.write('GET / HTTP/1.1\r\nhost: h\r\n\r\n');
    const wasClosed = await Promise.race([
      closed.then(() => true),
      delay(clock, maxLingerMs * 10).then(() => false),
    ]);
    socket.destroy();
    server.closeAllConnections();
    server.close();
    expect(wasClosed).to.equal(true);
  });

  // Guards against a reset in place of the response of a caller that still sends,
  // because others do too.
  it('gives each caller time to read its response', async () => {
    const server = await startRejectingServer(createManualClock(), 2);
    const sockets = Array.from({length: 6}, () => sendOn(portOf(server)));
    await Promise.all(sockets.map(socket => once(socket, 'data')));
    await delay(clock, 100);
    const openCount = sockets.filter(({closed}) => !closed).length;
    for (const socket of sockets) socket.destroy();
    server.closeAllConnections();
    server.close();
    expect(openCount).to.equal(sockets.length);
  });

  // Guards against callers that send on after their refusal and keep connections
  // whose unread bytes fill the memory of the machine.
  it('bounds the connections of callers that still send', async () => {
    const maxSendingCount = 2;
    const lingerClock = createManualClock();
    const server = await startRejectingServer(lingerClock, maxSendingCount);
    const sockets = Array.from({length: 6}, () => sendOn(portOf(server)));
    await Promise.all(sockets.map(socket => once(socket, 'data')));
    lingerClock.advance(minLingerMs);
    const openCount = () => sockets.filter(({closed}) => !closed).length;
    for (let polls = 0; polls < 200 && openCount() > maxSendingCount; polls++) {
      await delay(clock, 10);
    }
    await delay(clock, 100);
    expect(openCount()).to.equal(maxSendingCount);
    for (const socket of sockets) socket.destroy();
    server.closeAllConnections();
    server.close();
  });
});
