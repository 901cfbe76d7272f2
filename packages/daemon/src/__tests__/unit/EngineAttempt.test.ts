import type {AddressInfo, Socket} from 'node:net';
import {createServer} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {createBufferBudget, toRequestId} from '@toucanrouter/common';
import {expect} from 'chai';
import {ok} from 'neverthrow';
import {Agent} from 'undici';
import type {AttemptEnd} from '../../request/chat/EngineAttempt.js';
import {runEngineAttempt} from '../../request/chat/EngineAttempt.js';
import type {SseEvent} from '../../request/chat/SseScanner.js';
import {countBytesRead, writeWithoutEnd} from './SmallPiecesFixture.js';

/** Runs one attempt for each of `responses`, which an engine writes raw. */
async function runAttempts(
  responses: readonly string[],
  close: (socket: Socket, text: string) => void,
  onEvents: (events: readonly SseEvent[]) => unknown = () => undefined,
): Promise<readonly AttemptEnd[]> {
  let text = '';
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => close(socket, text));
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const dispatcher = new Agent({pipelining: 1});
  const ends: AttemptEnd[] = [];
  for (text of responses) {
    const end = await runEngineAttempt({
      dispatcher,
      responseBuffers: createBufferBudget(),
      address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
      requestId: toRequestId('r1'),
      body: '{}',
      lastEventId: undefined,
      signal: new AbortController().signal,
      onHead: () => undefined,
      onEvents: async ({events}) => {
        await onEvents(events);
        return ok(undefined);
      },
    });
    ends.push(end);
  }
  await dispatcher.destroy();
  server.close();
  return ends;
}

const endNow = (socket: Socket, text: string) => socket.end(text);
const resetNow = (socket: Socket, text: string) =>
  socket.write(text, () => socket.resetAndDestroy());

function emptyResponse(status: number): string {
  return `HTTP/1.1 ${status} X\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`;
}

function chunkedHead(status: number): string {
  return `HTTP/1.1 ${status} X\r\nTransfer-Encoding: chunked\r\n\r\n`;
}

/** Small pieces of an event stream that hold no event. */
const piecesWithoutEvent = {
  'one byte': 'a',
  'an empty line': '\n',
  'two empty lines': '\n\n',
  'a comment line': ': a\n',
  'a comment and an empty line': ': a\n\n',
};

/** Bytes with which an engine shows that it sends no response. */
const maxReadBytes = 1024 * 1024;

const handlingMs = 500;
const maxReadWhileHandlingBytes = 200 * 1024;

describe('EngineAttempt with small pieces', () => {
  for (const [name, piece] of Object.entries(piecesWithoutEvent)) {
    // Guards against a call, its memory and its slot that are held by a stream
    // without an event, and against its processor time.
    it(`gives up a stream of chunks that hold ${name}`, async () => {
      const read = await countBytesRead(async () => {
        const [end] = await runAttempts([chunkedHead(200)], (socket, head) => {
          socket.write(head);
          writeWithoutEnd(socket, piece);
        });
        expect(end?.kind).to.equal('broken');
        // The engine has not ended, so that the prompt is not suspect.
        if (end?.kind !== 'broken') return;
        expect(end.error.kind).to.equal('answer_incomplete');
      });
      expect(read).to.be.below(maxReadBytes);
    });
  }

  for (const status of [429, 503, 500, 302]) {
    // Guards against a response that is no stream and is read for too long.
    it(`stops reading a response of status ${status}`, async () => {
      const read = await countBytesRead(async () => {
        const [end] = await runAttempts(
          [chunkedHead(status)],
          (socket, head) => {
            socket.write(head);
            writeWithoutEnd(socket, 'a');
          },
        );
        expect(end?.kind).to.be.oneOf(['broken', 'rejected']);
      });
      expect(read).to.be.below(maxReadBytes);
    });
  }

  // Guards against a heap that is filled by the pieces which wait for callers
  // that do not read.
  it('reads only a few pieces while an event is handled', async () => {
    const read = await countBytesRead(async () => {
      await runAttempts(
        [chunkedHead(200)],
        (socket, head) => {
          socket.write(`${head}9\r\ndata: a\n\n\r\n`);
          writeWithoutEnd(socket, 'a');
          setTimeout(() => socket.destroy(), handlingMs / 2);
        },
        () => sleep(handlingMs),
      );
    });
    expect(read).to.be.below(maxReadWhileHandlingBytes);
  });

  // Guards against limits that cut sound streams.
  it('reads a long stream whose chunks have one byte each', async () => {
    const event = `data: ${'x'.repeat(100)}\n\n`;
    const eventsCount = 1_000;
    let receivedCount = 0;
    const [end] = await runAttempts(
      [chunkedHead(200)],
      (socket, head) => {
        const chunks = Array.from(
          event.repeat(eventsCount),
          byte => `1\r\n${byte}\r\n`,
        );
        socket.end(`${head}${chunks.join('')}0\r\n\r\n`);
      },
      events => (receivedCount += events.length),
    );
    expect(end?.kind).to.equal('ended');
    expect(receivedCount).to.equal(eventsCount);
  });
});

describe('EngineAttempt', () => {
  // Guards against "not run" for a call that an engine failed while running it.
  it('takes only statuses that an engine returns before a run for rejections', async () => {
    const statuses = [400, 404, 410, 413, 422, 429, 503, 500, 502, 504, 302];
    const ends = await runAttempts(statuses.map(emptyResponse), endNow);
    const rejected = statuses.filter(
      (_, index) => ends[index]?.kind === 'rejected',
    );
    expect(rejected).to.deep.equal([400, 404, 410, 413, 422, 429, 503]);
    expect(ends.slice(7).map(({kind}) => kind)).to.deep.equal(
      Array.from({length: 4}, () => 'broken'),
    );
  });

  // Guards against an invalid status that counts as an answer or as a rejection.
  it('ends as broken at once when the status is not valid', async () => {
    const texts = ['000', '099', '600', '999'].map(
      status => `HTTP/1.1 ${status} X\r\nContent-Length: 0\r\n\r\n`,
    );
    const leaveOpen = (socket: Socket, text: string) => socket.write(text);
    const ends = await runAttempts(texts, leaveOpen);
    expect(ends.map(({kind}) => kind)).to.deep.equal(texts.map(() => 'broken'));
  }).timeout(5_000);

  // Guards against an instance that keeps the bytes of an engine without end.
  it('ends as broken when an event does not end', async () => {
    const head = 'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n';
    const writeLines = (socket: Socket, text: string) => {
      socket.write(text);
      const lines = 'no event, no end\n'.repeat(1_000);
      const write = () => {
        while (!socket.destroyed && socket.write(lines));
      };
      socket.on('drain', write);
      write();
    };
    const [end] = await runAttempts([head], writeLines);
    expect(end?.kind).to.equal('broken');
  });

  // Guards against a response whose head was cut off but that counts as complete.
  it('ends as broken when the head of the response is cut off at any byte', async () => {
    for (const framing of ['Connection: close', 'Content-Length: 0']) {
      for (const status of [200, 503]) {
        const text = `HTTP/1.1 ${status} X\r\n${framing}\r\nX-A: b\r\n\r\n`;
        const cuts = Array.from(text, (_, length) => text.slice(0, length));
        for (const close of [endNow, resetNow]) {
          const ends = await runAttempts(cuts, close);
          expect(new Set(ends.map(({kind}) => kind))).to.deep.equal(
            new Set(['broken']),
          );
        }
      }
    }
  });
});
