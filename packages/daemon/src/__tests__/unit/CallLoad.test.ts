import {createSystemClock, delay} from '@toucanrouter/common';
import {expect} from 'chai';
import {ok} from 'neverthrow';
import type {Filter} from '../../request/Exchange.js';
import type {LimitedServer, SentCall} from './CallerServerFixture.js';
import {sendCall, startLimitedServer} from './CallerServerFixture.js';

const clock = createSystemClock();
const loadMs = 6_000;
/** Processor time of a served call; the load asks for twice what there is. */
const servedMs = 20;
const callsPerSecond = 100;
/** One of so many calls is urgent. */
const urgentEvery = 5;

const serveAtOnce: Filter = ({response}) => {
  response.send(200, {}, Buffer.from('done'));
  return Promise.resolve(ok(undefined));
};

const serveWithWork: Filter = (exchange, next) => {
  occupy(servedMs);
  return serveAtOnce(exchange, next);
};

/** Occupies the processor, as work of this or of other processes does. */
function occupy(durationMs: number): void {
  const endMs = performance.now() + durationMs;
  while (performance.now() < endMs);
}

const statuses = async (calls: readonly SentCall[]) =>
  (await Promise.all(calls.map(({ended}) => ended))).map(
    outcome => outcome?.status,
  );

const countOf = (values: readonly unknown[], value: unknown) =>
  values.filter(other => other === value).length;

describe('calls to an instance without processor time', () => {
  let server: LimitedServer;
  const start = async (filter: Filter) => {
    server = await startLimitedServer({filter});
    server.loadControl.loopDelay.start();
  };
  afterEach(() => server.close());

  const send = (tier: number) =>
    sendCall({
      port: server.port,
      path: `/services/tier-${tier}/x`,
      bodyBytes: 100,
    });

  // Guards against an instance that accepts all calls however late it runs, so
  // that urgent calls wait unread behind all others.
  it('refuses less urgent calls as not run and serves the most urgent', async () => {
    await start(serveWithWork);
    const urgent: SentCall[] = [];
    const low: SentCall[] = [];
    const startMs = performance.now();
    const elapsedMs = () => performance.now() - startMs;
    for (let sent = 0; elapsedMs() < loadMs; await delay(clock, 1)) {
      // The callers do not wait for the instance.
      for (; sent < (elapsedMs() * callsPerSecond) / 1_000; sent++) {
        if (sent % urgentEvery === 0) urgent.push(send(1));
        else low.push(send(4));
      }
    }
    const urgentStatuses = await statuses(urgent);
    const lowStatuses = await statuses(low);
    expect(countOf(urgentStatuses, 200)).to.be.at.least(urgent.length * 0.9);
    expect(countOf(lowStatuses, 503)).to.be.greaterThan(low.length / 4);
    expect(countOf(lowStatuses, 200) + countOf(lowStatuses, 503)).to.equal(
      low.length,
    );
    const refused = [...urgent, ...low]
      .map(call => call.response()!)
      .filter(r => r.status === 503);
    for (const {headers} of refused) {
      expect(headers['x-run-status']).to.equal('not_run');
      expect(Number(headers['retry-after'])).to.be.at.least(1);
    }
    const counts = server.loadControl.shedCounts();
    const counted = counts.reduce((sum, {count}) => sum + count, 0);
    expect(counted).to.equal(refused.length);
  });

  // Guards against an instance with enough processor time that refuses calls.
  it('serves all calls while the event loop is on time', async () => {
    await start(serveAtOnce);
    const calls: SentCall[] = [];
    for (let i = 0; i < 20; i++) {
      for (const tier of [1, 2, 3, 4]) calls.push(send(tier));
      await delay(clock, 20);
    }
    expect(new Set(await statuses(calls))).to.deep.equal(new Set([200]));
  });
});
