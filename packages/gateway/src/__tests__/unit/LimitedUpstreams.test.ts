import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {createSystemClock, delay, readRequestRate} from '@toucanrouter/common';
import {expect} from 'chai';
import type {GatewayRoute} from '../../config/GatewayConfig.js';
import type {GatewayContext} from '../../request/GatewayContext.js';
import {createUpstreamConnections} from '../../upstreams/UpstreamConnections.js';
import {createEntry} from './GatewayFixtures.js';
import {sendRequestTo, startGateway} from './GatewayServerFixtures.js';

const clock = createSystemClock();
const msPerSecond = 1_000;

type Handler = (message: IncomingMessage, response: ServerResponse) => void;

interface TestUpstream {
  readonly server: Server;
  readonly arrivals: string[];
}

const idOf = (message: IncomingMessage) => String(message.headers['id']);

/** Creates an upstream that names `perS` in its responses. */
function createUpstream(
  perS?: string,
  handler: Handler = (_, response) => response.end('id: 1\ndata: e\n\n'),
): TestUpstream {
  const arrivals: string[] = [];
  const server = createServer((message, response) => {
    arrivals.push(idOf(message));
    message.resume();
    response.setHeader('id', idOf(message)).setHeader('mark', 'm');
    if (perS !== undefined) response.setHeader('rate-limit', perS);
    handler(message, response);
  });
  return {server, arrivals};
}

const plainRoute: Partial<GatewayRoute> = {
  streams: false,
  retryPolicy: 'whole',
};

const startedGateways: {close(): Promise<void>}[] = [];

async function start(
  route: Partial<GatewayRoute>,
  upstreams: readonly TestUpstream[],
  changes: Partial<GatewayContext> = {},
) {
  const servers = upstreams.map(({server}) => server);
  const gateway = await startGateway(route, servers, changes);
  startedGateways.push(gateway);
  const entryAt = (index: number) =>
    createEntry(`u${index}`, {
      port: (servers[index]?.address() as AddressInfo).port,
    });
  return {
    ...gateway,
    entryAt,
    /** Lets an upstream name a rate in the response to another request. */
    limit: (index: number, perS: string | undefined) =>
      gateway.upstreamRates.receive(
        entryAt(index),
        'earlier',
        {
          misdirected: false,
          requestId: 'earlier',
          requestRate: readRequestRate(perS),
        },
        clock.nowMs(),
      ),
    send: (id = 'r1') => sendRequestTo(gateway.port, '/chat/x', 'key', id),
  };
}

