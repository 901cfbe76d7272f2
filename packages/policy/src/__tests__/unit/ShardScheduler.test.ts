import {toInstanceId, toRequestId, toUpstreamId} from '@toucanrouter/common';
import {expect} from 'chai';
import {
  acquireRequest,
  announcedPermit,
  summarize,
  grantedPermit,
  permitRelease,
  serviceClass,
  setUp,
  upstream,
} from './SchedulerFixtures.js';

describe('ShardScheduler: grants', () => {
  it('grants a free slot at once, so that an idle shard adds no queueing delay', () => {
    const {scheduler} = setUp();
    const effects = scheduler.acquire(acquireRequest('a', 3, 0), 0);
    expect(summarize(effects)).to.deep.equal(['grant a p1@u1']);
  });

  it('serves a higher tier before an older request of a lower tier', () => {
    const {scheduler} = setUp();
    const first = scheduler.acquire(
      acquireRequest('running', 1, 0, {idempotent: false}),
      0,
    );
    scheduler.acquire(acquireRequest('low', 4, 1), 1);
    scheduler.acquire(acquireRequest('high', 1, 2), 2);
    const next = scheduler.release(permitRelease(grantedPermit(first)), 10);
    expect(summarize(next)).to.deep.equal(['grant high p2@u1']);
  });

  it('orders classes of one tier by target, so that the tighter target is met', () => {
    const {scheduler} = setUp({
      classes: [
        serviceClass('t2', 2, {target: {firstTokenMs: 5000}}),
        serviceClass('tight', 2, {target: {firstTokenMs: 100}}),
      ],
    });
    const first = scheduler.acquire(acquireRequest('running', 2, 0), 0);
    scheduler.acquire(acquireRequest('loose', 2, 1), 1);
    const tight = serviceClass('tight', 2).id;
    scheduler.acquire(acquireRequest('tight', 2, 2, {classId: tight}), 2);
    const next = scheduler.release(permitRelease(grantedPermit(first)), 10);
    expect(summarize(next)).to.deep.equal(['grant tight p2@u1']);
  });

  it('places by used share of the limit, so that a small engine is not overloaded', () => {
    const {scheduler, tracker} = setUp({
      upstreams: [upstream('small'), upstream('large')],
    });
    tracker.setLimit(toUpstreamId('small'), 2);
    tracker.setLimit(toUpstreamId('large'), 6);
    for (let i = 0; i < 4; i++) {
      scheduler.acquire(acquireRequest(`r${i}`, 2, i), i);
    }
    expect(tracker.inFlight(toUpstreamId('small'))).to.equal(1);
    expect(tracker.inFlight(toUpstreamId('large'))).to.equal(3);
  });

  it('avoids upstreams that failed the request, so that a retry does not return to them', () => {
    const {scheduler} = setUp({upstreams: [upstream('u1'), upstream('u2')]});
    const exclude = [toUpstreamId('u1')];
    const effects = scheduler.acquire(
      acquireRequest('a', 2, 0, {exclude, attempt: 2}),
      0,
    );
    expect(summarize(effects)).to.deep.equal(['grant a p1@u2']);
  });

  it('grants no job on a leaving upstream and lets its running jobs complete', () => {
    const {scheduler, tracker} = setUp({
      upstreams: [upstream('u1'), upstream('u2')],
    });
    scheduler.acquire(acquireRequest('a', 2, 0), 0);
    const upstreams = [upstream('u1', {leaving: true}), upstream('u2')];
    scheduler.setUpstreams(upstreams, 1);
    const effects = scheduler.acquire(acquireRequest('b', 2, 2), 2);
    expect(summarize(effects)).to.deep.equal(['grant b p2@u2']);
    expect(tracker.inFlight(toUpstreamId('u1'))).to.equal(1);
  });
});

describe('ShardScheduler: refusals', () => {
  it('evicts the newest request of the lowest tier instead of refusing a higher tier', () => {
    const {scheduler} = setUp({parameters: {maxQueued: 2}});
    scheduler.acquire(acquireRequest('running', 1, 0, {idempotent: false}), 0);
    scheduler.acquire(acquireRequest('old', 4, 1), 1);
    scheduler.acquire(acquireRequest('new', 4, 2), 2);
    const effects = scheduler.acquire(acquireRequest('high', 1, 3), 3);
    expect(summarize(effects)).to.deep.equal(['refuse new overloaded']);
  });

  it('refuses a lower tier with a Retry-After when only higher tiers are queued', () => {
    const {scheduler} = setUp({parameters: {maxQueued: 1}});
    scheduler.acquire(acquireRequest('running', 1, 0), 0);
    scheduler.acquire(acquireRequest('high', 1, 1), 1);
    const effects = scheduler.acquire(acquireRequest('low', 2, 2), 2);
    expect(effects).to.have.length(1);
    expect(effects[0]).to.include({kind: 'refuse', requestId: 'low'});
    expect(effects[0]).to.have.property('retryAfterMs').within(500, 30_000);
  });

  it('refuses an expired request as not run, instead of running it for a caller that has left', () => {
    const {scheduler} = setUp();
    const first = scheduler.acquire(acquireRequest('running', 1, 0), 0);
    scheduler.acquire(acquireRequest('a', 1, 0, {deadlineAtMs: 50}), 0);
    const next = scheduler.release(permitRelease(grantedPermit(first)), 51);
    expect(summarize(next)).to.deep.equal(['refuse a deadline_exceeded']);
  });

  it('refuses at once when no upstream is left that may serve the request', () => {
    const {scheduler} = setUp();
    scheduler.acquire(acquireRequest('running', 1, 0), 0);
    scheduler.acquire(acquireRequest('a', 1, 0), 0);
    const effects = scheduler.setUpstreams([], 10);
    expect(summarize(effects)).to.deep.equal(['refuse a no_upstream']);
  });
});

