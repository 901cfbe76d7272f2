import {
  createManualClock,
  createSeededRandom,
  readRequestRate,
  toInstanceId,
} from '@toucanrouter/common';
import {createLogger} from '@toucanrouter/logging';
import {expect} from 'chai';
import {shortIdOf} from '../../peers/ShortIds.js';
import type {UpstreamEntry} from '../../upstreams/UpstreamEntry.js';
import type {RateHead} from '../../upstreams/UpstreamRateLimits.js';
import {createUpstreamRateLimits} from '../../upstreams/UpstreamRateLimits.js';
import {createEntry, service} from './GatewayFixtures.js';

const entry = createEntry('u');
const peerId = toInstanceId('peer');

function headWith(
  value: string | string[] | undefined,
  changes: Partial<RateHead> = {},
): RateHead {
  return {
    misdirected: false,
    requestId: 'r',
    requestRate: readRequestRate(value),
    ...changes,
  };
}

/** Creates the limits of an instance with `entries` and one peer. */
function createLimits(
  entries: readonly UpstreamEntry[] = [entry],
  instanceId = toInstanceId('i'),
) {
  const clock = createManualClock(1_000);
  const lines: string[] = [];
  let newsCount = 0;
  let usable = entries;
  const limits = createUpstreamRateLimits({
    clock,
    logger: createLogger({
      format: 'json',
      level: 'info',
      instanceId,
      write: line => lines.push(line),
    }),
    random: createSeededRandom(1),
    selfId: instanceId,
    peerIds: () => [peerId],
    usable: () => usable,
    onNews: () => (newsCount += 1),
  });
  for (const each of entries) limits.upstreamAdded(each);
  return {
    clock,
    limits,
    newsCount: () => newsCount,
    setUsable: (next: readonly UpstreamEntry[]) => {
      usable = next;
    },
    receive: (value: string | string[] | undefined, changes = {}) =>
      limits.receive(entry, 'r', headWith(value, changes), clock.nowMs()),
    logged: (message: string) =>
      lines
        .map(line => JSON.parse(line) as Readonly<Record<string, unknown>>)
        .filter(line => line['message'] === message),
  };
}

