import type {IncomingMessage, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import {expect} from 'chai';
import {sendRequestTo, startGateway} from './GatewayServerFixtures.js';

const head = {id: 'r1', mark: 'm'};
const event = (id: number) => `id: ${id}\ndata: e${id}\n\n`;

describe('a replacement of a stalled attempt', () => {
  // Guards against a caller that waits for another stall although a further upstream is free.
  it('is replaced at once when its upstream refuses', async () => {
    const askedAtMs: number[] = [];
    const handle = (_: IncomingMessage, response: ServerResponse) => {
      askedAtMs.push(performance.now());
      const isReplacement = askedAtMs.length > 1;
      if (askedAtMs.length === 2) {
        response.writeHead(503, {id: 'r1', 'not-run': '1'});
        response.end();
        return;
      }
      response.writeHead(200, head);
      if (isReplacement) response.end([2, 3, 4].map(event).join(''));
      else response.write(event(1));
    };
    const gateway = await startGateway(
      {targetGapMs: 50, maxUpstreams: 3},
      [1, 2, 3].map(() => createServer(handle)),
    );
    const response = await sendRequestTo(gateway.port);
    await gateway.close();
    expect(response.body).to.equal([1, 2, 3, 4].map(event).join(''));
    const [, refusedAtMs = 0, replacedAtMs = Infinity] = askedAtMs;
    expect(replacedAtMs - refusedAtMs).to.be.below(400);
  });
});
