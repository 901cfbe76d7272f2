import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import type {AddressInfo, Socket} from 'node:net';
import {createServer} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {
  createPieceLimit,
  maxBatchBytes,
  readBatches,
} from '@toucanrouter/common';
import {expect} from 'chai';
import {Agent} from 'undici';
import {connectUpstream} from '../../request/UpstreamSocket.js';
import {writeWithoutEnd} from './SmallPiecesFixture.js';

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

const readBatchesCount = 300;
const maxSocketBytes = 256 * 1024;

/** Reads events without end slowly; returns the most that the socket held. */
async function readSlowly(): Promise<number> {
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n');
      writeWithoutEnd(socket, 'data: a\n\n');
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const origin = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  const agent = new Agent({pipelining: 1, connect: connectUpstream});
  let socket: Socket | undefined;
  const onConnected = (message: unknown) => {
    socket = (message as {socket: Socket}).socket;
  };
  subscribe('undici:client:connected', onConnected);
  const {body} = await agent.request({
    origin,
    path: '/',
    method: 'GET',
    highWaterMark: maxBatchBytes,
  });
  unsubscribe('undici:client:connected', onConnected);
  const pieces = createPieceLimit();
  let batchesCount = 0;
  let heldBytes = 0;
  for await (const batch of readBatches(body, pieces)) {
    if (batch.length > 0) pieces.reset();
    await nextTurn();
    heldBytes = Math.max(heldBytes, socket?.readableLength ?? Infinity);
    batchesCount += 1;
    if (batchesCount === readBatchesCount) break;
  }
  await agent.destroy();
  server.close();
  return heldBytes;
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

  // Guards against a buffer that grows with each pause of the reader, as streams
  // without end make it do.
  it('holds little of a response that is read slowly', async () => {
    expect(await readSlowly()).to.be.below(maxSocketBytes);
  });
});
