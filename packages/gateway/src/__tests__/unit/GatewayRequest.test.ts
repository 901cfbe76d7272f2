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
import {createPeerLoadTable} from '../../peers/LoadReports.js';
import type {Dialect} from '../../request/Dialect.js';
import type {EndedRequest} from '../../request/EndedRequest.js';
import type {GatewayContext} from '../../request/GatewayContext.js';
import {createGatewayServer} from '../../server/GatewayServer.js';
import {createResponseStats} from '../../upstreams/ResponseStats.js';
import {createEnginePools} from '../../upstreams/EnginePools.js';
import {createPrefixAffinity} from '../../upstreams/PrefixAffinity.js';
import {createUpstreamHealth} from '../../upstreams/UpstreamHealth.js';
import {createUpstreamConnections} from '../../upstreams/UpstreamConnections.js';
import {createUpstreamRegistry} from '../../upstreams/UpstreamRegistry.js';
import {createConfig, createEntry, createRoute} from './GatewayFixtures.js';

/** A dialect with header names that only this test uses. */
const dialect: Dialect = {
  readRequest: message => ({
    requestId: String(message.headers['id'] ?? ''),
    method: message.method ?? '',
    host: 'h',
    target: message.url ?? '',
    path: message.url ?? '',
    key: message.headers.authorization,
    callerTimeoutMs: undefined,
    prompt: undefined,
    resumeAfterId: undefined,
    headers: ['id', String(message.headers['id'] ?? '')],
  }),
  upstreamHeaders: (request, attributes) => [
    ...request.headers,
    ...(attributes.resumeAfterId === undefined
      ? []
      : ['after', attributes.resumeAfterId]),
  ],
  readResponse: (status, headers) => ({
    status,
    requestId: headers['id'] as string | undefined,
    notRun: headers['not-run'] !== undefined,
    misdirected: status === 421,
    stamped: headers['mark'] !== undefined,
    contentEncoded: false,
    headers: ['mark', String(headers['mark'] ?? '')],
  }),
};

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
  const healthByUpstream = new Map(
    handlers.map((_, index) => [
      `u${index}`,
      createUpstreamHealth(clock.nowMs),
    ]),
  );
  const ended: EndedRequest[] = [];
  const context: GatewayContext = {
    clock,
    logger: createLogger({
      format: 'json',
      level: 'error',
      instanceId: toInstanceId('i'),
      write: () => undefined,
    }),
    random: createSeededRandom(1),
    dialect,
    failureDomain: 'a',
    config,
    configAge,
    maxConfigAgeMs: () => 60_000,
    confirmConfig: () => Promise.resolve(),
    registry,
    healthOf: id => healthByUpstream.get(id)!,
    responseStats: createResponseStats(),
    peerLoads: createPeerLoadTable(clock),
    connections,
    prefixAffinity: createPrefixAffinity(),
    enginePools: () => createEnginePools(),
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
