import {createServer} from 'node:http';
import {createBufferBudget} from '@toucanrouter/common';
import {expect} from 'chai';
import {sendRequestTo, startGateway} from './GatewayServerFixtures.js';

const maxBytes = 2 * 1024 * 1024;
const chunk = Buffer.alloc(64 * 1024);

/** Answers with bytes without end if the request id says so. */
function createUpstream() {
  return createServer((message, response) => {
    const id = String(message.headers['id']);
    response.writeHead(200, {id, mark: 'm', 'content-type': 'text/plain'});
    if (!id.startsWith('endless')) {
      response.end('whole');
      return;
    }
    const write = () => {
      while (!response.destroyed && response.write(chunk));
    };
    response.on('drain', write);
    write();
  });
}

describe('Gateway with responses that do not end', () => {
  // Guards against an instance that runs out of memory, and loses the requests
  // of all its callers.
  it('keeps within the memory for responses and serves other requests', async () => {
    const responseBuffers = createBufferBudget(maxBytes);
    const gateway = await startGateway(
      {streams: false, retryPolicy: 'never', maxUpstreams: 1},
      [createUpstream()],
      {responseBuffers},
    );
    const send = (id: string) =>
      sendRequestTo(gateway.port, '/chat/x', 'key', id);
    const endless = Array.from({length: 8}, (_, index) =>
      send(`endless-${index}`),
    );
    for (let index = 0; index < 20; index += 1) {
      const response = await send(`sound-${index}`);
      expect(response.body).to.equal('whole');
      expect(responseBuffers.usedBytes()).to.be.at.most(maxBytes);
    }
    for (const {status} of await Promise.all(endless)) {
      expect(status).to.equal(502);
    }
    expect(responseBuffers.usedBytes()).to.equal(0);
    await gateway.close();
  });
});
