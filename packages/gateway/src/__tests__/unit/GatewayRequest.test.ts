import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer, request as sendRequest} from 'node:http';
import type {AddressInfo} from 'node:net';
import {
  createSeededRandom,
  createSystemClock,
  toInstanceId,
} from '@toucanrouter/common';
import {createLogger} from '@toucanrouter/logging';
import {createRetryBudget} from '@toucanrouter/policy';
import {expect} from 'chai';
import {createActiveConfig} from '../../config/ActiveConfig.js';
import {createConfigAge} from '../../config/ConfigAge.js';
import type {GatewayRoute} from '../../config/GatewayConfig.js';
import {shortIdOf} from '../../peers/ShortIds.js';
import type {EndedRequest} from '../../request/EndedRequest.js';
import type {GatewayContext} from '../../request/GatewayContext.js';
import {createPromptGuard} from '../../request/PromptGuard.js';
import {createGatewayServer} from '../../server/GatewayServer.js';
import {createUpstreamConnections} from '../../upstreams/UpstreamConnections.js';
import {createUpstreamKnowledge} from '../../upstreams/UpstreamKnowledge.js';
import {createUpstreamRegistry} from '../../upstreams/UpstreamRegistry.js';
import {createConfig, createEntry, createRoute} from './GatewayFixtures.js';
import {testDialect} from './TestDialect.js';

/** A dialect with header names that only this test uses. */
type Handler = (message: IncomingMessage, response: ServerResponse) => void;

async function startServer(server: Server): Promise<number> {
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return (server.address() as AddressInfo).port;
}

/** Starts a gateway in front of one upstream for each handler. */
async function startGateway(
  route: Partial<GatewayRoute>,
  handlers: readonly Handler[],
) {
  const clock = createSystemClock();
  const registry = createUpstreamRegistry({
    clock,
    onAdded: () => undefined,
    onRemoved: () => undefined,
  });
  const upstreams = handlers.map(handler => createServer(handler));
  for (const [index, upstream] of upstreams.entries()) {
    const port = await startServer(upstream);
    registry.put(createEntry(`u${index}`, {port}));
  }
  const config = createActiveConfig(() => undefined);
  config.applyIfNewer(createConfig({routes: [createRoute(route)]}));
  const configAge = createConfigAge(clock);
  configAge.confirmed(configAge.mark());
  const connections = createUpstreamConnections(clock);
  const ended: EndedRequest[] = [];
  const logger = createLogger({
    format: 'json',
    level: 'error',
    instanceId: toInstanceId('i'),
    write: () => undefined,
  });
  const random = createSeededRandom(1);
  const context: GatewayContext = {
    clock,
    logger,
    random,
    dialect: testDialect,
    failureDomain: 'a',
    config,
    configAge,
    maxConfigAgeMs: () => 60_000,
    confirmConfig: () => Promise.resolve(),
    registry,
    knowledge: createUpstreamKnowledge({clock, selfId: shortIdOf('i')}),
    reportSoon: () => undefined,
    connections,
    promptGuard: createPromptGuard({
      clock,
      logger,
      random,
      probe: () => Promise.resolve('unknown'),
      isUsable: () => true,
      onNews: () => undefined,
    }),
    retryBudget: () => createRetryBudget(),
    isDraining: () => false,
    onEnded: request => ended.push(request),
  };
  const gateway = createGatewayServer(context);
  const port = await startServer(gateway.server);
  return {
    port,
    ended,
    close: async () => {
      await connections.close();
      for (const server of [gateway.server, ...upstreams]) {
        server.closeAllConnections();
        server.close();
      }
    },
  };
}

interface CallerResponse {
  readonly status: number;
  readonly body: string;
  readonly retryAfter: string | undefined;
  readonly headers: IncomingMessage['headers'];
  /** False when the connection closed before the end of the response. */
  readonly complete: boolean;
}

function sendRequestTo(
  port: number,
  path = '/chat/x',
  key = 'key',
): Promise<CallerResponse> {
  return new Promise((resolve, reject) => {
    const headers = {id: 'r1', authorization: key};
    const call = sendRequest(
      {host: '127.0.0.1', port, path, method: 'POST', headers, agent: false},
      response => {
        let body = '';
        response.on('data', chunk => (body += String(chunk)));
        response.on('error', () => undefined);
        response.on('close', () =>
          resolve({
            status: response.statusCode ?? 0,
            body,
            headers: response.headers,
            retryAfter: response.headers['retry-after'],
            complete: response.complete,
          }),
        );
      },
    );
    call.on('error', reject);
    call.end('body');
  });
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

  it('responds at the timeout of the class when the upstream does not', async () => {
    const {response, ended} = await serve(
      {retryPolicy: 'never', streams: false, timeoutMs: 150},
      [() => undefined],
    );
    expect(response.status).to.equal(504);
    expect(ended[0]?.outcome).to.equal('answer_timeout');
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