describe('ShardScheduler: duplicate and late messages', () => {
  it('resends the same grant for a duplicate acquire and counts it once', () => {
    const {scheduler} = setUp({limit: 5});
    const first = scheduler.acquire(acquireRequest('a', 1, 0), 0);
    const second = scheduler.acquire(acquireRequest('a', 1, 0), 1);
    expect(second).to.deep.equal(first);
    expect(scheduler.snapshot(1).counters.granted).to.equal(1);
  });

  it('does not grant an attempt again after it has run', () => {
    const {scheduler} = setUp();
    const first = scheduler.acquire(acquireRequest('a', 1, 0), 0);
    scheduler.release(permitRelease(grantedPermit(first)), 2);
    expect(scheduler.acquire(acquireRequest('a', 1, 0), 3)).to.deep.equal([]);
  });

  it('grants a canceled or unused attempt again, so that a holder that moved to another scheduler and back does not wait until its deadline', () => {
    const {scheduler} = setUp();
    const first = scheduler.acquire(acquireRequest('a', 1, 0), 0);
    scheduler.acquire(acquireRequest('b', 1, 0), 0);
    scheduler.cancel(toRequestId('b'), 1);
    const unused = permitRelease(grantedPermit(first), {outcome: 'unused'});
    expect(scheduler.release(unused, 2)).to.deep.equal([]);
    const again = scheduler.acquire(acquireRequest('b', 1, 0), 3);
    expect(summarize(again)).to.deep.equal(['grant b p2@u1']);
    scheduler.release(permitRelease(grantedPermit(again)), 4);
    const next = scheduler.acquire(acquireRequest('a', 1, 0), 5);
    expect(summarize(next)).to.deep.equal(['grant a p3@u1']);
  });

  it('frees a slot only once for a duplicate release', () => {
    const {scheduler, tracker} = setUp();
    const first = scheduler.acquire(acquireRequest('a', 1, 0), 0);
    const release = permitRelease(grantedPermit(first));
    scheduler.release(release, 1);
    scheduler.release(release, 2);
    expect(tracker.jobs.size).to.equal(0);
    expect(scheduler.snapshot(2).counters.tokens).to.equal(10);
  });

  it('counts adopted permits towards the limit, and never adopts one that has ended', () => {
    const {scheduler, tracker} = setUp();
    const permit = announcedPermit('a', 1, toUpstreamId('u1'));
    scheduler.adopt([permit], 0);
    scheduler.adopt([permit], 1);
    expect(scheduler.acquire(acquireRequest('b', 1, 2), 2)).to.deep.equal([]);
    const next = scheduler.release(permitRelease(permit.permitId), 3);
    expect(summarize(next)).to.deep.equal(['grant b p1@u1']);
    scheduler.adopt([permit], 4);
    expect(tracker.jobs.size).to.equal(1);
  });

  it('frees the slots of a lost holder and adopts its permits again when it returns', () => {
    const {scheduler, tracker} = setUp();
    const lost = toInstanceId('lost');
    const permit = announcedPermit('a', 1, toUpstreamId('u1'), {holder: lost});
    scheduler.adopt([permit], 0);
    scheduler.acquire(acquireRequest('mine', 1, 1), 1);
    scheduler.acquire(acquireRequest('lost', 1, 0, {holder: lost}), 1);
    const effects = scheduler.dropHolder(lost, 2);
    expect(summarize(effects)).to.deep.equal(['grant mine p1@u1']);
    scheduler.adopt([permit], 3);
    expect(tracker.jobs.size).to.equal(2);
  });
});

describe('ShardScheduler: class changes', () => {
  it('reorders queued requests when a class gets another tier', () => {
    const {scheduler} = setUp();
    const first = scheduler.acquire(acquireRequest('running', 1, 0), 0);
    scheduler.acquire(acquireRequest('a', 2, 1), 1);
    scheduler.acquire(acquireRequest('b', 3, 2), 2);
    scheduler.setClasses([serviceClass('t2', 4), serviceClass('t3', 1)], 3);
    const next = scheduler.release(permitRelease(grantedPermit(first)), 10);
    expect(summarize(next)).to.deep.equal(['grant b p2@u1']);
  });
});
