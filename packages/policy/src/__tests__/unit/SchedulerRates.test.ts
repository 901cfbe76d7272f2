import type {
  AcquireRequest,
  PermitId,
  SchedulerEffect,
  Tier,
} from '@toucanrouter/common';
import {
  createSeededRandom,
  toInstanceId,
  toPermitId,
  toUpstreamId,
} from '@toucanrouter/common';
import {expect} from 'chai';
import fc from 'fast-check';
import type {
  RateSharing,
  RateStatement,
  ShardScheduler,
  UpstreamProcess,
} from '../../index.js';
import {createShardScheduler, processHashOf} from '../../index.js';
import type {Setup} from './SchedulerFixtures.js';
import {
  acquireRequest,
  createFakeLengthModel,
  createFakeTracker,
  grantedPermit,
  holder,
  permitRelease,
  serviceClass,
  setUp,
  shardId,
  summarize,
  upstream,
} from './SchedulerFixtures.js';

const stepMs = 20;
const windowMs = 4_000;
const msPerSecond = 1_000;
const ampleSlots = 1_000;
const u1: UpstreamProcess = {id: toUpstreamId('u1'), start: 1};
const tiers: readonly Tier[] = [1, 2, 3, 4];

function statement(
  perS: number,
  overrides: Partial<RateStatement> = {},
): RateStatement {
  return {
    process: processHashOf(u1),
    perS,
    statedAgeMs: 0,
    endedAgeMs: undefined,
    ...overrides,
  };
}

/** A scheduler that knows of a limit of its only upstream. */
function setUpLimited(perS: number, slots = ampleSlots): Setup {
  const setup = setUp({limit: slots});
  setup.scheduler.receiveRates(holder, [statement(perS)], 0);
  return setup;
}

function grantsOf(effects: readonly SchedulerEffect[]): readonly PermitId[] {
  return effects.flatMap(effect =>
    effect.kind === 'grant' ? [effect.permitId] : [],
  );
}

/** Takes all that the rate has saved up until `nowMs`. */
function useUp(scheduler: ShardScheduler, nowMs: number): void {
  for (let index = 0; ; index++) {
    const request = acquireRequest(`fill-${nowMs}-${index}`, 1, nowMs);
    const granted = grantsOf(scheduler.acquire(request, nowMs));
    if (granted.length > 0) continue;
    scheduler.cancel(request.requestId, nowMs);
    return;
  }
}

/** Returns the most times that lie within one window. */
function worstWindow(timesMs: readonly number[]): number {
  const counts = timesMs.map(
    startMs =>
      timesMs.filter(atMs => atMs >= startMs && atMs < startMs + windowMs)
        .length,
  );
  return Math.max(0, ...counts);
}

function allowedInWindow(perS: number): number {
  return (1.5 * perS * windowMs) / msPerSecond + 5;
}

/** Two schedulers that divide the rates of a shard. */
function createSharing(): readonly ShardScheduler[] {
  const sharings: readonly RateSharing[] = [
    {selfId: 1, peerIds: () => [2]},
    {selfId: 2, peerIds: () => [1]},
  ];
  return sharings.map((rateSharing, index) => {
    let permits = 0;
    const scheduler = createShardScheduler({
      shardId,
      tracker: createFakeTracker(ampleSlots),
      lengths: createFakeLengthModel(),
      random: createSeededRandom(1),
      createPermitId: () => toPermitId(`s${index}-${++permits}`),
      rateSharing,
    });
    scheduler.setClasses(
      tiers.map(tier => serviceClass(`t${tier}`, tier)),
      0,
    );
    scheduler.setUpstreams([upstream('u1')], 0);
    return scheduler;
  });
}

