import type {SchedulerEffect} from '@toucanrouter/common';
import {toUpstreamId, toWorkspaceId} from '@toucanrouter/common';
import {expect} from 'chai';
import type {ShardScheduler} from '../../index.js';
import {createBoundedMap} from '../../BoundedMap.js';
import {
  acquireRequest,
  summarize,
  grantedPermit,
  permitRelease,
  serviceClass,
  setUp,
  upstream,
} from './SchedulerFixtures.js';

const large = toWorkspaceId('large');
const small = toWorkspaceId('small');

function refusals(effects: readonly SchedulerEffect[]): readonly string[] {
  return summarize(effects).filter(text => text.startsWith('refuse'));
}

/** Completes the job of the first grant among `effects`. */
function finish(
  scheduler: ShardScheduler,
  effects: readonly SchedulerEffect[],
  nowMs: number,
): readonly SchedulerEffect[] {
  return scheduler.release(permitRelease(grantedPermit(effects)), nowMs);
}

describe('ShardScheduler: maximum wait', () => {
  it('grants an overdue class the next slot before higher tiers', () => {
    const {scheduler} = setUp();
    const first = scheduler.acquire(acquireRequest('running', 1, 0), 0);
    scheduler.acquire(acquireRequest('low', 4, 1), 1);
    scheduler.acquire(acquireRequest('high', 1, 5000), 5000);
    const next = finish(scheduler, first, 5100);
    expect(summarize(next)).to.deep.equal(['grant low p2@u1']);
  });

  it('spaces out overdue grants, so that a low-tier backlog does not invert the tiers', () => {
    const {scheduler} = setUp({parameters: {overdueGrantInterval: 5}});
    let last = scheduler.acquire(acquireRequest('running', 1, 0), 0);
    for (let i = 0; i < 20; i++) {
      scheduler.acquire(acquireRequest(`low${i}`, 4, 1), 1);
      scheduler.acquire(acquireRequest(`high${i}`, 1, 5500), 5500);
    }
    const grants: string[] = [];
    for (let i = 0; i < 10; i++) {
      last = finish(scheduler, last, 5600 + i);
      grants.push(...summarize(last));
    }
    expect(grants.filter(text => text.includes('low'))).to.have.length(2);
  });

  it('refuses requests at their maximum wait, lowest tier first, instead of keeping them', () => {
    const classes = [serviceClass('t2', 2), serviceClass('t4', 4)];
    const {scheduler} = setUp({classes});
    const order = acquireRequest('order', 1, 0, {idempotent: false});
    scheduler.acquire(order, 0);
    scheduler.acquire(acquireRequest('mid', 2, 0), 0);
    scheduler.acquire(acquireRequest('low', 4, 4000), 4000);
    expect(refusals(scheduler.tick(4800))).to.deep.equal([]);
    expect(refusals(scheduler.tick(4900))).to.deep.equal([
      'refuse low overloaded',
      'refuse mid overloaded',
    ]);
  });
});

describe('ShardScheduler: fairness between workspaces', () => {
  it('alternates by slot time, so that a large workspace does not starve a small one', () => {
    const {scheduler} = setUp();
    let last = scheduler.acquire(acquireRequest('first', 2, 0), 0);
    for (let i = 0; i < 8; i++) {
      const workspaceId = i < 6 ? large : small;
      scheduler.acquire(
        acquireRequest(`${workspaceId}${i}`, 2, 1, {workspaceId}),
        1,
      );
    }
    const grants: string[] = [];
    for (let i = 1; i <= 4; i++) {
      last = finish(scheduler, last, i * 100);
      grants.push(...last.map(effect => effect.requestId));
    }
    expect(grants).to.deep.equal(['large0', 'small6', 'large1', 'small7']);
  });

  it('charges slot time and not jobs, so that few large jobs get no larger share', () => {
    const {scheduler} = setUp();
    let last = scheduler.acquire(acquireRequest('first', 2, 0), 0);
    for (let i = 0; i < 40; i++) {
      const workspaceId = i % 2 === 0 ? large : small;
      const request = acquireRequest(`${workspaceId}${i}`, 2, 1, {workspaceId});
      scheduler.acquire(request, 1);
    }
    const usedMs = {large: 0, small: 0};
    let nowMs = 100;
    for (let i = 0; i < 20; i++) {
      last = finish(scheduler, last, nowMs);
      const isLarge = last[0]?.requestId.startsWith('large') ?? false;
      const jobMs = isLarge ? 400 : 100;
      usedMs[isLarge ? 'large' : 'small'] += jobMs;
      nowMs += jobMs;
    }
    expect(usedMs.large / usedMs.small).to.be.within(0.5, 2);
  });

  it('evicts from the largest backlog, so that a full queue still admits other workspaces', () => {
    const {scheduler} = setUp({parameters: {maxQueued: 3}});
    scheduler.acquire(acquireRequest('first', 2, 0), 0);
    for (let i = 0; i < 3; i++) {
      const request = acquireRequest(`large${i}`, 2, 1, {workspaceId: large});
      scheduler.acquire(request, 1);
    }
    const request = acquireRequest('small', 2, 2, {workspaceId: small});
    expect(summarize(scheduler.acquire(request, 2))).to.deep.equal([
      'refuse large2 overloaded',
    ]);
  });
});

