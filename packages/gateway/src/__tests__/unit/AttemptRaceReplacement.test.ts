import type {IncomingMessage, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {createRetryBudget} from '@toucanrouter/policy';
import {expect} from 'chai';
import {sendRequestTo, startGateway} from './GatewayServerFixtures.js';

const head = {id: 'r1', mark: 'm'};
const event = (id: number) => `id: ${id}\ndata: e${id}\n\n`;
const eventGapMs = 10;
/** Longer than the time between events after which an attempt has stalled. */
const pauseMs = 1_200;

async function writeEvents(
  response: ServerResponse,
  from: number,
  to: number,
): Promise<void> {
  for (let id = from; id <= to && !response.destroyed; id += 1) {
    response.write(event(id));
    await sleep(eventGapMs);
  }
}

/**
 * Creates two upstreams of a stream of `count` events. The one that is asked
 * first pauses after its first event and then goes on; the other one breaks off
 * its first response with `breakOff` after `eventsBefore` events.
 */
function createPausingAndFailing(
  count: number,
  eventsBefore: number,
  breakOff: (response: ServerResponse) => void,
) {
  const requestsByServer = new Map<number, number>();
  let pausingServer: number | undefined;
  const servers = [0, 1].map(index =>
    createServer((message, response) => {
      void respond(index, Number(message.headers['after'] ?? 0), response);
    }),
  );

  async function respond(
    index: number,
    after: number,
    response: ServerResponse,
  ): Promise<void> {
    const isFirst = !requestsByServer.has(index);
    requestsByServer.set(index, (requestsByServer.get(index) ?? 0) + 1);
    pausingServer ??= index;
    response.writeHead(200, head);
    if (isFirst && index === pausingServer) {
      await writeEvents(response, after + 1, after + 1);
      await sleep(pauseMs);
      await writeEvents(response, after + 2, count);
    } else if (isFirst) {
      await writeEvents(response, after + 1, after + eventsBefore);
      return breakOff(response);
    } else {
      await writeEvents(response, after + 1, count);
    }
    response.end();
  }

  return {servers, requestsByServer};
}

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

  // Guards against a stream that is given up and then lost for lack of a retry.
  it('is not started without a retry for its own failure', async () => {
    const {requestsByServer, servers} = createPausingAndFailing(
      allEvents.length,
      1,
      reset,
    );
    const budget = createRetryBudget({
      share: 0,
      minRatePerSecond: () => 0.1,
    });
    const gateway = await startGateway(
      {retryPolicy: 'resume', targetGapMs: 50, maxUpstreams: 2},
      servers,
      {retryBudget: () => budget},
    );
    const response = await sendRequestTo(gateway.port);
    await gateway.close();
    expect(response.body).to.equal(allEvents.map(event).join(''));
    expect(response.complete).to.equal(true);
    expect([...requestsByServer.values()]).to.deep.equal([1]);
  });

  const allEvents = Array.from({length: 20}, (_, index) => index + 1);
  const reset = (response: ServerResponse) => response.socket?.destroy();
  for (const [name, eventsBefore, breakOff] of [
    ['breaks off after its first event', 1, reset],
    ['breaks off after two events', 2, reset],
    ['breaks off after ten events', 10, reset],
    ['falls silent after its first event', 1, () => undefined],
  ] as const) {
    // Guards against a stream that is lost although its first upstream, which
    // was given up at the first event of the replacement, would have gone on.
    it(`is followed by the first upstream again when it ${name}`, async () => {
      const {requestsByServer, servers} = createPausingAndFailing(
        allEvents.length,
        eventsBefore,
        breakOff,
      );
      const gateway = await startGateway(
        {retryPolicy: 'resume', targetGapMs: 50, maxUpstreams: 2},
        servers,
      );
      const response = await sendRequestTo(gateway.port);
      await gateway.close();
      expect(response.body).to.equal(allEvents.map(event).join(''));
      expect(response.complete).to.equal(true);
      expect([...requestsByServer.values()]).to.deep.equal([2, 1]);
    });
  }
});
