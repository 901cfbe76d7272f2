import type {Server} from 'node:http';
import {Agent, request} from 'node:http';
import type {AddressInfo} from 'node:net';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {
  createRouteServer,
  jsonResponse,
  textResponse,
} from '../../server/RouteServer.js';

interface Answer {
  readonly status: number | undefined;
  readonly type: string | undefined;
  readonly body: string;
}

function ask(
  server: Server,
  path: string,
  method = 'GET',
  agent: Agent | false = false,
): Promise<Answer> {
  const {port} = server.address() as AddressInfo;
  return new Promise((resolve, reject) => {
    const call = request({port, path, method, agent}, response => {
      let body = '';
      response.on('data', chunk => (body += String(chunk)));
      response.on('end', () => {
        const type = response.headers['content-type'];
        resolve({status: response.statusCode, type, body});
      });
    });
    call.on('error', reject);
    call.end();
  });
}

/** Sends a text on one connection; returns what is received until it closes. */
function exchange(server: Server, sent: string): Promise<string> {
  const {port} = server.address() as AddressInfo;
  return new Promise((resolve, reject) => {
    const socket = connect(port);
    let received = '';
    socket.on('data', chunk => (received += String(chunk)));
    socket.on('error', reject);
    socket.on('close', () => resolve(received));
    socket.write(sent);
  });
}

function statusesIn(received: string): readonly string[] {
  return [...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(
    ([, code]) => `${code}`,
  );
}

const pipelinedCount = 1_000;
const slowRouteMs = 50;

describe('RouteServer', () => {
  let server: Server;
  let slowCallsCount: number;

  beforeEach(done => {
    slowCallsCount = 0;
    server = createRouteServer({
      '/slow': async () => {
        slowCallsCount += 1;
        await sleep(slowRouteMs);
        return textResponse('slow\n');
      },
      '/text': () => textResponse('no\n', 503),
      '/json': query => jsonResponse({after: query.get('after')}),
      '/broken': () => Promise.reject(new Error('broken')),
    });
    server.listen(0, done);
  });

  afterEach(done => {
    server.close(done);
  });

  it('responds at its paths', async () => {
    expect(await ask(server, '/text')).to.deep.equal({
      status: 503,
      type: 'text/plain; charset=UTF-8',
      body: 'no\n',
    });
    const json = await ask(server, '/json?after=7&x=%20');
    expect(json).to.deep.equal({
      status: 200,
      type: 'application/json',
      body: '{"after":"7"}',
    });
  });

  it('responds to HEAD without a body', async () => {
    const {body, status} = await ask(server, '/text', 'HEAD');
    expect({body, status}).to.deep.equal({body: '', status: 503});
  });

  it('responds 404 to other paths and methods', async () => {
    for (const path of ['/', '/other', '/__proto__', '/text/']) {
      expect((await ask(server, path)).status).to.equal(404);
    }
    expect((await ask(server, '/text', 'POST')).status).to.equal(404);
  });

  // Guards against a request that a failed route leaves without an answer.
  it('responds 500 when a route fails', async () => {
    expect((await ask(server, '/broken')).status).to.equal(500);
  });

  // Guards against requests of one packet that fill the heap while they wait.
  it('serves one request of a connection at a time', async () => {
    const head = 'GET /slow HTTP/1.1\r\nHost: h\r\n\r\n';
    const received = await exchange(server, head.repeat(pipelinedCount));
    expect(statusesIn(received)).to.deep.equal(['200', '503']);
    expect(slowCallsCount).to.equal(1);
  });

  it('serves one request after the other on a connection', async () => {
    const agent = new Agent({keepAlive: true, maxSockets: 1});
    const codes = [];
    for (const path of ['/slow', '/json', '/slow']) {
      codes.push((await ask(server, path, 'GET', agent)).status);
    }
    agent.destroy();
    expect(codes).to.deep.equal([200, 200, 200]);
  });
});
