import type {Server, Socket} from 'node:net';
import {connect, createServer} from 'node:net';
import {expect} from 'chai';
import type {GatewayRoute} from '../../config/GatewayConfig.js';
import {sendRequestTo, startGateway} from './GatewayServerFixtures.js';

/** Writes the response to the request with the given number, from 1. */
type Respond = (socket: Socket, requestNumber: number) => void;

/** Creates an upstream that counts the requests of all its connections. */
function createRawUpstream(respond: Respond): Server {
  let requestCount = 0;
  return createServer({noDelay: true}, socket => {
    socket.on('error', () => undefined);
    socket.on('data', data => {
      if (!data.toString().startsWith('POST')) return;
      requestCount += 1;
      respond(socket, requestCount);
    });
  });
}

/** Creates two upstreams that count their requests together. */
function createRawPair(respond: Respond): readonly Server[] {
  let requestCount = 0;
  const next = (socket: Socket) => respond(socket, ++requestCount);
  return [createRawUpstream(next), createRawUpstream(next)];
}

const event = (id: number) => `id: ${id}\ndata: e${id}\n\n`;
const eventStream = 'Content-Type: text/event-stream\r\n';
const streamHead = `HTTP/1.1 200 OK\r\nid: r1\r\nmark: m\r\n${eventStream}\r\n`;
const firstEvents = event(1) + event(2);
const allEvents = firstEvents + event(3) + event(4);

/** Sends two events of a stream and closes the connection within the third. */
function breakStream(socket: Socket): void {
  socket.end(`${streamHead}${firstEvents}id: 3\nda`);
}

function emptyResponse(status: string, ...headers: string[]): string {
  const lines = [...headers, 'Content-Length: 0', '', ''];
  return [`HTTP/1.1 ${status}`, ...lines].join('\r\n');
}

/** A route whose requests may run only once. */
const onceRoute: Partial<GatewayRoute> = {retryPolicy: 'never', streams: false};

/** Serves one request through a new gateway and closes it. */
async function serve(route: Partial<GatewayRoute>, respond: Respond) {
  const gateway = await startGateway(route, createRawPair(respond));
  const response = await sendRequestTo(gateway.port);
  await gateway.close();
  return response;
}

/** Resumes the stream that the first upstream broke with `response`. */
function serveResumed(response: string) {
  return serve({}, (socket, requestNumber) => {
    if (requestNumber === 1) breakStream(socket);
    else socket.end(response);
  });
}

describe('upstream faults', () => {
  // Guards against a resumed stream that exceeds the length its first upstream announced.
  it('frames a stream on its own when the first upstream announced a length', async () => {
    const response = await serve({}, (socket, requestNumber) => {
      const comment = ': resumed\n';
      if (requestNumber > 1) {
        socket.end(`${streamHead}${event(3)}${comment}${event(4)}`);
        return;
      }
      const length = `Content-Length: ${allEvents.length}\r\n`;
      const head = streamHead.replace('\r\n', `\r\n${length}`);
      socket.end(head + firstEvents);
    });
    expect(response.body.replace(': resumed\n', '')).to.equal(allEvents);
    expect(response.complete).to.equal(true);
  });

  // Guards against a broken stream that ends as complete with another upstream's error.
  it('breaks off a stream that another upstream continues with no event stream', async () => {
    const json =
      'HTTP/1.1 200 OK\r\nid: r1\r\nmark: m\r\nContent-Type: text/plain';
    for (const body of ['', 'internal error\n\n', `data\n\n${event(3)}`]) {
      const head = `${json}\r\nContent-Length: ${body.length}\r\n\r\n`;
      const response = await serveResumed(head + body);
      expect(response.body).to.equal(firstEvents);
      expect(response.complete).to.equal(false);
    }
  });

  // Guards against an upstream's error in the middle of a stream that has started.
  it('breaks off a stream that another upstream continues with an error', async () => {
    const heads = [
      'HTTP/1.1 500 Error\r\nid: r1\r\nmark: m',
      'HTTP/1.1 400 Bad\r\nid: r1\r\nmark: m',
      'HTTP/1.1 400 Bad\r\nid: r1\r\nnot-run: 1',
      'HTTP/1.1 503 Full\r\nid: r1\r\nnot-run: 1',
      'HTTP/1.1 421 Other\r\nid: r1',
      'HTTP/1.1 502 Bad',
      'not a response',
    ];
    for (const head of heads) {
      const response = await serveResumed(
        `${head}\r\n${eventStream}Content-Length: 15\r\n\r\ndata: failure\n\n`,
      );
      expect(response.status).to.equal(200);
      expect(response.body).to.equal(firstEvents);
      expect(response.complete).to.equal(false);
    }
  });

  // Guards against events that a caller receives twice.
  it('breaks off a stream that another upstream starts again', async () => {
    for (const first of [1, 2]) {
      const rest = [1, 2, 3, 4]
        .slice(first - 1)
        .map(event)
        .join('');
      const response = await serveResumed(streamHead + rest);
      expect(response.body).to.equal(firstEvents);
      expect(response.complete).to.equal(false);
    }
  });

  // Guards against "not run" for a request that runs, after a second copy of an earlier refusal.
  it('does not take a second copy of a refusal for the refusal of another request', async () => {
    const refusal = emptyResponse('503 Full', 'id: r1', 'not-run: 1');
    const copies = [
      refusal,
      emptyResponse('503 Full', 'not-run: 1'),
      emptyResponse('421 Other', 'id: r1'),
      emptyResponse('421 Other'),
    ];
    const served = emptyResponse('200 OK', 'id: r1', 'mark: m');
    for (const copy of copies) {
      const secondAnswers: number[] = [];
      for (const secondId of ['r1', 'r2']) {
        let firstSocket: Socket | undefined;
        const upstream = createRawUpstream((socket, requestNumber) => {
          firstSocket ??= socket;
          if (requestNumber === 1) socket.write(refusal);
          else socket.write(socket === firstSocket ? copy : served);
        });
        const gateway = await startGateway(onceRoute, [upstream]);
        const send = (id: string) =>
          sendRequestTo(gateway.port, '/chat/x', 'key', id);
        expect((await send('r1')).status).to.equal(503);
        secondAnswers.push((await send(secondId)).status);
        await gateway.close();
      }
      // A request with an id of its own may have run; a repeated id is sent on
      // another connection.
      expect(secondAnswers).to.deep.equal([200, 502]);
    }
  });

  // Guards against a broken stream that looks complete to an HTTP/1.0 caller.
  it('resets the connection of a broken stream that only its end would delimit', async () => {
    const gateway = await startGateway(
      {retryPolicy: 'never'},
      createRawPair(breakStream),
    );
    const ended = await new Promise<string>(resolve => {
      const caller = connect(gateway.port, '127.0.0.1');
      caller.resume();
      caller.on('end', () => resolve('end'));
      caller.on('error', () => resolve('reset'));
      caller.write(
        'POST /chat/x HTTP/1.0\r\nid: r1\r\nAuthorization: key\r\n\r\n',
      );
    });
    await gateway.close();
    expect(ended).to.equal('reset');
  });
});
