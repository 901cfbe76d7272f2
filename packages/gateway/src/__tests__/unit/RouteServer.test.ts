import type {Server} from 'node:http';
import {request} from 'node:http';
import type {AddressInfo} from 'node:net';
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

function ask(server: Server, path: string, method = 'GET'): Promise<Answer> {
  const {port} = server.address() as AddressInfo;
  return new Promise((resolve, reject) => {
    const call = request({port, path, method, agent: false}, response => {
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

describe('RouteServer', () => {
  let server: Server;

  beforeEach(done => {
    server = createRouteServer({
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
});