describe('ShardScheduler: early refusals', () => {
  it('refuses the lowest tier at once when it cannot be served in time', () => {
    const classes = [serviceClass('t3', 3, {target: {firstTokenMs: 3000}})];
    const {scheduler} = setUp({classes});
    const first = scheduler.acquire(acquireRequest('first', 3, 0), 0);
    for (let i = 0; i < 3; i++) {
      scheduler.acquire(acquireRequest(`r${i}`, 3, 900), 900);
    }
    // The first job took 1 s, so three waiting requests fit into 3 s.
    finish(scheduler, first, 1000);
    const third = scheduler.acquire(acquireRequest('third', 3, 1000), 1000);
    expect(refusals(third)).to.deep.equal([]);
    const late = scheduler.acquire(acquireRequest('late', 3, 1000), 1000);
    expect(refusals(late)).to.deep.equal(['refuse late overloaded']);
  });

  it('refuses the lowest tier early also while a hedge is queued', () => {
    const {scheduler} = setUp();
    const first = scheduler.acquire(acquireRequest('first', 3, 0), 0);
    scheduler.acquire(acquireRequest('second', 3, 0), 0);
    finish(scheduler, first, 1000);
    const hedge = {attempt: 2, hedge: true};
    scheduler.acquire(acquireRequest('second', 1, 1000, hedge), 1000);
    const effects = [0, 1, 2].flatMap(i =>
      scheduler.acquire(acquireRequest(`r${i}`, 3, 1000), 1000),
    );
    expect(refusals(effects)).to.include('refuse r2 overloaded');
  });

  it('queues a request instead of refusing it early while a lower tier can be displaced', () => {
    const {scheduler} = setUp();
    const first = scheduler.acquire(acquireRequest('first', 3, 0), 0);
    scheduler.acquire(acquireRequest('low', 4, 0), 0);
    finish(scheduler, first, 1000);
    for (let i = 0; i < 9; i++) {
      const request = acquireRequest(`r${i}`, 3, 1000);
      expect(refusals(scheduler.acquire(request, 1000))).to.deep.equal([]);
    }
  });

  it('spreads Retry-After values, so that refused callers do not retry together', () => {
    const {scheduler} = setUp({parameters: {maxQueued: 0}});
    scheduler.acquire(acquireRequest('first', 3, 0), 0);
    const delays = new Set<number>();
    for (let i = 0; i < 20; i++) {
      for (const effect of scheduler.acquire(
        acquireRequest(`r${i}`, 3, 1),
        1,
      )) {
        if (effect.kind === 'refuse') delays.add(effect.retryAfterMs);
      }
    }
    expect(delays.size).to.be.greaterThan(15);
  });
});

describe('ShardScheduler: placement and stragglers', () => {
  const u2 = toUpstreamId('u2');

  it('prefers the upstream that cached the prefix, but only while it has a free slot', () => {
    const {scheduler, tracker} = setUp({
      upstreams: [upstream('u1'), upstream('u2')],
      limit: 2,
    });
    tracker.setLimit(toUpstreamId('u1'), 0);
    const warm = acquireRequest('warm', 2, 0, {prefixHash: 'x'});
    scheduler.acquire(warm, 0);
    tracker.setLimit(toUpstreamId('u1'), 2);
    const same = acquireRequest('same', 2, 1, {prefixHash: 'x'});
    expect(summarize(scheduler.acquire(same, 1))).to.deep.equal([
      'grant same p2@u2',
    ]);
    const full = acquireRequest('full', 2, 2, {prefixHash: 'x'});
    expect(summarize(scheduler.acquire(full, 2))).to.deep.equal([
      'grant full p3@u1',
    ]);
  });

  it('does not hedge a job that probes an upstream', () => {
    // Probes start in the state "probing"; a hedge would hide their result.
    const {scheduler, tracker} = setUp({
      upstreams: [upstream('u1'), upstream('u2')],
    });
    const u1 = toUpstreamId('u1');
    tracker.setState(toUpstreamId('u2'), 'leaving');
    tracker.setState(u1, 'probing');
    scheduler.acquire(acquireRequest('probe', 4, 0, {idempotent: true}), 0);
    tracker.setState(u1, 'suspect');
    expect(summarize(scheduler.tick(100))).to.deep.equal([]);
  });

  it('reports a suspect upstream once, and only for idempotent jobs', () => {
    const {scheduler, tracker} = setUp({
      upstreams: [upstream('u2')],
      limit: 2,
    });
    scheduler.acquire(acquireRequest('answer', 1, 0), 0);
    scheduler.acquire(acquireRequest('order', 1, 0, {idempotent: false}), 0);
    tracker.setState(u2, 'suspect');
    expect(summarize(scheduler.progress([], 100))).to.deep.equal([
      'suspect answer',
    ]);
    expect(summarize(scheduler.tick(200))).to.deep.equal([]);
  });

  it('refuses a hedge before any request, because the hedged request already runs', () => {
    const {scheduler} = setUp({parameters: {maxQueued: 1}});
    scheduler.acquire(acquireRequest('a', 1, 0), 0);
    const hedge = acquireRequest('a', 1, 0, {attempt: 2, hedge: true});
    scheduler.acquire(hedge, 1);
    const effects = scheduler.acquire(acquireRequest('low', 4, 2), 2);
    expect(summarize(effects)).to.deep.equal(['refuse a overloaded']);
  });
});

describe('createBoundedMap', () => {
  it('evicts the oldest entries, so that no table grows without bound', () => {
    const map = createBoundedMap<string, number>(2);
    for (const [index, key] of ['a', 'b', 'a', 'c'].entries()) {
      map.set(key, index);
    }
    expect(map.size).to.equal(2);
    expect(map.has('b')).to.equal(false);
    expect(map.get('a')).to.equal(2);
  });
});
