import type {AddressInfo, Server, Socket} from 'node:net';
import {createServer} from 'node:net';
import {createSystemClock} from '@toucanrouter/common';
import {expect} from 'chai';
import type {UpstreamConnections} from '../../upstreams/UpstreamConnections.js';
import {createUpstreamConnections} from '../../upstreams/UpstreamConnections.js';

interface Received {
  readonly outcome: 'ended' | 'failed';
  readonly body: string;
  /** True if the head of the response was received. */
  readonly started: boolean;
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
    let started = false;
    connections.send(
      {
        requestId: 'r1',
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
        started: () => {
          started = true;
        },
        data: chunk => {
          body += chunk.toString();
        },
        ended: () => resolve({outcome: 'ended', body, started}),
        failed: () => resolve({outcome: 'failed', body, started}),
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

const served = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';
const endNow = (socket: Socket, text: string) => socket.end(text);
const resetNow = (socket: Socket, text: string) =>
  socket.write(text, () => socket.resetAndDestroy());

/**
 * Sends a request for each length up to `maxLength` to an upstream that writes
 * that many bytes of `text` and closes, on a new or on a reused connection.
 */
async function sendCut(
  text: string,
  maxLength: number,
  close: (socket: Socket, text: string) => void,
  isReused: boolean,
): Promise<readonly Received[]> {
  let length = 0;
  const server = createServer(socket => {
    let first = isReused;
    socket.on('error', () => undefined);
    socket.on('data', data => {
      if (!data.toString().startsWith('GET')) return;
      if (first) socket.write(served);
      else close(socket, text.slice(0, length));
      first = false;
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const connections = createUpstreamConnections(createSystemClock());
  const received: Received[] = [];
  for (; length <= maxLength; length++) {
    if (isReused) await send(connections, server);
    received.push(await send(connections, server));
  }
  await connections.close();
  server.close();
  return received;
}

describe('UpstreamConnections', () => {
  // Guards against failing a response whose status allows no body.
  it('completes a response without a body on a connection that stays open', async () => {
    const text = 'HTTP/1.1 204 No Content\r\n\r\n';
    expect((await sendToUpstream(text, end)).outcome).to.equal('ended');
  });

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
      started: true,
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

  it('never gives a second response to the next request on a connection', async () => {
    // The second copy comes in the same segment, late, or only in part.
    const answer = (body: string) =>
      `HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n${body}`;
    const partOfAnswer = answer('a1').slice(0, 20);
    for (const extra of [answer('a1'), partOfAnswer, 'no response at all']) {
      for (const extraDelayMs of [0, 5, 20]) {
        let connectionCount = 0;
        const server = createServer(socket => {
          connectionCount += 1;
          const body = connectionCount === 1 ? 'a1' : 'b1';
          socket.on('error', () => undefined);
          socket.once('data', () => {
            if (extraDelayMs === 0 && connectionCount === 1) {
              socket.write(answer(body) + extra);
              return;
            }
            socket.write(answer(body));
            if (connectionCount > 1) return;
            setTimeout(() => socket.write(extra), extraDelayMs);
          });
        });
        await new Promise<void>(resolve =>
          server.listen(0, '127.0.0.1', resolve),
        );
        const connections = createUpstreamConnections(createSystemClock());
        const first = await send(connections, server);
        expect(first.body).to.equal('a1');
        await new Promise(resolve => setTimeout(resolve, 40));
        const second = await send(connections, server);
        expect(second).to.deep.equal({
          outcome: 'ended',
          body: 'b1',
          started: true,
        });
        await connections.close();
        server.close();
      }
    }
  });

  it('fails a response whose head never ends', async () => {
    const line = `X-Filler: ${'x'.repeat(1_000)}\r\n`;
    const endless = (socket: Socket) => {
      socket.write('HTTP/1.1 200 OK\r\n');
      const timer = setInterval(() => socket.write(line.repeat(8)), 1);
      socket.once('close', () => clearInterval(timer));
    };
    const server = await startUpstream(endless);
    const connections = createUpstreamConnections(createSystemClock());
    expect((await send(connections, server)).outcome).to.equal('failed');
    await connections.close();
    server.close();
  });

  it('fails a response that is preceded by interim responses without end', async () => {
    const interim = 'HTTP/1.1 102 Processing\r\n\r\n';
    const endless = (socket: Socket) => {
      const timer = setInterval(() => socket.write(interim.repeat(4)), 1);
      socket.once('close', () => clearInterval(timer));
    };
    const server = await startUpstream(endless);
    const connections = createUpstreamConnections(createSystemClock());
    expect((await send(connections, server)).outcome).to.equal('failed');
    await connections.close();
    server.close();
  });

  // Guards against a status that no caller understands and that is passed on.
  it('fails a response whose status is not valid, at once', async () => {
    for (const status of ['000', '099', '600', '999']) {
      const server = await startUpstream(socket => {
        socket.write(`HTTP/1.1 ${status} X\r\nContent-Length: 0\r\n\r\n`);
      });
      const connections = createUpstreamConnections(createSystemClock());
      expect(await send(connections, server)).to.deep.equal({
        outcome: 'failed',
        body: '',
        started: false,
      });
      await connections.close();
      server.close();
    }
  });

  it('fails a response whose trailers never end', async () => {
    const trailer = `X-Filler: ${'x'.repeat(1_000)}\r\n`;
    const endless = (socket: Socket) => {
      const text =
        'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Filler\r\n';
      socket.write(`${text}\r\n3\r\nabc\r\n0\r\n`);
      const timer = setInterval(() => socket.write(trailer.repeat(8)), 1);
      socket.once('close', () => clearInterval(timer));
    };
    const server = await startUpstream(endless);
    const connections = createUpstreamConnections(createSystemClock());
    expect((await send(connections, server)).outcome).to.equal('failed');
    await connections.close();
    server.close();
  });

  // Guards against a turn of the event loop that one upstream fills alone.
  it('hands over nothing more of a read after a pause', async () => {
    const piecesCount = 1_000;
    const text = `${head}Transfer-Encoding: chunked\r\n\r\n`;
    const server = await startUpstream(socket =>
      socket.end(`${text}${'1\r\na\r\n'.repeat(piecesCount)}0\r\n\r\n`),
    );
    const connections = createUpstreamConnections(createSystemClock());
    const {port} = server.address() as AddressInfo;
    let receivedCount = 0;
    let isPaused = false;
    const outcome = await new Promise<string>(resolve => {
      const exchange = connections.send(
        {
          requestId: 'r1',
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
          data: () => {
            expect(isPaused).to.equal(false);
            receivedCount += 1;
            isPaused = true;
            exchange.pause();
            setImmediate(() => {
              isPaused = false;
              exchange.resume();
            });
          },
          ended: () => resolve('ended'),
          failed: ({message}) => resolve(message),
        },
      );
    });
    expect(outcome).to.equal('ended');
    expect(receivedCount).to.equal(piecesCount);
    await connections.close();
    server.close();
  });

  // Guards against a response whose head was cut off but that counts as complete.
  it('fails a response whose head is cut off at any byte', async () => {
    const interim = 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n';
    const framings = [
      'Content-Length: 3\r\n',
      'Transfer-Encoding: chunked\r\n',
      'Connection: close\r\n',
      '',
    ];
    for (const framing of framings) {
      const text = `${interim}HTTP/1.1 200 OK\r\n${framing}X-A: b\r\n\r\n`;
      const whole = text.length;
      for (const close of [endNow, resetNow]) {
        for (const reused of [false, true]) {
          const received = await sendCut(text, whole - 1, close, reused);
          const outcomes = received.map(({outcome}) => outcome);
          expect(new Set(outcomes)).to.deep.equal(new Set(['failed']));
          expect(received.every(({started}) => !started)).to.equal(true);
        }
      }
    }
  });

  // Guards against bytes of an earlier response that reach the next request.
  it('reuses no connection on which a part of a second response arrived', async () => {
    const copy = 'HTTP/1.1 503 Full\r\nContent-Length: 1\r\n\r\nx';
    for (let length = 1; length <= copy.length; length++) {
      for (const isLate of [false, true]) {
        const sockets = new Set<Socket>();
        const server = await startUpstream(socket => {
          sockets.add(socket);
          if (sockets.size > 1) {
            socket.write(served);
            return;
          }
          const extra = copy.slice(0, length);
          if (isLate) socket.write(served, () => socket.write(extra));
          else socket.write(served + extra);
        });
        const connections = createUpstreamConnections(createSystemClock());
        await send(connections, server);
        await new Promise(resolve => setTimeout(resolve, 5));
        const second = await send(connections, server);
        expect(second).to.include({outcome: 'ended', body: 'ok'});
        expect(sockets.size).to.equal(2);
        await connections.close();
        server.close();
      }
    }
  });
});
