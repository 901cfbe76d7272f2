import {createSystemClock, delay} from '@toucanrouter/common';
import {expect} from 'chai';
import {err, ok} from 'neverthrow';
import type {Exchange, Filter} from '../../request/Exchange.js';
import {abortError} from '../../request/Exchange.js';
import type {LimitedServer, SentCall} from './CallerServerFixture.js';
import {sendCall, startLimitedServer} from './CallerServerFixture.js';

const clock = createSystemClock();
const bodyBytes = 200_000;
/** Room for ten bodies of the most urgent tier. */
const memoryBytes = 10 * bodyBytes;
/** Far above the time in which all bodies arrive. */
const maxArrivalMs = 20_000;
const pollMs = 20;
const settleMs = 300;

function respond({response}: Exchange): void {
  response.send(200, {}, Buffer.from('done'));
}

const serveAtOnce: Filter = exchange => {
  respond(exchange);
  return Promise.resolve(ok(undefined));
};

/** Serves calls that wait, as for a permit, until `release` is called. */
function createWaitingFilter() {
  let release = (): void => undefined;
  const released = new Promise<void>(resolve => (release = resolve));
  const filter: Filter = async exchange => {
    const {signal} = exchange;
    const aborted = new Promise<void>(resolve =>
      signal.addEventListener('abort', () => resolve()),
    );
    await Promise.race([released, aborted]);
    if (signal.aborted) return err(abortError(exchange, false));
    respond(exchange);
    return ok(undefined);
  };
  return {filter, release: () => release()};
}

function expectNotRun(call: SentCall): void {
  const {headers, status} = call.response()!;
  expect(status).to.equal(503);
  expect(headers['x-run-status']).to.equal('not_run');
  expect(Number(headers['retry-after'])).to.be.at.least(1);
}

const answered = (calls: readonly SentCall[]) =>
  calls.filter(call => call.response() !== undefined);

describe('memory for the bodies of calls', () => {
  let server: LimitedServer;
  afterEach(() => server.close());

  for (const isChunked of [false, true]) {
    const kind = isChunked ? 'chunked' : 'declared';

    // Guards against many large bodies at once that exhaust the memory of the
    // process before one of them is complete.
    it(`holds no more ${kind} bodies than fit and refuses the others at once`, async () => {
      server = await startLimitedServer({filter: serveAtOnce, memoryBytes});
      const calls = Array.from({length: 60}, () =>
        sendCall({
          port: server.port,
          path: '/services/tier-1/x',
          bodyBytes,
          sentBytes: bodyBytes - 1,
          isChunked,
        }),
      );
      // The bodies arrive later on a busy machine.
      const endMs = clock.nowMs() + maxArrivalMs;
      while (answered(calls).length < 50 && clock.nowMs() < endMs) {
        await delay(clock, pollMs);
      }
      await delay(clock, settleMs);
      const refused = answered(calls);
      expect(refused.length).to.be.at.least(50);
      expect(refused.length).to.be.below(60);
      refused.forEach(expectNotRun);
      expect(server.memory.status().usedBytes).to.be.at.most(memoryBytes);
      for (const call of calls) if (!refused.includes(call)) call.finish();
      const outcomes = await Promise.all(calls.map(({ended}) => ended));
      const served = outcomes.filter(outcome => outcome?.status === 200);
      expect(served).to.have.length(60 - refused.length);
      expect(server.memory.status().usedBytes).to.equal(0);
    });
  }

  // Guards against urgent calls that are refused while others hold the memory.
  it('gives up the least urgent calls that wait for more urgent ones', async () => {
    const {filter, release} = createWaitingFilter();
    server = await startLimitedServer({filter, memoryBytes});
    const send = (tier: number) =>
      sendCall({
        port: server.port,
        path: `/services/tier-${tier}/x`,
        bodyBytes,
      });
    const low = Array.from({length: 10}, () => send(4));
    await delay(clock, settleMs);
    const refusedAtOnce = answered(low).length;
    expect(refusedAtOnce).to.be.greaterThan(0).and.below(10);
    const urgent = Array.from({length: 10}, () => send(1));
    await delay(clock, settleMs);
    expect(answered(urgent)).to.have.length(0);
    expect(answered(low)).to.have.length(10);
    low.forEach(expectNotRun);
    release();
    const outcomes = await Promise.all(urgent.map(({ended}) => ended));
    expect(new Set(outcomes.map(outcome => outcome?.status))).to.deep.equal(
      new Set([200]),
    );
    expect(server.memory.status().usedBytes).to.equal(0);
  });

  // Guards against memory that stays reserved for callers that have left.
  it('frees the memory of callers that leave', async () => {
    const {filter} = createWaitingFilter();
    server = await startLimitedServer({filter, memoryBytes});
    const path = '/services/tier-1/x';
    const sending = sendCall({
      port: server.port,
      path,
      bodyBytes,
      sentBytes: bodyBytes / 2,
    });
    const waiting = sendCall({port: server.port, path, bodyBytes});
    await delay(clock, settleMs);
    expect(server.memory.status().usedBytes).to.equal(2 * bodyBytes);
    sending.leave();
    waiting.leave();
    await delay(clock, settleMs);
    expect(server.memory.status().usedBytes).to.equal(0);
  });

  // Guards against parsed chat bodies that count as their bytes only.
  it('counts the forms in which a chat call holds its body', async () => {
    const {filter} = createWaitingFilter();
    server = await startLimitedServer({filter, memoryBytes});
    const chat = sendCall({
      port: server.port,
      path: '/v1/chat/completions',
      bodyBytes,
      sentBytes: 1,
    });
    await delay(clock, settleMs);
    expect(server.memory.status().usedBytes).to.equal(3 * bodyBytes);
    chat.leave();
  });
});
