import {once} from 'node:events';
import type {IncomingMessage} from 'node:http';
import {request as sendRequest} from 'node:http';
import type {AddressInfo} from 'node:net';
import {connect} from 'node:net';
import {
  createConnectionBudget,
  createMemoryBudget,
  createOpenRequestLimit,
  createSystemClock,
  delay,
  toInstanceId,
  toRequestId,
} from '@toucanrouter/common';
import {createLogger} from '@toucanrouter/logging';
import {expect} from 'chai';
import {err, ok} from 'neverthrow';
import type {Filter} from '../../request/Exchange.js';
import {abortError} from '../../request/Exchange.js';
import {createCallerServer} from '../../server/CallerServer.js';
import {closeServer} from '../../server/Listening.js';

const clock = createSystemClock();
const host = '127.0.0.1';
const maxOpenRequestBytes = 24_000_000;

/** Starts a server whose calls to plain services are served by `filter`. */
async function startServer(filter: Filter) {
  const callers = createCallerServer({
    clock,
    logger: createLogger({
      format: 'json',
      level: 'error',
      instanceId: toInstanceId('i'),
      write: () => undefined,
    }),
    createRequestId: () => toRequestId('r'),
    defaultTimeoutMs: 10_000,
    maxBodyBytes: 1_000,
    chatPipeline: [],
    plainPipeline: [filter],
    classes: () => [],
    isKnownCaller: () => true,
    bodyMemory: createMemoryBudget({clock, maxBytes: 1_000_000}),
    connections: createConnectionBudget({clock, maxCount: Infinity}),
    lingeringCount: Infinity,
    openRequests: createOpenRequestLimit(maxOpenRequestBytes),
    loadControl: {admit: () => ok(undefined), retryAfterMs: () => 1_000},
  });
  callers.server.listen(0, host);
  await once(callers.server, 'listening');
  return {callers, port: (callers.server.address() as AddressInfo).port};
}

/** Sends a body without end; resolves to the status, or 0 without a response. */
function sendEndlessBody(port: number): Promise<number> {
  return new Promise(resolve => {
    const path = '/services/s/x';
    const message = sendRequest({host, port, path, method: 'POST'});
    let status = 0;
    const timer = setInterval(() => message.write(Buffer.alloc(4_096)), 1);
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

describe('createCallerServer', () => {
  // Guards against a reset in place of the response to a body that is too large.
  it('responds to a caller whose body exceeds the limit and closes', async () => {
    const {callers, port} = await startServer(() => Promise.resolve(ok()));
    const sent = Array.from({length: 10}, () => sendEndlessBody(port));
    const statuses = await Promise.all(sent);
    callers.server.closeAllConnections();
    await closeServer(callers.server);
    expect(new Set(statuses)).to.deep.equal(new Set([400]));
  });

  // Guards against a request that is run and whose connection closes with the
  // response to the request before it.
  it('answers all requests that it reads on a connection while it is closed', async () => {
    const {callers, port} = await startServer(async exchange => {
      await delay(clock, 200);
      exchange.response.send(200, {}, Buffer.from(exchange.target.path));
      return ok(undefined);
    });
    const socket = connect(port, host);
    let text = '';
    socket.on('data', chunk => (text += String(chunk)));
    const request = (path: string) =>
      `GET /services/s${path} HTTP/1.1\r\nhost: h\r\n\r\n`;
    socket.write(request('/first'));
    await delay(clock, 50);
    callers.drainConnections();
    const closed = closeServer(callers.server);
    socket.write(request('/second'));
    socket.write(request('/third'));
    await once(socket, 'close');
    callers.server.closeAllConnections();
    await closed;
    for (const path of ['/first', '/second', '/third']) {
      expect(text).to.include(path);
    }
  });

  // Guards against calls that go on for ever after their caller has left, and
  // against a warning of Node.js for each connection with many calls.
  it('aborts all calls of a connection that closes, also those that wait', async () => {
    const callCount = 20;
    const warnings: string[] = [];
    const onWarning = ({name}: Error) => warnings.push(name);
    process.on('warning', onWarning);
    let openCount = 0;
    const aborted: Promise<unknown>[] = [];
    const {callers, port} = await startServer(async ({signal}) => {
      openCount += 1;
      const whenAborted = once(signal, 'abort');
      aborted.push(whenAborted);
      await whenAborted;
      return ok(undefined);
    });
    const socket = connect(port, host);
    socket.write(
      'GET /services/s/x HTTP/1.1\r\nhost: h\r\n\r\n'.repeat(callCount),
    );
    while (openCount < callCount) await delay(clock, 5);
    socket.destroy();
    const all = Promise.all(aborted).then(() => 'aborted');
    const outcome = await Promise.race([all, delay(clock, 5_000)]);
    process.off('warning', onWarning);
    callers.server.closeAllConnections();
    await closeServer(callers.server);
    expect(outcome).to.equal('aborted');
    expect(warnings).to.deep.equal([]);
  });

  // Guards against a planned stop that cuts the response to a slow caller.
  it('sends a response completely to a caller that reads slowly while it is closed', async () => {
    const body = Buffer.alloc(12 * 1024 * 1024);
    const {callers, port} = await startServer(exchange => {
      exchange.response.send(200, {}, body);
      return Promise.resolve(ok(undefined));
    });
    const message = sendRequest({host, port, path: '/services/s/x'});
    message.end();
    const [response] = (await once(message, 'response')) as [IncomingMessage];
    response.pause();
    await delay(clock, 100);
    callers.drainConnections();
    const closed = closeServer(callers.server);
    await delay(clock, 100);
    let bodyBytes = 0;
    response.on('data', (chunk: Buffer) => (bodyBytes += chunk.length));
    response.on('error', () => undefined);
    response.resume();
    await once(response, 'close');
    callers.server.closeAllConnections();
    await closed;
    expect(bodyBytes).to.equal(body.length);
  });

  // Guards against an answer that comes when its caller has left.
  it('ends a call without a response before the timeout that its caller set', async () => {
    const timeoutMs = 2_000;
    const {callers, port} = await startServer(async exchange => {
      await new Promise(resolve =>
        exchange.signal.addEventListener('abort', resolve),
      );
      return err(abortError(exchange, true));
    });
    const headers = {'x-request-timeout-ms': timeoutMs};
    const startedAtMs = performance.now();
    const message = sendRequest({host, port, path: '/services/s/x', headers});
    message.end();
    const [response] = (await once(message, 'response')) as [IncomingMessage];
    const tookMs = performance.now() - startedAtMs;
    response.resume();
    await once(response, 'close');
    callers.server.closeAllConnections();
    await closeServer(callers.server);
    expect(response.statusCode).to.equal(502);
    expect(tookMs).to.be.below(timeoutMs);
  });

  for (const [mayHaveRun, status] of [
    [true, 502],
    [false, 503],
  ] as const) {
    // Guards against a stop that closes calls without an answer or says wrongly
    // that a call was not run.
    it(`answers ${status} to a call that a stop ends${mayHaveRun ? ' and that may have run' : ''}`, async () => {
      const {callers, port} = await startServer(async exchange => {
        setTimeout(callers.endCalls, 50);
        await once(exchange.signal, 'abort');
        return err(abortError(exchange, mayHaveRun));
      });
      const message = sendRequest({host, port, path: '/services/s/x'});
      message.end();
      const [response] = (await once(message, 'response')) as [IncomingMessage];
      response.resume();
      await once(response, 'close');
      callers.server.closeAllConnections();
      await closeServer(callers.server);
      expect(response.statusCode).to.equal(status);
    });
  }
});
