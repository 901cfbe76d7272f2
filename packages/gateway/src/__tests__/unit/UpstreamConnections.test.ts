import type {AddressInfo, Server, Socket} from 'node:net';
import {createServer} from 'node:net';
import {createSystemClock} from '@toucanrouter/common';
import {expect} from 'chai';
import type {UpstreamConnections} from '../../upstreams/UpstreamConnections.js';
import {createUpstreamConnections} from '../../upstreams/UpstreamConnections.js';

interface Received {
  readonly outcome: 'ended' | 'failed';
  readonly body: string;
}

/** Starts an upstream that calls `respond` on the first data of a connection. */
async function startUpstream(
  respond: (socket: Socket) => void,
): Promise<Server> {
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => respond(socket));
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return server;
}

function send(
  connections: UpstreamConnections,
  server: Server,
): Promise<Received> {
  const {port} = server.address() as AddressInfo;
  return new Promise(resolve => {
    let body = '';
    connections.send(
      {
        host: '127.0.0.1',
        port,
        method: 'GET',
        target: '/a',
        headers: [],
        body: Buffer.alloc(0),
        maxIdleMs: 1_000,
      },
      {
        sent: () => undefined,
        started: () => undefined,
        data: chunk => {
          body += chunk.toString();
        },
        ended: () => resolve({outcome: 'ended', body}),
        failed: () => resolve({outcome: 'failed', body}),
      },
    );
  });
}

/** Sends a request to an upstream that writes `text` and then closes. */
async function sendToUpstream(
  text: string,
  close: (socket: Socket) => void,
): Promise<Received> {
  const server = await startUpstream(socket =>
    socket.write(text, () => setTimeout(() => close(socket), 20)),
  );
  const connections = createUpstreamConnections(createSystemClock());
  const received = await send(connections, server);
  await connections.close();
  server.close();
  return received;
}

const end = (socket: Socket) => socket.end();
const reset = (socket: Socket) => socket.resetAndDestroy();
const head = 'HTTP/1.1 200 OK\r\nConnection: close\r\n';

describe('UpstreamConnections', () => {
  it('fails a chunked response without its last chunk', async () => {
    const text = `${head}Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n`;
    expect((await sendToUpstream(text, end)).outcome).to.equal('failed');
    expect((await sendToUpstream(text, reset)).outcome).to.equal('failed');
  });

  it('fails a response that is shorter than its content length', async () => {
    const text = `${head}Content-Length: 9\r\n\r\nabc`;
    expect((await sendToUpstream(text, end)).outcome).to.equal('failed');
    expect((await sendToUpstream(text, reset)).outcome).to.equal('failed');
  });

  it('completes a response without length only when the connection closes cleanly', async () => {
    const text = `${head}\r\nabc`;
    expect(await sendToUpstream(text, end)).to.deep.equal({
      outcome: 'ended',
      body: 'abc',
    });
    expect((await sendToUpstream(text, reset)).outcome).to.equal('failed');
  });

  it('detects a reset that arrives together with the last bytes', async () => {
    // Node.js reports such a reset as a clean close.
    const server = await startUpstream(socket => {
      socket.write(`${head}\r\nabc`);
      socket.resetAndDestroy();
    });
    const connections = createUpstreamConnections(createSystemClock());
    const outcomes: string[] = [];
    for (let round = 0; round < 20; round++) {
      outcomes.push((await send(connections, server)).outcome);
    }
    await connections.close();
    server.close();
    expect(outcomes).not.to.include('ended');
  });

  it('completes a chunked response with its last chunk', async () => {
    const text = `${head}Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n`;
    expect((await sendToUpstream(text, end)).outcome).to.equal('ended');
  });
});
