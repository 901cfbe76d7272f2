import type {SchedulerEffect, Tier} from '@toucanrouter/common';
import {toUpstreamId} from '@toucanrouter/common';
import {expect} from 'chai';
import type {ShardScheduler} from '../../index.js';
import {
  acquireRequest,
  announcedPermit,
  summarize,
  createFakeLengthModel,
  grantedPermit,
  permitRelease,
  serviceClass,
  setUp,
  upstream,
} from './SchedulerFixtures.js';

const u1 = toUpstreamId('u1');

function preempted(effects: readonly SchedulerEffect[]): readonly string[] {
  return summarize(effects).filter(text => text.startsWith('preempt'));
}

/** Starts jobs `<prefix>0`, `<prefix>1`, ... one millisecond apart. */
function startJobs(
  scheduler: ShardScheduler,
  count: number,
  tier: Tier,
  prefix = 'job',
): readonly SchedulerEffect[] {
  const effects: SchedulerEffect[] = [];
  for (let i = 0; i < count; i++) {
    const request = acquireRequest(`${prefix}${i}`, tier, i);
    effects.push(...scheduler.acquire(request, i));
  }
  return effects;
}

describe('ShardScheduler: preemption in place of a refusal', () => {
  const parameters = {maxQueued: 1, preemptionBurstPerSlot: 0};

  it('preempts a lower tier, ignoring budget and minimum run time, before it refuses', () => {
    const {scheduler} = setUp({limit: 2, parameters});
    startJobs(scheduler, 2, 4);
    scheduler.acquire(acquireRequest('h1', 1, 5), 5);
    const second = scheduler.acquire(acquireRequest('h2', 1, 6), 6);
    expect(summarize(second)).to.deep.equal(['preempt job1 make_room']);
    const third = scheduler.acquire(acquireRequest('h3', 1, 7), 7);
    expect(summarize(third)).to.deep.equal(['preempt job0 make_room']);
    const fourth = scheduler.acquire(acquireRequest('h4', 1, 8), 8);
    expect(summarize(fourth)).to.deep.equal(['refuse h4 overloaded']);
  });

  it('never preempts a non-idempotent call, which may have been executed', () => {
    const {scheduler} = setUp({parameters});
    const order = acquireRequest('order', 4, 0, {idempotent: false});
    scheduler.acquire(order, 0);
    scheduler.acquire(acquireRequest('h1', 1, 1), 1);
    const effects = scheduler.acquire(acquireRequest('h2', 1, 2), 2);
    expect(summarize(effects)).to.deep.equal(['refuse h2 overloaded']);
  });

  it('preempts ahead of a deadline instead of refusing the request at the deadline', () => {
    const {scheduler} = setUp({parameters});
    startJobs(scheduler, 1, 4);
    const request = acquireRequest('h', 1, 1, {deadlineAtMs: 1000});
    scheduler.acquire(request, 1);
    expect(preempted(scheduler.tick(600))).to.deep.equal([]);
    const effects = scheduler.tick(750);
    expect(preempted(effects)).to.deep.equal(['preempt job0 make_room']);
  });

  it('preempts as many jobs as an oversubscribed upstream needs to free one slot', () => {
    const {scheduler} = setUp({parameters});
    const permits = ['a', 'b', 'c'].map(name => announcedPermit(name, 4, u1));
    scheduler.adopt(permits, 0);
    scheduler.acquire(acquireRequest('h1', 1, 1), 1);
    const effects = scheduler.acquire(acquireRequest('h2', 1, 2), 2);
    expect(preempted(effects)).to.have.length(3);
  });

  it('resends a preemption without a response, because the message may be lost', () => {
    const {scheduler} = setUp({parameters});
    startJobs(scheduler, 1, 4);
    scheduler.acquire(acquireRequest('h1', 1, 1), 1);
    scheduler.acquire(acquireRequest('h2', 1, 2), 2);
    expect(preempted(scheduler.tick(500))).to.deep.equal([]);
    expect(preempted(scheduler.tick(1100))).to.have.length(1);
    expect(scheduler.snapshot(1100).counters.preempted).to.equal(1);
  });
});

