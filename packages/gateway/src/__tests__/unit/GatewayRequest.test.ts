import {once} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createServer, request as sendRequest} from 'node:http';
import {connect} from 'node:net';
import {answerReserveFor, createSystemClock, delay} from '@toucanrouter/common';
import {expect} from 'chai';
import type {GatewayRoute} from '../../config/GatewayConfig.js';
import type {Dialect} from '../../request/Dialect.js';
import type {GatewayContext} from '../../request/GatewayContext.js';
import {
  sendRequestTo,
  startGateway as startGatewayServer,
} from './GatewayServerFixtures.js';
import {testDialect} from './TestDialect.js';

type Handler = (message: IncomingMessage, response: ServerResponse) => void;

const maxConditionWaitMs = 5_000;

/** Starts a gateway in front of one upstream for each handler. */
function startGateway(
  route: Partial<GatewayRoute>,
  handlers: readonly Handler[],
  changes: Partial<GatewayContext> = {},
) {
  return startGatewayServer(
    route,
    handlers.map(handler => createServer(handler)),
    changes,
  );
}

/** Waits until a condition holds, or for a time in which it should. */
async function waitUntil(holds: () => boolean): Promise<void> {
  const clock = createSystemClock();
  const endMs = clock.nowMs() + maxConditionWaitMs;
  while (!holds() && clock.nowMs() < endMs) await delay(clock, 5);
}

/** Serves one request through a new gateway and closes it. */
async function serve(
  route: Partial<GatewayRoute>,
  handlers: readonly Handler[],
  path?: string,
  key?: string,
) {
  const gateway = await startGateway(route, handlers);
  const response = await sendRequestTo(gateway.port, path, key);
  await gateway.close();
  return {response, ended: gateway.ended};
}

/** The wire format of a caller with a time limit of its own. */
function dialectWithLimit(callerTimeoutMs: number): Dialect {
  return {
    ...testDialect,
    readRequest: message => ({
      ...testDialect.readRequest(message),
      callerTimeoutMs,
    }),
    upstreamHeaders: (request, attributes) => [
      ...testDialect.upstreamHeaders(request, attributes),
      'remaining',
      String(attributes.remainingMs),
    ],
  };
}

/** Serves one request of a caller with a time limit, and measures its time. */
async function serveWithin(
  limitMs: number,
  route: Partial<GatewayRoute>,
  handler: Handler,
) {
  const dialect = dialectWithLimit(limitMs);
  const gateway = await startGateway(route, [handler], {dialect});
  const startedAtMs = performance.now();
  const response = await sendRequestTo(gateway.port);
  const tookMs = performance.now() - startedAtMs;
  await gateway.close();
  return {response, tookMs, ended: gateway.ended};
}

const upstreamHead = {id: 'r1', mark: 'm'};
const event = (id: number) => `id: ${id}\ndata: e${id}\n\n`;

/** Streams the events after the one that the request resumes from. */
function streamFrom(last: number, breakAfter?: number): Handler {
  return (message, response) => {
    response.writeHead(200, upstreamHead);
    const after = Number(message.headers['after'] ?? 0);
    for (let id = after + 1; id <= last; id++) {
      response.write(event(id));
      if (id !== breakAfter) continue;
      response.write('id: 99\nda', () => response.destroy());
      return;
    }
    response.end();
  };
}

const allEvents = [1, 2, 3, 4].map(event).join('');

/** Streams all events with a pause after the first. */
function pausing(pauseMs: number): Handler {
  return (_, response) => {
    response.writeHead(200, upstreamHead);
    response.write(event(1));
    setTimeout(() => response.end([2, 3, 4].map(event).join('')), pauseMs);
  };
}

const refuse: Handler = (_, response) => {
  response.writeHead(503, {id: 'r1', 'not-run': '1'});
  response.end();
};

/** Two upstreams; whichever is asked first uses the first handler. */
function inOrder(first: Handler, second: Handler): readonly Handler[] {
  let calls = 0;
  const handler: Handler = (message, response) =>
    (calls++ === 0 ? first : second)(message, response);
  return [handler, handler];
}

