import type {AddressInfo, Socket} from 'node:net';
import {createServer} from 'node:net';
import {expect} from 'chai';
import {Agent} from 'undici';
import {connectUpstream} from '../../request/UpstreamSocket.js';

type Close = (socket: Socket, text: string) => void;

const endNow: Close = (socket, text) => socket.end(text);
const resetLater: Close = (socket, text) =>
  socket.write(text, () => setTimeout(() => socket.resetAndDestroy(), 10));
const resetNow: Close = (socket, text) => {
  socket.write(text);
  socket.resetAndDestroy();
};

/** Returns the body of each response, or undefined if a request failed. */
async function fetchAll(
  responses: readonly string[],
  close: Close,
): Promise<readonly (string | undefined)[]> {
  let text = '';
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => close(socket, text));
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const agent = new Agent({pipelining: 1, connect: connectUpstream});
  const origin = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  const bodies: (string | undefined)[] = [];
  for (text of responses) {
    const body = await agent
      .request({origin, path: '/', method: 'GET'})
      .then(response => response.body.text())
      .catch(() => undefined);
    bodies.push(body);
  }
  await agent.destroy();
  server.close();
  return bodies;
}

const undelimited = 'HTTP/1.1 200 OK\r\n\r\nabc';

describe('UpstreamSocket', () => {
  // Guards against a truncated body that is returned as a whole one.
  it('fails a response without length or chunks whose connection is reset', async () => {
    const responses = Array.from({length: 10}, () => undelimited);
    const failed = responses.map(() => undefined);
    expect(await fetchAll(responses, resetLater)).to.deep.equal(failed);
    expect(await fetchAll(responses, resetNow)).to.deep.equal(failed);
  });

  it('completes a response without length or chunks at a clean close', async () => {
    expect(await fetchAll([undelimited, undelimited], endNow)).to.deep.equal([
      'abc',
      'abc',
    ]);
  });

  // Guards against part of a body that counts as whole, depending on when the upload is read.
  it('fails a response without length that ends before the request was written', async () => {
    const server = createServer(socket => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        socket.pause();
        socket.end(undelimited);
        setTimeout(() => socket.resume(), 50);
      });
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const agent = new Agent({pipelining: 1, connect: connectUpstream});
    const origin = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    const body = Buffer.alloc(64 * 1024 * 1024);
    const received = await agent
      .request({origin, path: '/', method: 'POST', body})
      .then(response => response.body.text())
      .catch(() => undefined);
    await agent.destroy();
    server.close();
    expect(received).to.equal(undefined);
  });

  // Guards against a response whose head or body was cut off but that counts as complete.
  it('fails a response that is cut off at any byte before its end', async () => {
    const closing = 'HTTP/1.1 200 OK\r\nConnection: close\r\n';
    const texts = [
      `${closing}Content-Length: 3\r\n\r\nabc`,
      `${closing}Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n`,
      `${closing}X-A: b\r\n\r\n`,
    ];
    for (const text of texts) {
      const cuts = Array.from(text, (_, length) => text.slice(0, length));
      for (const close of [endNow, resetNow]) {
        const bodies = await fetchAll(cuts, close);
        expect(bodies).to.deep.equal(cuts.map(() => undefined));
      }
    }
  });
});