describe('upstreams with a limited request rate', function () {
  this.timeout(20_000);

  afterEach(async () => {
    for (const gateway of startedGateways.splice(0)) await gateway.close();
  });

  // Guards against refusals where a short wait would have served the caller.
  it('lets a request wait for a turn within the target latency', async () => {
    const upstream = createUpstream('5');
    const route = {...plainRoute, targetLatencyMs: 1_500};
    const gateway = await start(route, [upstream]);
    gateway.limit(0, '5');
    const startMs = clock.nowMs();
    const responses = await Promise.all(['a', 'b', 'c'].map(gateway.send));
    expect(responses.map(({status}) => status)).to.deep.equal([200, 200, 200]);
    // The share begins empty, and a turn comes each 200 ms.
    expect(clock.nowMs() - startMs).to.be.within(550, 1_400);
    expect(upstream.arrivals).to.deep.equal(['a', 'b', 'c']);
    const [status] = gateway.upstreamRates.status();
    expect(status?.sentCount).to.equal(3);
    expect(status?.heldBackCounts.get('waited')).to.equal(3);
  });

  // Guards against callers that are held in vain and return all at once.
  it('refuses early what has no turn, and spreads the returns', async () => {
    const upstream = createUpstream('1');
    const gateway = await start(plainRoute, [upstream]);
    gateway.limit(0, '1');
    const startMs = clock.nowMs();
    const ids = Array.from({length: 8}, (_, index) => `r${index}`);
    const responses = await Promise.all(ids.map(gateway.send));
    expect(clock.nowMs() - startMs).to.be.below(400);
    expect(upstream.arrivals).to.deep.equal([]);
    expect(responses.map(({status}) => status)).to.deep.equal(
      ids.map(() => 503),
    );
    const delaysMs = responses
      .map(({retryAfter}) => Number(retryAfter) * msPerSecond)
      .toSorted((a, b) => a - b);
    delaysMs.forEach((delayMs, index) =>
      expect(delayMs).to.be.within(
        index * msPerSecond,
        (index + 1.5) * msPerSecond,
      ),
    );
    const outcomes = gateway.ended.map(({outcome}) => outcome);
    expect(outcomes).to.deep.equal(ids.map(() => 'no_upstream'));
    const [status] = gateway.upstreamRates.status();
    expect(status?.heldBackCounts.get('refused')).to.equal(8);
  });

  // Guards against requests that wait for a limited upstream beside an idle one.
  it('places requests on upstreams without a limit', async () => {
    const upstreams = [createUpstream('1'), createUpstream()];
    const gateway = await start(plainRoute, upstreams);
    gateway.limit(0, '1');
    const ids = Array.from({length: 10}, (_, index) => `r${index}`);
    const responses = await Promise.all(ids.map(gateway.send));
    expect(responses.every(({status}) => status === 200)).to.equal(true);
    expect(upstreams[1]?.arrivals).to.have.length(10);
    const [status] = gateway.upstreamRates.status();
    expect(status?.heldBackCounts.get('placed_elsewhere')).to.equal(10);
  });

  // Guards against hedges, retries and resumptions beside the rate.
  it('asks no limited upstream beside a stalled one', async () => {
    const slow = createUpstream(undefined, (_, response) => {
      setTimeout(() => response.end('id: 1\ndata: e\n\n'), 900);
    });
    const limited = createUpstream('0.1');
    const gateway = await start({targetLatencyMs: 50}, [slow, limited]);
    gateway.limit(1, '0.1');
    expect((await gateway.send()).status).to.equal(200);
    expect(limited.arrivals).to.deep.equal([]);
  });

  // Guards against a "not run" for a request that an upstream may have run.
  it('does not state "not run" for a request that broke off before', async () => {
    const breaking = createUpstream(undefined, (_, response) =>
      response.destroy(),
    );
    const limited = createUpstream('0.1');
    const gateway = await start(plainRoute, [breaking, limited]);
    gateway.limit(1, '0.1');
    expect((await gateway.send()).status).to.equal(502);
    expect(limited.arrivals).to.deep.equal([]);
  });

  // Guards against requests that were placed before a limit and are written in it.
  it('withdraws a request that waits for its connection when a limit begins', async () => {
    const upstreams = [createUpstream(), createUpstream()];
    const connections = createUpstreamConnections(clock);
    const placedAt: number[] = [];
    const gateway = await start(plainRoute, upstreams, {
      connections: {
        ...connections,
        send: (request, handler) => {
          const index = request.port === gateway.entryAt(0).port ? 0 : 1;
          if (placedAt.length === 0) gateway.limit(index, '0.1');
          placedAt.push(index);
          return connections.send(request, handler);
        },
      },
    });
    expect((await gateway.send()).status).to.equal(200);
    const [first = 0, second] = placedAt;
    expect(second).to.equal(1 - first);
    expect(upstreams[first]?.arrivals).to.deep.equal([]);
    const health = gateway.knowledge.healthOf(gateway.entryAt(first));
    expect(health.recentOutcomes(clock.nowMs()).failed).to.equal(0);
    await connections.close();
  });

  // Guards against a share that is used up by requests that were never sent.
  it('takes back requests that found no connection', async () => {
    const upstream = createUpstream('5');
    const route = {...plainRoute, targetLatencyMs: 2_000};
    const gateway = await start(route, [upstream]);
    gateway.limit(0, '5');
    upstream.server.close();
    upstream.server.closeAllConnections();
    expect((await gateway.send()).status).to.equal(503);
    const [status] = gateway.upstreamRates.status();
    expect(status?.sentCount).to.equal(0);
  });

  // Guards against a limit whose end is not heard of, and against a rush after it.
  it('returns to full traffic step by step after the end', async () => {
    const upstream = createUpstream();
    const route = {...plainRoute, targetLatencyMs: 100};
    const gateway = await start(route, [upstream]);
    gateway.limit(0, '1');
    await delay(clock, 5);
    gateway.limit(0, undefined);
    const sendAll = async (prefix: string) => {
      const ids = Array.from({length: 20}, (_, index) => `${prefix}${index}`);
      const responses = await Promise.all(ids.map(gateway.send));
      return responses.filter(({status}) => status === 200).length;
    };
    expect(await sendAll('at once')).to.be.at.most(3);
    await delay(clock, 4_000);
    expect(await sendAll('later')).to.equal(20);
  });
});
