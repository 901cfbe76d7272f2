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

/** Starts an upstream that handles each connection with `answer`. */
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

/** Asks an upstream that sends `text` and then closes the connection. */
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
  it('does not take an answer in chunks without its last chunk for whole', async () => {
    const text = `${head}Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n`;
    expect((await sendToUpstream(text, end)).outcome).to.equal('failed');
    expect((await sendToUpstream(text, reset)).outcome).to.equal('failed');
  });

  it('does not take an answer that is shorter than its length for whole', async () => {
    const text = `${head}Content-Length: 9\r\n\r\nabc`;
    expect((await sendToUpstream(text, end)).outcome).to.equal('failed');
    expect((await sendToUpstream(text, reset)).outcome).to.equal('failed');
  });

  it('takes an answer without length for whole only when the connection ends in order', async () => {
    const text = `${head}\r\nabc`;
    expect(await sendToUpstream(text, end)).to.deep.equal({
      outcome: 'ended',
      body: 'abc',
    });
    expect((await sendToUpstream(text, reset)).outcome).to.equal('failed');
  });

  it('notices a reset that arrives together with the last bytes', async () => {
    // The event loop reports such a reset as an orderly end.
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

  it('takes an answer in chunks with its last chunk for whole', async () => {
    const text = `${head}Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n`;
    expect((await sendToUpstream(text, end)).outcome).to.equal('ended');
  });
});