describe('request rates of the shard scheduler', () => {
  const arbitraryRun = fc.record({
    perS: fc.constantFrom(0.5, 1, 4, 20),
    callsPerS: fc.integer({min: 5, max: 60}),
    /** What holders do with permits, in turn. */
    ends: fc.array(
      fc.constantFrom<'completed' | 'failed' | 'preempted' | 'unused'>(
        'completed',
        'failed',
        'preempted',
        'unused',
      ),
      {minLength: 1, maxLength: 8},
    ),
    urgentEvery: fc.integer({min: 2, max: 10}),
    hedgeEvery: fc.integer({min: 2, max: 10}),
    seed: fc.integer(),
  });

  // Guards against grants, also of retries and hedges and beside permits that come back unused, that together exceed a rate.
  it('never grants more than a rate allows, and uses it', () => {
    fc.assert(
      fc.property(arbitraryRun, run => {
        const {scheduler} = setUpLimited(run.perS);
        const random = createSeededRandom(run.seed);
        const sentMs: number[] = [];
        const releases: {atMs: number; permitId: PermitId; end: number}[] = [];
        let calls = 0;
        let grants = 0;

        function receive(effects: readonly SchedulerEffect[], nowMs: number) {
          for (const permitId of grantsOf(effects)) {
            const end = grants++ % run.ends.length;
            if (run.ends[end] !== 'unused') sentMs.push(nowMs);
            releases.push({atMs: nowMs + stepMs, permitId, end});
          }
        }

        function arrive(nowMs: number): void {
          const index = ++calls;
          const tier: Tier = index % run.urgentEvery === 0 ? 1 : 3;
          const fields: Partial<AcquireRequest> =
            index % run.hedgeEvery === 0 ? {hedge: true, attempt: 2} : {};
          const request = acquireRequest(`r${index}`, tier, nowMs, fields);
          receive(scheduler.acquire(request, nowMs), nowMs);
        }

        const endMs = 3 * windowMs;
        for (let nowMs = stepMs; nowMs <= endMs; nowMs += stepMs) {
          for (const {end, permitId} of releases.splice(0)) {
            const outcome = run.ends[end] ?? 'completed';
            const release = permitRelease(permitId, {outcome});
            receive(scheduler.release(release, nowMs), nowMs);
          }
          if (random.next() < (run.callsPerS * stepMs) / msPerSecond) {
            arrive(nowMs);
          }
          receive(scheduler.tick(nowMs), nowMs);
        }
        expect(worstWindow(sentMs)).to.be.at.most(allowedInWindow(run.perS));
        const isAllSent = !run.ends.includes('unused');
        if (!isAllSent || run.callsPerS < 2 * run.perS) return;
        const inLast = sentMs.filter(atMs => atMs > endMs - windowMs).length;
        const usable = (run.perS * windowMs) / msPerSecond;
        expect(inLast).to.be.at.least(Math.floor(0.75 * usable));
      }),
      {numRuns: 60, seed: 38},
    );
  });

  // Guards against less urgent requests that take the rate before urgent ones arrive.
  it('leaves a part of the rate to urgent requests that arrive later', () => {
    const {scheduler} = setUpLimited(2);
    let less = 0;
    for (let nowMs = stepMs; nowMs <= windowMs; nowMs += stepMs) {
      const request = acquireRequest(`less-${nowMs}`, 3, nowMs);
      const effects = [
        ...scheduler.acquire(request, nowMs),
        ...scheduler.tick(nowMs),
      ];
      less += grantsOf(effects).length;
    }
    expect(less).to.be.at.least(1);
    const urgent = acquireRequest('urgent', 1, windowMs);
    const effects = scheduler.acquire(urgent, windowMs);
    expect(summarize(effects)[0]).to.match(/^grant urgent /);
  });

  // Guards against a limited upstream that takes its service down with it.
  it('sends what a limited upstream does not take to the others', () => {
    const {scheduler} = setUp({
      limit: ampleSlots,
      upstreams: [upstream('u1'), upstream('u2')],
    });
    scheduler.receiveRates(holder, [statement(1)], 0);
    const granted = Array.from({length: 50}, (_, index) =>
      summarize(scheduler.acquire(acquireRequest(`r${index}`, 1, 10), 10)),
    );
    expect(granted.flat()).to.have.length(50);
    expect(granted.flat().join()).not.to.include('@u1');
  });

  for (const [name, overrides, isReturned] of [
    ['is returned unused', {outcome: 'unused'}, true],
    ['found no connection', {outcome: 'failed', reachedUpstream: false}, true],
    [
      'the upstream rejected',
      {outcome: 'unused', reachedUpstream: true},
      false,
    ],
    ['failed at the upstream', {outcome: 'failed'}, false],
  ] as const) {
    // Guards against a rate that is used up by requests that were not sent, and against sent requests that do not count.
    it(`${isReturned ? 'gives back' : 'counts'} a permit that ${name}`, () => {
      const {scheduler} = setUpLimited(1);
      const nowMs = 1_000;
      const first = acquireRequest('first', 1, nowMs);
      const permitId = grantedPermit(scheduler.acquire(first, nowMs));
      useUp(scheduler, nowMs);
      scheduler.release(permitRelease(permitId, overrides), nowMs);
      const next = acquireRequest('next', 1, nowMs);
      const granted = grantsOf(scheduler.acquire(next, nowMs));
      expect(granted).to.have.length(isReturned ? 1 : 0);
    });
  }

  // Guards against jobs that are given up, and sent once more, for slots that the rate does not let be used.
  it('preempts nothing for a slot that the rate does not let be used', () => {
    const {scheduler} = setUp({limit: 1});
    const low = acquireRequest('low', 4, 0);
    expect(grantsOf(scheduler.acquire(low, 0))).to.have.length(1);
    scheduler.receiveRates(holder, [statement(0)], 0);
    const effects: SchedulerEffect[] = [];
    effects.push(...scheduler.acquire(acquireRequest('urgent', 1, 0), 0));
    for (let nowMs = stepMs; nowMs < 6_000; nowMs += stepMs) {
      effects.push(...scheduler.tick(nowMs));
    }
    expect(effects.map(({kind}) => kind)).not.to.include('preempt');
  });

  // Guards against callers that wait for a rate that cannot serve them in time, and come back at the wrong time.
  it('refuses at once what the rate cannot serve in time, and says when to return', () => {
    const {scheduler} = setUpLimited(1);
    const nowMs = 1_000;
    useUp(scheduler, nowMs);
    const effects = Array.from({length: 20}, (_, index) =>
      scheduler.acquire(acquireRequest(`r${index}`, 4, nowMs), nowMs),
    ).flat();
    const refused = effects.flatMap(effect =>
      effect.kind === 'refuse' ? [effect] : [],
    );
    // The target of the class is 1.6 s, so that one request may wait.
    expect(refused.length).to.be.at.least(18);
    for (const {error, retryAfterMs} of refused) {
      expect(error).to.equal('overloaded');
      expect(retryAfterMs).to.be.at.least(msPerSecond);
    }
  });

  // Guards against a new process that is held to the limit of the last one, and against a process that loses its limit to a lagging list.
  it('keeps a rate for one process of an upstream', () => {
    const {scheduler} = setUpLimited(1);
    const perS = () =>
      scheduler.rateStatus(1_000).limits.map(limit => limit.perS);
    scheduler.setUpstreams([], 1_000);
    expect(perS()).to.deep.equal([]);
    scheduler.setUpstreams([upstream('u1')], 1_000);
    expect(perS()).to.deep.equal([1]);
    scheduler.setUpstreams([upstream('u1', {incarnation: 2})], 1_000);
    expect(perS()).to.deep.equal([]);
  });

  // Guards against records of processes that are long gone.
  it('forgets the rates of processes that are gone', () => {
    const {scheduler} = setUpLimited(1);
    scheduler.setUpstreams([], 1_000);
    scheduler.setUpstreams([], 70_000);
    scheduler.receiveRates(holder, [statement(1)], 70_000);
    scheduler.setUpstreams([upstream('u1')], 70_000);
    expect(scheduler.rateStatus(70_000).limits).to.deep.equal([]);
  });

  // Guards against a rush of requests at the end of a limit.
  it('returns to full traffic step by step', () => {
    const {scheduler} = setUpLimited(1);
    useUp(scheduler, 1_000);
    const ended = statement(1, {statedAgeMs: 500, endedAgeMs: 100});
    scheduler.receiveRates(holder, [ended], 1_000);
    const perS = [1_000, 2_000, 4_000].map(
      nowMs => scheduler.rateStatus(nowMs).limits[0]?.perS,
    );
    expect(perS).to.deep.equal([1, 4, 64]);
    expect(scheduler.rateStatus(5_000).limits).to.deep.equal([]);
  });

  // Guards against grants that do not tell holders of a limit, of which they then could not report the end.
  it('names the rate in its grants', () => {
    const {scheduler} = setUpLimited(3);
    const request = acquireRequest('r', 1, 1_000);
    const [grant] = scheduler.acquire(request, 1_000);
    expect(grant).to.include({kind: 'grant', limitPerS: 3});
  });

  // Guards against requests that wait for a rate and that nobody sees.
  it('counts the requests that a rate holds back', () => {
    const {scheduler} = setUpLimited(1);
    expect(scheduler.rateStatus(0).heldBackCount).to.equal(0);
    scheduler.acquire(acquireRequest('r', 1, 0), 0);
    expect(scheduler.rateStatus(0).heldBackCount).to.equal(1);
  });

  // Guards against regions that each use the whole rate.
  it('divides a rate among the schedulers of several regions', () => {
    const schedulers = createSharing();
    const sentMs: number[] = [];
    for (const [index, scheduler] of schedulers.entries()) {
      const from = toInstanceId(`holder-${index}`);
      scheduler.receiveRates(from, [statement(4)], 0);
    }
    const endMs = 3 * windowMs;
    for (let nowMs = stepMs; nowMs <= endMs; nowMs += stepMs) {
      for (const scheduler of schedulers) {
        const request = acquireRequest(`r${nowMs}`, 1, nowMs);
        const effects = [
          ...scheduler.acquire(request, nowMs),
          ...scheduler.tick(nowMs),
        ];
        for (const permitId of grantsOf(effects)) {
          sentMs.push(nowMs);
          scheduler.release(permitRelease(permitId), nowMs);
        }
      }
    }
    expect(worstWindow(sentMs)).to.be.at.most(allowedInWindow(4));
    const inLast = sentMs.filter(atMs => atMs > endMs - windowMs).length;
    expect(inLast).to.be.at.least(12);
  });
});
