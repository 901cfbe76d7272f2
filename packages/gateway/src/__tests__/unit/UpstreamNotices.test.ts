import {
  createManualClock,
  readRetryAfter,
  toInstanceId,
} from '@toucanrouter/common';
import {createLogger} from '@toucanrouter/logging';
import {expect} from 'chai';
import {createUpstreamNotices} from '../../upstreams/UpstreamNotices.js';
import {createEntry} from './GatewayFixtures.js';

const entry = createEntry('u');
const restarted = createEntry('u', {startedAtMs: 2});

function refusal(retryAfter: string | undefined) {
  return {
    status: 503,
    leaving: false,
    misdirected: false,
    retryAfter: readRetryAfter(retryAfter),
  };
}

function createNotices() {
  const clock = createManualClock(1_000);
  const lines: string[] = [];
  const notices = createUpstreamNotices({
    clock,
    logger: createLogger({
      format: 'json',
      level: 'info',
      instanceId: toInstanceId('i'),
      write: line => lines.push(line),
    }),
    onLeaving: () => undefined,
    onRefused: () => undefined,
  });
  const logged = (message: string) =>
    lines
      .map(line => JSON.parse(line) as Readonly<Record<string, unknown>>)
      .filter(line => line['message'] === message);
  return {clock, notices, logged};
}

describe('UpstreamNotices', () => {
  // Guards against pauses that are shortened by a later, shorter request.
  it('pauses until the latest end that the upstream asked for', () => {
    const {clock, notices} = createNotices();
    notices.receive(entry, 'r1', refusal('3'));
    clock.advance(500);
    notices.receive(entry, 'r2', refusal('0.2'));
    expect(notices.pauseRemainingMs(entry)).to.equal(2_500);
    notices.receive(entry, 'r3', refusal('3'));
    clock.advance(2_999);
    expect(notices.pauseRemainingMs(entry)).to.equal(1);
    clock.advance(1);
    expect(notices.pauseRemainingMs(entry)).to.equal(0);
  });

  // Guards against pauses from values that do not ask for one, or lost fractions.
  it('pauses for fractions of a second, and not for 0 or unusable values', () => {
    for (const value of [
      undefined,
      '0',
      '0.0',
      '-3',
      'soon',
      '',
      'NaN',
      '1e3',
    ]) {
      const {notices} = createNotices();
      expect(notices.receive(entry, 'r', refusal(value))).to.equal(false);
      expect(notices.pauseRemainingMs(entry), String(value)).to.equal(0);
    }
    const {notices} = createNotices();
    expect(notices.receive(entry, 'r', refusal('0.25'))).to.equal(true);
    expect(notices.pauseRemainingMs(entry)).to.equal(250);
  });

  // Guards against pauses from responses that do not turn a request away.
  it('does not pause for a Retry-After with another status', () => {
    const {notices} = createNotices();
    for (const status of [200, 421, 429, 500]) {
      const head = {...refusal('3'), status};
      expect(notices.receive(entry, 'r', head)).to.equal(false);
    }
    expect(notices.pauseRemainingMs(entry)).to.equal(0);
  });

  // Guards against an idle upstream after a restart, and a pause lost to an entry.
  it('ends a pause with the process, not with a changed entry', () => {
    const {notices, logged} = createNotices();
    notices.receive(entry, 'r1', refusal('3'));
    const rewritten = createEntry('u', {slots: 7});
    notices.upstreamAdded(rewritten);
    expect(notices.pauseRemainingMs(rewritten)).to.equal(3_000);
    expect(notices.pausedCount()).to.equal(1);
    notices.upstreamAdded(restarted);
    expect(notices.pauseRemainingMs(restarted)).to.equal(0);
    expect(notices.pausedCount()).to.equal(0);
    notices.receive(entry, 'late', refusal('3'));
    expect(notices.pauseRemainingMs(restarted)).to.equal(0);
    expect(logged('upstream pause ended')[0]).to.include({
      upstream: 'u',
      service: 'llm',
      requestId: 'r1',
      reason: 'a new process runs',
    });
  });

  // Guards against a pause that outlasts its upstream at a reused address.
  it('ends a pause when another upstream takes over the address', () => {
    const {notices} = createNotices();
    notices.receive(entry, 'r1', refusal('3'));
    notices.upstreamAdded(createEntry('other', {port: 2}));
    expect(notices.pausedCount()).to.equal(1);
    const successor = createEntry('successor');
    notices.upstreamAdded(successor);
    expect(notices.pausedCount()).to.equal(0);
    expect(notices.pauseRemainingMs(successor)).to.equal(0);
  });

  // Guards against pauses that the log does not show, or shows once per response.
  it('logs one line at the begin and one at the end of a pause', () => {
    const {clock, notices, logged} = createNotices();
    notices.receive(entry, 'r1', refusal('1'));
    clock.advance(600);
    notices.receive(entry, 'r2', refusal('1'));
    expect(notices.pausedCount()).to.equal(1);
    clock.advance(999);
    expect(logged('upstream pause ended')).to.have.length(0);
    clock.advance(1);
    const common = {upstream: 'u', service: 'llm', requestId: 'r1'};
    expect(logged('upstream pause began')).to.have.length(1);
    expect(logged('upstream pause began')[0]).to.include({
      ...common,
      delayMs: 1_000,
    });
    expect(logged('upstream pause ended')).to.have.length(1);
    expect(logged('upstream pause ended')[0]).to.include({
      ...common,
      reason: 'its time has passed',
      pausedMs: 1_600,
    });
    expect(notices.pausedCount()).to.equal(0);
  });

  // Guards against timers that keep a closed instance running.
  it('cancels its timers when it is closed', () => {
    const {clock, notices, logged} = createNotices();
    notices.receive(entry, 'r1', refusal('1'));
    notices.close();
    clock.advance(5_000);
    expect(logged('upstream pause ended')).to.have.length(0);
    expect(notices.pausedCount()).to.equal(0);
  });
});