describe('ShardScheduler: preemption for targets', () => {
  it('waits until the target is at risk and the minimum run time has passed, so that jobs are not thrashed', () => {
    const {scheduler} = setUp();
    startJobs(scheduler, 1, 4);
    scheduler.acquire(acquireRequest('h', 1, 300), 300);
    expect(preempted(scheduler.tick(390))).to.deep.equal([]);
    expect(preempted(scheduler.tick(900))).to.deep.equal([]);
    const effects = scheduler.tick(1000);
    expect(preempted(effects)).to.deep.equal(['preempt job0 meet_target']);
  });

  it('stays within its budget, so that a burst does not stop all lower tiers', () => {
    const parameters = {
      preemptResendIntervalMs: 60_000,
      preemptionsPerSlotSecond: 0.02,
      preemptionBurstPerSlot: 0.25,
    };
    const patient = {maxWaitMs: 60_000};
    const classes = [serviceClass('t1', 1, patient), serviceClass('t4', 4)];
    const {scheduler} = setUp({classes, limit: 8, parameters});
    startJobs(scheduler, 8, 4);
    for (let i = 0; i < 8; i++) {
      scheduler.acquire(acquireRequest(`h${i}`, 1, 1000), 1000);
    }
    expect(preempted(scheduler.tick(2000))).to.have.length(2);
    expect(preempted(scheduler.tick(3000))).to.have.length(0);
    expect(preempted(scheduler.tick(10_000))).to.have.length(1);
  });

  it('preempts one job for each request at risk, and no more at later ticks', () => {
    const {scheduler} = setUp({limit: 8});
    startJobs(scheduler, 8, 4);
    scheduler.acquire(acquireRequest('h', 1, 1000), 1000);
    expect(preempted(scheduler.tick(2000))).to.have.length(1);
    expect(preempted(scheduler.tick(2100))).to.have.length(0);
  });

  it('does not preempt the same or a higher tier for a target', () => {
    const {scheduler} = setUp({limit: 2});
    startJobs(scheduler, 1, 1, 'higher');
    startJobs(scheduler, 1, 2, 'same');
    scheduler.acquire(acquireRequest('h', 2, 10), 10);
    expect(preempted(scheduler.tick(4000))).to.deep.equal([]);
  });
});

describe('ShardScheduler: started jobs', () => {
  const resume = {upstreamId: u1, tokens: 20};

  it('queues a preempted job at the head of its class, so that it is not starved', () => {
    const {scheduler} = setUp();
    const first = startJobs(scheduler, 1, 4);
    scheduler.acquire(acquireRequest('older', 4, 1), 1);
    scheduler.acquire(acquireRequest('h', 1, 1000), 1000);
    scheduler.tick(1500);
    const preemptedRelease = permitRelease(grantedPermit(first), {
      outcome: 'preempted',
    });
    const high = scheduler.release(preemptedRelease, 1510);
    expect(summarize(high)).to.deep.equal(['grant h p2@u1']);
    const again = acquireRequest('job0', 4, 0, {attempt: 2, resume});
    scheduler.acquire(again, 1520);
    const next = scheduler.release(permitRelease(grantedPermit(high)), 1600);
    expect(summarize(next)).to.deep.equal(['grant job0 p3@u1']);
  });

  it('does not evict a started job, whose caller would get a false "not run" status', () => {
    const {scheduler} = setUp({parameters: {maxQueued: 1}});
    startJobs(scheduler, 1, 1);
    scheduler.acquire(acquireRequest('started', 4, 1, {resume}), 1);
    scheduler.acquire(acquireRequest('h1', 1, 2), 2);
    const effects = scheduler.acquire(acquireRequest('h2', 1, 3), 3);
    expect(summarize(effects)).to.deep.equal(['refuse h2 overloaded']);
  });

  it('resumes on the upstream that has the prefix cached, although another has the same load', () => {
    const {scheduler} = setUp({
      upstreams: [upstream('u0'), upstream('u1')],
      limit: 2,
    });
    const upstreamId = u1;
    const request = acquireRequest('a', 2, 0, {
      attempt: 2,
      resume: {upstreamId, tokens: 5},
    });
    expect(summarize(scheduler.acquire(request, 0))).to.deep.equal([
      'grant a p1@u1',
    ]);
  });
});

describe('ShardScheduler: long jobs', () => {
  const lengths = createFakeLengthModel(100);
  const long = {attempt: 2, resume: {upstreamId: u1, tokens: 500}};
  const classes = [1, 2, 3, 4].map(tier =>
    serviceClass(`t${tier}`, tier as Tier, {maxWaitMs: 60_000}),
  );

  it('limits long jobs to a share of the slots while short ones are queued', () => {
    const {scheduler} = setUp({limit: 4, lengths, classes});
    const running = startJobs(scheduler, 3, 2, 'short');
    scheduler.acquire(acquireRequest('long1', 2, 5, long), 5);
    scheduler.acquire(acquireRequest('long2', 2, 6, long), 6);
    scheduler.acquire(acquireRequest('waits', 2, 7), 7);
    const release = permitRelease(grantedPermit(running));
    const next = scheduler.release(release, 8);
    expect(summarize(next)).to.deep.equal(['grant waits p5@u1']);
  });

  it('lets long jobs use all slots that short ones leave, so that no slot is idle', () => {
    const {scheduler, tracker} = setUp({limit: 4, lengths, classes});
    for (let i = 0; i < 4; i++) {
      scheduler.acquire(acquireRequest(`long${i}`, 2, i, long), i);
    }
    expect(tracker.inFlight(u1)).to.equal(4);
  });

  it('preempts long jobs beyond the share for a short one of the same tier', () => {
    const {scheduler} = setUp({limit: 4, lengths, classes});
    for (let i = 0; i < 4; i++) {
      scheduler.acquire(acquireRequest(`long${i}`, 2, i, long), i);
    }
    scheduler.acquire(acquireRequest('short', 2, 10), 10);
    const effects = scheduler.tick(2000);
    expect(preempted(effects)).to.deep.equal(['preempt long3 meet_target']);
  });
});