describe('GatewayRequest', () => {
  it('resumes a broken stream on another upstream without missing or partial events', async () => {
    const handler = streamFrom(4, 2);
    const resumed = streamFrom(4);
    let calls = 0;
    const either: Handler = (message, response) =>
      (calls++ === 0 ? handler : resumed)(message, response);
    const {response} = await serve({}, [either, either]);
    expect(response.body).to.equal(allEvents);
    expect(response.complete).to.equal(true);
  });

  it('resumes elsewhere a stream that sends only bytes and comments', async () => {
    // Such a stream never exceeded an idle timeout that each chunk restarts.
    const trickle: Handler = (_, response) => {
      response.writeHead(200, upstreamHead);
      response.write(event(1));
      const timer = setInterval(() => response.write(': comment\n\ni'), 50);
      response.once('close', () => clearInterval(timer));
    };
    const resumed = streamFrom(4);
    let calls = 0;
    const either: Handler = (message, response) =>
      (calls++ === 0 ? trickle : resumed)(message, response);
    const {response} = await serve({}, [either, either]);
    expect(response.complete).to.equal(true);
    expect(response.body.replaceAll(/^i?: comment\n\n/gm, '')).to.equal(
      allEvents,
    );
  });

  it('waits for a slow upstream when no other can take its place', async () => {
    const slow: Handler = (message, response) => {
      setTimeout(() => streamFrom(4)(message, response), 600);
    };
    const {response} = await serve({targetLatencyMs: 50}, [slow]);
    expect(response.status).to.equal(200);
    expect(response.body).to.equal(allEvents);
  });

  // Guards against cutting off a caller whose upstream only paused.
  it('completes a stream after a pause of its upstream although the upstream asked meanwhile refuses it', async () => {
    const {response} = await serve(
      {targetGapMs: 50},
      inOrder(pausing(1_200), refuse),
    );
    expect(response.body).to.equal(allEvents);
    expect(response.complete).to.equal(true);
  });

  // Guards against failing a request that a slow upstream is about to answer.
  it('passes on the response of a slow upstream although the upstream asked meanwhile breaks off', async () => {
    const slow: Handler = (message, response) => {
      setTimeout(() => streamFrom(4)(message, response), 700);
    };
    const breakOff: Handler = (_, response) => response.destroy();
    const {response} = await serve(
      {targetLatencyMs: 50},
      inOrder(slow, breakOff),
    );
    expect(response.status).to.equal(200);
    expect(response.body).to.equal(allEvents);
  });

  // Guards against events that come twice when a stalled upstream goes on.
  it('passes on each event once when a paused upstream goes on before the one asked meanwhile', async () => {
    let replacementClosed = false;
    const slowReplacement: Handler = (message, response) => {
      message.socket.once('close', () => (replacementClosed = true));
      setTimeout(() => streamFrom(4)(message, response), 1_000);
    };
    const {response} = await serve(
      {targetGapMs: 50},
      inOrder(pausing(1_000), slowReplacement),
    );
    expect(response.body).to.equal(allEvents);
    expect(response.complete).to.equal(true);
    expect(replacementClosed).to.equal(true);
  });

  // Guards against two upstreams that generate the same stream side by side.
  it('cancels a stalled upstream as soon as another one delivers an event', async () => {
    let canceledAfterMs = Infinity;
    let replacedAtMs = Infinity;
    const silent: Handler = (message, response) => {
      response.writeHead(200, upstreamHead);
      response.write(event(1));
      message.socket.once('close', () => {
        canceledAfterMs = performance.now() - replacedAtMs;
      });
    };
    const replacement: Handler = (message, response) => {
      replacedAtMs = performance.now();
      response.writeHead(200, upstreamHead);
      response.write(event(2));
      setTimeout(() => response.end(event(3) + event(4)), 600);
    };
    const {response} = await serve(
      {targetGapMs: 50},
      inOrder(silent, replacement),
    );
    expect(response.body).to.equal(allEvents);
    expect(canceledAfterMs).to.be.below(400);
  });

  it('waits for a slow upstream when a request may run only once', async () => {
    const slow: Handler = (message, response) => {
      setTimeout(() => streamFrom(4)(message, response), 600);
    };
    const {response} = await serve(
      {targetLatencyMs: 50, retryPolicy: 'never'},
      [slow, slow],
    );
    expect(response.body).to.equal(allEvents);
  });

  it('ends an endless response that is not a stream at its timeout or size', async () => {
    const endless: Handler = (_, response) => {
      response.writeHead(200, upstreamHead);
      const block = Buffer.alloc(256 * 1024, 'x');
      const pump = () => {
        while (!response.destroyed && response.write(block));
        if (!response.destroyed) response.once('drain', pump);
      };
      pump();
    };
    const {response} = await serve({streams: false, retryPolicy: 'never'}, [
      endless,
    ]);
    expect(response.status).to.equal(502);
  });

  it('ends a stream whose event never ends', async () => {
    const endless: Handler = (_, response) => {
      response.writeHead(200, upstreamHead);
      const block = Buffer.alloc(64 * 1024, 'x');
      const pump = () => {
        while (!response.destroyed && response.write(block));
        if (!response.destroyed) response.once('drain', pump);
      };
      pump();
    };
    const {response, ended} = await serve({retryPolicy: 'never'}, [endless]);
    expect(response.status).to.equal(502);
    expect(ended[0]?.outcome).to.equal('upstream_failed');
  });

  it('passes on the head of a stream that has no further events', async () => {
    // A caller that resumes after the last event gets an empty stream.
    const {response} = await serve({}, [streamFrom(0)]);
    expect(response.status).to.equal(200);
    expect(response.headers['mark']).to.equal('m');
    expect(response.complete).to.equal(true);
  });

  it('aborts a stream that may not be resumed', async () => {
    const handler = streamFrom(4, 2);
    const {response} = await serve({retryPolicy: 'never'}, [handler, handler]);
    expect(response.body).to.equal([1, 2].map(event).join(''));
    expect(response.complete).to.equal(false);
  });

  it('sends a request that may run only once to a single upstream', async () => {
    let runs = 0;
    const handler: Handler = (_, response) => {
      runs += 1;
      response.destroy();
    };
    const {response} = await serve({retryPolicy: 'never', streams: false}, [
      handler,
      handler,
    ]);
    expect(runs).to.equal(1);
    expect(response.status).to.equal(502);
    expect(response.retryAfter).to.equal(undefined);
  });

  it('sends Retry-After when no upstream ran the request', async () => {
    const handler: Handler = (_, response) => {
      response.writeHead(503, {id: 'r1', 'not-run': '1'});
      response.end();
    };
    const {response} = await serve({streams: false}, [handler, handler]);
    expect(response.status).to.equal(503);
    expect(Number(response.retryAfter)).to.be.above(0);
  });

  it('never passes on a response that belongs to another request', async () => {
    const handler: Handler = (_, response) => {
      response.writeHead(200, {...upstreamHead, id: 'other'});
      response.end('not yours');
    };
    const {response} = await serve({retryPolicy: 'never', streams: false}, [
      handler,
    ]);
    expect(response.status).to.equal(502);
    expect(response.body).not.to.contain('not yours');
  });

  it('does not trust an anonymous refusal on a reused connection', async () => {
    // A late second copy of the refusal of one request would state that the next
    // one, which runs, did not run.
    let calls = 0;
    const handler: Handler = (_, response) => {
      calls += 1;
      if (calls === 1) response.writeHead(200, upstreamHead);
      else response.writeHead(503, {'not-run': '1'});
      response.end();
    };
    const gateway = await startGateway({retryPolicy: 'never', streams: false}, [
      handler,
    ]);
    const first = await sendRequestTo(gateway.port);
    const second = await sendRequestTo(gateway.port);
    await gateway.close();
    expect(first.status).to.equal(200);
    expect(second.status).to.equal(502);
  });

  it('closes the connection of a caller whose body never ends', async () => {
    const gateway = await startGateway({}, [streamFrom(1)]);
    const startedAtMs = performance.now();
    const closed = await new Promise<number>(resolve => {
      const message = sendRequest({
        host: '127.0.0.1',
        port: gateway.port,
        path: '/chat/x',
        method: 'POST',
        headers: {id: 'r1', authorization: 'key'},
      });
      const timer = setInterval(() => message.write(Buffer.alloc(4_096)), 1);
      let status = 0;
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
    await gateway.close();
    expect(closed).to.equal(413);
    expect(performance.now() - startedAtMs).to.be.below(2_000);
  });

  // Guards against requests that go on for ever after their caller has left.
  it('cancels all requests of a connection that closes, also those that wait', async () => {
    const received = new Set<string>();
    const canceled = new Set<string>();
    const silent: Handler = (message, response) => {
      const id = String(message.headers['id']);
      received.add(id);
      response.once('close', () => canceled.add(id));
    };
    const gateway = await startGateway(
      {anonymous: true, retryPolicy: 'never'},
      [silent],
    );
    const ids = ['r1', 'r2', 'r3'];
    const socket = connect(gateway.port, '127.0.0.1');
    for (const id of ids) {
      socket.write(`GET /chat/x HTTP/1.1\r\nhost: h\r\nid: ${id}\r\n\r\n`);
    }
    await waitUntil(() => received.size === ids.length);
    socket.destroy();
    await waitUntil(() => canceled.size === ids.length);
    await waitUntil(() => gateway.inProgress() === 0);
    await gateway.close();
    expect([...canceled].toSorted()).to.deep.equal(ids);
    expect(gateway.ended.map(({outcome}) => outcome)).to.deep.equal(
      ids.map(() => 'canceled'),
    );
  });

  for (const status of [200, 503]) {
    // Guards against new requests, and retries, at an upstream whose entry does
    // not show yet that it leaves.
    it(`sends nothing to an upstream after a ${status} that announces its leaving`, async () => {
      let arrivedCount = 0;
      const leaving: Handler = (message, response) => {
        arrivedCount += 1;
        const id = message.headers['id'];
        const notRun = status === 503 ? {'not-run': '1'} : {};
        response.writeHead(status, {id, mark: 'm', leaving: '1', ...notRun});
        response.end();
      };
      const route = {streams: false, anonymous: true, retryPolicy: 'whole'};
      const gateway = await startGateway(route as Partial<GatewayRoute>, [
        leaving,
        leaving,
      ]);
      for (let index = 0; index < 12; index++) {
        await sendRequestTo(gateway.port, '/chat/x', 'key', `r${index}`);
      }
      await gateway.close();
      // Each of the two upstreams learns of it with its first response.
      expect(arrivedCount).to.equal(2);
    });
  }

  for (const [name, head] of [
    ['head', `x-long: ${'x'.repeat(20_000)}\r\ncontent-length: 0`],
    ['body', 'content-length: 2000'],
  ] as const) {
    // Guards against requests that run although their connection closes with
    // the refusal of the request before them.
    it(`runs no request behind one whose ${name} is too large`, async () => {
      const received: string[] = [];
      const answer: Handler = (message, response) => {
        received.push(String(message.headers['id']));
        response.writeHead(200, {id: message.headers['id'], mark: 'm'});
        response.end('served');
      };
      const gateway = await startGateway({anonymous: true, streams: false}, [
        answer,
      ]);
      const socket = connect(gateway.port, '127.0.0.1');
      socket.on('error', () => undefined);
      let text = '';
      socket.on('data', chunk => (text += String(chunk)));
      const body = name === 'body' ? 'b'.repeat(2_000) : '';
      socket.write(
        `POST /chat/x HTTP/1.1\r\nhost: h\r\nid: r1\r\n${head}\r\n\r\n${body}` +
          'GET /chat/x HTTP/1.1\r\nhost: h\r\nid: r2\r\n\r\n',
      );
      await once(socket, 'close');
      await waitUntil(() => gateway.inProgress() === 0);
      expect(gateway.inProgress()).to.equal(0);
      await gateway.close();
      expect(text).to.match(/^HTTP\/1.1 4(13|31) /);
      expect(received).to.deep.equal([]);
    });
  }

  // Guards against a stop that waits for a request whose caller has left.
  it('ends a request whose caller leaves before its body is read', async () => {
    const confirmMs = 200;
    for (const sentBytes of [1, 4]) {
      const gateway = await startGateway({anonymous: true}, [streamFrom(4)], {
        maxConfigAgeMs: () => -1,
        confirmConfig: () => delay(createSystemClock(), confirmMs),
      });
      const message = sendRequest({
        host: '127.0.0.1',
        port: gateway.port,
        path: '/chat/x',
        method: 'POST',
        headers: {id: 'r1', 'content-length': 4},
      });
      message.on('error', () => undefined);
      message.write('body'.slice(0, sentBytes));
      await delay(createSystemClock(), confirmMs / 2);
      const before = gateway.inProgress();
      message.destroy();
      await delay(createSystemClock(), confirmMs);
      const after = gateway.inProgress();
      await gateway.close();
      expect({before, after}).to.deep.equal({before: 1, after: 0});
    }
  });

  it('responds at the timeout of the class when the upstream does not', async () => {
    const {response, ended} = await serve(
      {retryPolicy: 'never', streams: false, timeoutMs: 150},
      [() => undefined],
    );
    expect(response.status).to.equal(504);
    expect(ended[0]?.outcome).to.equal('answer_timeout');
  });

  // Guards against an answer that comes when its caller has left, and against an
  // early end of a stream that has begun.
  it('answers before the limit of its caller only requests without a response', async () => {
    const limitMs = 2_000;
    const reserveMs = answerReserveFor(limitMs);
    const route = {timeoutMs: limitMs};
    const late: Handler = (_, response) => {
      response.writeHead(200, upstreamHead);
      response.write(event(1));
      setTimeout(() => response.end(event(2)), limitMs - reserveMs / 2);
    };
    const begun = await serveWithin(limitMs, route, late);
    expect(begun.response.body).to.equal(event(1) + event(2));
    expect(begun.response.complete).to.equal(true);
    const silent = await serveWithin(limitMs, route, () => undefined);
    expect(silent.response.status).to.equal(504);
    expect(silent.tookMs).to.be.below(limitMs);
    const shortLimitMs = 10;
    expect(answerReserveFor(shortLimitMs)).to.be.below(shortLimitMs / 2);
  });

  // Guards against a caller that cannot know that its request was not run.
  it('refuses a request that was not read completely before the limit of its caller', async () => {
    const limitMs = 2_000;
    const dialect = dialectWithLimit(limitMs);
    const gateway = await startGateway({}, [refuse], {dialect});
    const startedAtMs = performance.now();
    const status = await new Promise(resolve => {
      const call = sendRequest({
        host: '127.0.0.1',
        port: gateway.port,
        path: '/chat/x',
        method: 'POST',
        headers: {id: 'r1', authorization: 'key', 'content-length': 9},
        agent: false,
      });
      call.on('response', ({statusCode}) => resolve(statusCode));
      call.on('error', resolve);
      call.write('half');
    });
    const tookMs = performance.now() - startedAtMs;
    await gateway.close();
    expect(status).to.equal(503);
    expect(tookMs).to.be.below(limitMs);
  });

  // Guards against an upstream that works on after the last answer it can give,
  // and against a stream that must end before its caller's limit.
  it('grants upstreams the time in which their response can reach the caller', async () => {
    const limitMs = 3_000;
    const grantedMs = async (streams: boolean) => {
      let remainingMs = 0;
      await serveWithin(limitMs, {streams}, (message, response) => {
        remainingMs = Number(message.headers['remaining']);
        refuse(message, response);
      });
      return remainingMs;
    };
    const lastAnswerMs = limitMs - answerReserveFor(limitMs);
    expect(await grantedMs(false)).to.be.at.most(lastAnswerMs);
    expect(await grantedMs(true)).to.be.above(lastAnswerMs);
  });

  it('refuses unknown keys and routes without calling an upstream', async () => {
    let upstreamCalls = 0;
    const handler: Handler = () => {
      upstreamCalls += 1;
    };
    const unknownKey = await serve({}, [handler], '/chat/x', 'other');
    expect(unknownKey.response.status).to.equal(401);
    const unknownRoute = await serve({}, [handler], '/other/');
    expect(unknownRoute.response.status).to.equal(404);
    expect(upstreamCalls).to.equal(0);
  });

  it('records each request once, with its upstreams and the configuration', async () => {
    const {ended} = await serve({}, [streamFrom(4)]);
    expect(ended).to.have.length(1);
    expect(ended[0]).to.include({
      requestId: 'r1',
      outcome: 'served',
      configVersion: 1,
    });
    expect(ended[0]?.upstreams).to.deep.equal(['u0']);
  });
});