describe('UpstreamRateLimits', () => {
  // Guards against a limit that operators cannot see.
  it('logs the begin, change and end of a limit, and tells peers of each', () => {
    const {clock, logged, newsCount, receive} = createLimits();
    receive('4');
    receive('4');
    clock.advance(10);
    receive('2');
    clock.advance(10);
    receive(undefined);
    receive(undefined);
    const [began] = logged('upstream request rate limit began');
    expect(began).to.include({
      upstream: 'u',
      service: 'llm',
      requestId: 'r',
      perS: 4,
      sharePerS: 2,
    });
    expect(logged('upstream request rate limit changed')).to.have.length(1);
    expect(logged('upstream request rate limit ended')).to.have.length(1);
    expect(newsCount()).to.equal(3);
  });

  // Guards against unusable values that begin or end a limit, or fill the log.
  it('logs an unusable value once for each process, and changes nothing', () => {
    const unusable = ['-1', 'NaN', '1e308', '', '3/s', '3 requests', '1,x'];
    for (const limited of [false, true]) {
      const {limits, logged, newsCount, receive} = createLimits();
      if (limited) receive('3');
      const newsBefore = newsCount();
      for (const value of [...unusable, ['3', '']]) receive(value);
      expect(limits.isLimited(entry)).to.equal(limited);
      expect(newsCount()).to.equal(newsBefore);
      const message = 'an upstream sent an unusable request rate';
      expect(logged(message)).to.have.length(1);
      const restarted = createEntry('u', {startedAtMs: 2});
      limits.upstreamAdded(restarted);
      limits.receive(restarted, 'r', headWith('x'), 0);
      expect(logged(message)).to.have.length(2);
    }
  });

  // Guards against a limit of none that is never seen to end.
  it('lets some requests through at a limit of 0', () => {
    const {clock, limits, receive} = createLimits();
    receive('0');
    expect(limits.waitMs(entry, 0, undefined)).to.be.above(1_000);
    clock.advance(60_000);
    expect(limits.waitMs(entry, 0, undefined)).to.equal(0);
  });

  // Guards against responses of others that begin or end a limit.
  it('ignores responses that the upstream did not write', () => {
    const {limits, receive} = createLimits();
    receive('3', {misdirected: true});
    expect(limits.isLimited(entry)).to.equal(false);
    receive('3');
    receive(undefined, {requestId: undefined});
    limits.receive(createEntry('gone'), 'r', headWith('3'), 0);
    const statuses = limits.status();
    expect(statuses.map(({limitedCount}) => limitedCount)).to.deep.equal([1]);
  });

  // Guards against limits of a process that outlive it, and against their loss
  // when an entry lapses.
  it('keeps a limit while its entry lapses, and not for a new process', () => {
    const {clock, limits, receive} = createLimits();
    receive('3');
    limits.upstreamRemoved(entry);
    clock.advance(30_000);
    limits.takeReport();
    limits.upstreamAdded(createEntry('u', {slots: 7}));
    clock.advance(40_000);
    expect(limits.takeReport()?.statements).to.have.length(1);
    expect(limits.isLimited(entry)).to.equal(true);
    limits.upstreamAdded(createEntry('u', {startedAtMs: 2}));
    expect(limits.isLimited(entry)).to.equal(false);
    expect(limits.takeReport()).to.equal(undefined);
  });

  // Guards against records of upstreams that are gone.
  it('forgets the limit of an upstream that does not return', () => {
    const {clock, limits, receive} = createLimits();
    receive('3');
    const report = limits.takeReport();
    limits.upstreamRemoved(entry);
    clock.advance(60_000);
    expect(limits.takeReport()).to.equal(undefined);
    if (report === undefined) throw new Error('nothing is reported');
    limits.receiveReport({
      ...report,
      instanceId: shortIdOf(peerId),
      sequence: 9,
    });
    expect(limits.takeReport()).to.equal(undefined);
  });

  // Guards against instances that learn of a limit only by their own requests.
  it('adopts what a peer was told, and logs which one', () => {
    const told = createLimits([entry], peerId);
    told.receive('3');
    const {limits, logged, newsCount} = createLimits();
    const report = told.limits.takeReport();
    if (report === undefined) throw new Error('nothing is reported');
    limits.receiveReport(report);
    expect(limits.isLimited(entry)).to.equal(true);
    expect(newsCount()).to.equal(1);
    const [began] = logged('upstream request rate limit began');
    expect(began).to.include({upstream: 'u', peer: 'peer', perS: 3});
  });

  // Guards against requests that were placed before a limit and are written in it.
  it('withdraws a request that was placed before the limit', () => {
    const {clock, limits, receive} = createLimits();
    const placedBefore = limits.startSending(entry, 0);
    expect(placedBefore.withdrawalReason()).to.equal(undefined);
    receive('1');
    expect(placedBefore.withdrawalReason()).to.be.a('string');
    clock.advance(10_000);
    expect(placedBefore.withdrawalReason()).to.equal(undefined);
    expect(limits.status()[0]?.sentCount).to.equal(1);
    const placedIn = limits.startSending(entry, 0);
    clock.advance(10);
    expect(placedIn.withdrawalReason()).to.equal(undefined);
  });

  // Guards against a share that is used up by requests that were never sent.
  it('takes back a request that did not reach the upstream', () => {
    const {clock, limits, receive} = createLimits();
    receive('1');
    clock.advance(60_000);
    const sendings = [];
    while (limits.waitMs(entry, 0, undefined) === 0) {
      sendings.push(limits.startSending(entry, 0));
    }
    const [first] = sendings;
    first?.notReceived();
    first?.notReceived();
    expect(limits.waitMs(entry, 0, undefined)).to.equal(0);
    limits.startSending(entry, 0);
    expect(limits.waitMs(entry, 0, undefined)).to.be.above(0);
    expect(limits.status()[0]?.sentCount).to.equal(sendings.length);
  });

  // Guards against new requests that pass those that wait.
  it('counts the requests that wait before a new one', () => {
    const {clock, limits, receive} = createLimits();
    receive('2');
    clock.advance(60_000);
    expect(limits.waitMs(entry, 1, undefined)).to.equal(0);
    const place = limits.joinWaiting({service, tier: 1, mayUse: () => true});
    expect(limits.waitMs(entry, 1, undefined)).to.equal(1_000);
    expect(limits.waitMs(entry, 0, undefined)).to.equal(0);
    expect(limits.waitMs(entry, 1, place)).to.equal(0);
    place.close();
    expect(limits.waitMs(entry, 1, undefined)).to.equal(0);
  });
});
