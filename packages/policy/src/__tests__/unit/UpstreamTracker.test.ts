import {expect} from 'chai';
import fc from 'fast-check';
import {toUpstreamId} from '@toucanrouter/common';
import {createUpstreamTracker} from '../../index.js';
import type {FakeHolders, JobOptions} from './UpstreamTrackerFixtures.js';
import {
  createFakeHolders,
  upstreamInfo,
  upstreamInfos,
} from './UpstreamTrackerFixtures.js';

const slowUpstream = toUpstreamId('u0');
const otherUpstream = toUpstreamId('u1');

function setup(count: number, jobsEach: number, options: JobOptions = {}) {
  const tracker = createUpstreamTracker();
  const infos = upstreamInfos(count);
  tracker.setUpstreams(infos, 0);
  const holders = createFakeHolders(tracker);
  const permits = infos.flatMap(info =>
    Array.from({length: jobsEach}, () => holders.start(info.id, options)),
  );
  return {tracker, holders, infos, permits};
}

function startJobs(holders: FakeHolders, count: number): void {
  for (let i = 0; i < count; i++) holders.start(otherUpstream);
}

describe('createUpstreamTracker', () => {
  it('grows a limit in use while targets are met, so that capacity is used', () => {
    const {tracker, holders} = setup(2, 0);
    const before = tracker.limit(otherUpstream, 4, 0);
    startJobs(holders, before);
    holders.run(2000, () => 20);
    expect(tracker.limit(otherUpstream, 4, holders.nowMs())).to.be.greaterThan(
      before,
    );
    expect(tracker.limit(slowUpstream, 4, holders.nowMs())).to.equal(before);
  });

  it('shrinks a limit to its minimum, and no further, while targets are missed', () => {
    const {tracker, holders, permits} = setup(2, 8);
    for (const permit of permits) {
      holders.run(600, () => 80);
      holders.end(permit, 'completed');
    }
    expect(tracker.limit(slowUpstream, 4, holders.nowMs())).to.equal(4);
  });

  it('lets the highest tier exceed the limit, so that it does not wait', () => {
    const {tracker} = setup(2, 0);
    const lowest = tracker.limit(slowUpstream, 4, 0);
    expect(tracker.limit(slowUpstream, 1, 0)).to.be.greaterThan(lowest);
  });

  it('suspects only an engine that decodes ten times slower, within 500 ms', () => {
    const {tracker, holders, infos} = setup(6, 4);
    holders.run(2000, () => 30);
    holders.run(500, id => (id === slowUpstream ? 300 : 30));
    const states = infos.map(info => tracker.state(info.id));
    expect(states.filter(state => state !== 'healthy')).to.have.length(1);
    expect(tracker.state(slowUpstream)).to.equal('suspect');
    expect(tracker.limit(slowUpstream, 1, holders.nowMs())).to.equal(0);
  });

  it('suspects an engine that stalls before the first token', () => {
    const {tracker, holders} = setup(6, 2);
    holders.run(1000, () => 30);
    holders.end('p0', 'completed');
    holders.end('p1', 'completed');
    holders.start(slowUpstream);
    holders.run(500, id => (id === slowUpstream ? 60_000 : 30));
    expect(tracker.state(slowUpstream)).to.equal('suspect');
  });

  it('does not suspect an engine that decodes as usual but has no memory for a job', () => {
    const {tracker, holders} = setup(6, 4);
    holders.run(1000, () => 30);
    holders.start(slowUpstream, {gapMs: 60_000});
    holders.run(2000, id => (id === slowUpstream ? 60 : 30));
    expect(tracker.state(slowUpstream)).to.equal('healthy');
  });

  it('does not suspect upstreams after a pause of the holder', () => {
    const {tracker, holders, infos} = setup(6, 4);
    holders.run(1000, () => 30);
    tracker.tick(holders.nowMs() + 5000);
    holders.run(200, () => 30);
    expect(infos.map(info => tracker.state(info.id))).not.to.include('suspect');
  });

  it('probes a suspect with low tiers and restores it with a small limit', () => {
    const {tracker, holders} = setup(6, 4);
    holders.run(1000, () => 30);
    holders.run(500, id => (id === slowUpstream ? 300 : 30));
    for (let i = 0; i < 4; i++) holders.end(`p${i}`, 'completed');
    holders.run(1500, () => 30);
    expect(tracker.state(slowUpstream)).to.equal('probing');
    expect(tracker.limit(slowUpstream, 4, holders.nowMs())).to.equal(1);
    expect(tracker.limit(slowUpstream, 1, holders.nowMs())).to.equal(0);
    holders.start(slowUpstream);
    holders.run(1200, () => 30);
    expect(tracker.state(slowUpstream)).to.equal('healthy');
    expect(tracker.limit(slowUpstream, 4, holders.nowMs())).to.be.lessThan(8);
  });

  it('returns to suspect when the probe is slow', () => {
    const {tracker, holders} = setup(6, 4);
    holders.run(1000, () => 30);
    holders.run(500, id => (id === slowUpstream ? 300 : 30));
    for (let i = 0; i < 4; i++) holders.end(`p${i}`, 'completed');
    holders.run(1500, () => 30);
    holders.start(slowUpstream);
    holders.run(1000, id => (id === slowUpstream ? 300 : 30));
    expect(tracker.state(slowUpstream)).to.equal('suspect');
  });

  it('lets higher tiers probe when there are no low-tier jobs', () => {
    const {tracker, holders} = setup(6, 4);
    holders.run(1000, () => 30);
    holders.run(500, id => (id === slowUpstream ? 300 : 30));
    for (let i = 0; i < 4; i++) holders.end(`p${i}`, 'completed');
    holders.run(6000, () => 30);
    expect(tracker.limit(slowUpstream, 1, holders.nowMs())).to.equal(1);
  });

  it('suspects a crashed upstream after consecutive failures', () => {
    const {tracker, holders} = setup(6, 4);
    holders.run(1000, () => 30);
    for (let i = 0; i < 4; i++) holders.end(`p${i}`, 'failed');
    expect(tracker.state(slowUpstream)).to.equal('suspect');
    expect(tracker.reason(slowUpstream)).to.equal('2 failures in a row');
  });

  it('adjusts the limit of plain services by service time against the total target', () => {
    const tracker = createUpstreamTracker();
    const infos = [0, 1, 2].map(i => upstreamInfo(`u${i}`, {kind: 'service'}));
    tracker.setUpstreams(infos, 0);
    const holders = createFakeHolders(tracker);
    const initial = tracker.limit(slowUpstream, 4, 0);
    for (let i = 0; i < 40; i++) {
      const permits = infos.map(info =>
        holders.start(info.id, {target: {totalMs: 100}}),
      );
      holders.run(100, () => 60_000);
      for (const permit of permits) holders.end(permit, 'completed', 150);
    }
    expect(tracker.limit(slowUpstream, 4, holders.nowMs())).to.be.lessThan(
      initial,
    );
  });

  it('keeps an incarnation leaving when a lagging list shows it as not leaving', () => {
    const {tracker, holders, infos} = setup(2, 1);
    tracker.setUpstreams([upstreamInfo('u0', {leaving: true})], 0);
    tracker.setUpstreams([], 0);
    tracker.setUpstreams(infos, 0);
    expect(tracker.state(slowUpstream)).to.equal('leaving');
    expect(tracker.limit(slowUpstream, 1, 0)).to.equal(0);
    expect(tracker.inFlight(slowUpstream)).to.equal(1);
    holders.end('p0', 'completed');
    expect(tracker.inFlight(slowUpstream)).to.equal(0);
    tracker.setUpstreams([upstreamInfo('u0', {incarnation: 2})], 0);
    expect(tracker.state(slowUpstream)).to.equal('healthy');
    tracker.setUpstreams(infos, 0);
    expect(tracker.state(slowUpstream)).to.equal('healthy');
  });

  it('keeps limits within bounds and never suspects a whole shard', () => {
    const step = fc.record({
      upstream: fc.nat(5),
      gaps: fc.array(fc.integer({min: 5, max: 2000}), {
        minLength: 6,
        maxLength: 6,
      }),
      outcome: fc.constantFrom('completed' as const, 'failed' as const),
      durationMs: fc.constantFrom(0, 100, 500, 1500),
    });
    fc.assert(
      fc.property(fc.array(step, {maxLength: 40}), steps => {
        const {tracker, holders, infos, permits} = setup(6, 2);
        for (const {upstream, gaps, outcome, durationMs} of steps) {
          permits.push(holders.start(infos[upstream]!.id));
          holders.run(durationMs, id => gaps[Number(id.slice(1))]!);
          holders.end(permits.shift()!, outcome);
          const states = infos.map(info => tracker.state(info.id));
          expect(states).to.include('healthy');
          for (const info of infos) {
            const limit = tracker.limit(info.id, 1, holders.nowMs());
            expect(limit).to.be.within(0, 80);
            if (tracker.state(info.id) === 'healthy') {
              expect(limit).to.be.at.least(1);
            }
          }
        }
        const running = infos.map(info => tracker.inFlight(info.id));
        expect(running.reduce((a, b) => a + b)).to.equal(permits.length);
      }),
      {seed: 7, numRuns: 100},
    );
  });
});
