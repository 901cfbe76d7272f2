import {expect} from 'chai';
import type {
  CallKind,
  LimitedCallOutcome,
  LimitedFleet,
  LimitedFleetOptions,
} from './LimitedUpstreamsFixture.js';
import {
  allowedInWindow,
  contactMs,
  createLimitedFleet,
  limitHeader,
  windowMs,
  worstWindow,
} from './LimitedUpstreamsFixture.js';
import type {UpstreamHandler} from './SuspectUpstreamsFixture.js';
import {engine, rejecting} from './SuspectUpstreamsFixture.js';

const instanceCount = 3;
const msPerSecond = 1_000;
const limitPerS = 4;
const callIntervalMs = 50;
/** One call in this many is urgent. */
const urgentEvery = 10;
/** Least part of the limit that is used while more is asked for. */
const usedShare = 0.75;
const urgentShare = 0.95;
/** A stand-in takes this long, so that the wait for a permit is the rest. */
const targetMs = 1_000;

/** Time after which a limit that has ended no longer shows. */
const restoredMs = 5_000;
/** Within this time of its end a limit may at most double. */
const onsetMs = 500;
/** Calls that this time allows, beside what was saved up. */
const onsetCallCount = 4;

const beginMessage = 'an upstream limits its request rate';
const endMessage = 'an upstream no longer limits its request rate';

const breakingOff = engine({
  pauseAfterTokens: 2,
  pauseMs: callIntervalMs,
  breaksOff: true,
});

const breakingOffTools = engine({
  pauseAfterTokens: 2,
  pauseMs: 2 * callIntervalMs,
  breaksOff: true,
  callsTool: true,
});

const answering: UpstreamHandler = (_message, _body, response) => {
  response.end('done');
};

const handlers: Readonly<Record<CallKind, UpstreamHandler>> = {
  chat: engine(),
  plain: answering,
};

async function withFleet(
  options: LimitedFleetOptions,
  run: (fleet: LimitedFleet) => Promise<void>,
): Promise<void> {
  const fleet = await createLimitedFleet(options);
  try {
    await run(fleet);
  } finally {
    await fleet.close();
  }
}

/** Sends calls at intervals from all instances in turn. */
async function sendFor(
  fleet: LimitedFleet,
  kind: CallKind,
  forMs: number,
): Promise<LimitedCallOutcome[]> {
  const calls: Promise<LimitedCallOutcome>[] = [];
  const endMs = fleet.nowMs() + forMs;
  for (let index = 0; fleet.nowMs() < endMs; index++) {
    const isUrgent = index % urgentEvery === 0;
    calls.push(fleet.call(kind, index % instanceCount, isUrgent));
    await fleet.wait(callIntervalMs);
  }
  return Promise.all(calls);
}

function expectLimitKept(fleet: LimitedFleet, fromMs: number): void {
  const worst = worstWindow(fleet.arrivalsMs(0), fromMs);
  expect(worst).to.be.at.most(allowedInWindow(limitPerS));
}

function expectLimitUsed(fleet: LimitedFleet, fromMs: number): void {
  const used = fleet
    .arrivalsMs(0)
    .filter(atMs => atMs >= fromMs && atMs < fromMs + windowMs);
  const least = (usedShare * limitPerS * windowMs) / msPerSecond;
  expect(used.length).to.be.at.least(least);
}

function expectAnswered(outcomes: readonly LimitedCallOutcome[]): void {
  const kinds = new Set(outcomes.map(({kind}) => kind));
  expect([...kinds]).to.deep.equal(['answered']);
}

function expectRefusedInTime(outcomes: readonly LimitedCallOutcome[]): void {
  const refused = outcomes.filter(({kind}) => kind !== 'answered');
  for (const {kind, retryAfterMs, totalMs} of refused) {
    expect(kind).to.equal('overloaded');
    expect(totalMs).to.be.at.most(targetMs);
    expect(retryAfterMs).to.be.greaterThan(0);
  }
}

describe('an upstream that limits its request rate', () => {
  for (const kind of ['chat', 'plain'] as const) {
    // Guards against more requests of all instances together than an upstream in need takes, and against a limit that is not used or not by urgent calls first.
    it(`gets ${kind} calls of all instances at that rate, urgent ones first`, () =>
      withFleet({instanceCount, handlers: [handlers[kind]]}, async fleet => {
        fleet.limit(0, String(limitPerS));
        const fromMs = fleet.nowMs() + contactMs;
        const outcomes = await sendFor(fleet, kind, contactMs + 2 * windowMs);
        expectLimitKept(fleet, fromMs);
        expectLimitUsed(fleet, fromMs);
        const urgent = outcomes.filter(({isUrgent}) => isUrgent);
        const inTime = urgent.filter(
          ({kind: end, totalMs}) => end === 'answered' && totalMs <= targetMs,
        );
        const least = urgentShare * urgent.length;
        expect(inTime.length).to.be.at.least(least);
        expectRefusedInTime(outcomes);
      }));
  }

  // Guards against a scheduler that takes over and does not know the limit, or uses one of its own.
  it('is kept to its limit while the scheduler moves', () =>
    withFleet({instanceCount, handlers: [answering]}, async fleet => {
      fleet.limit(0, String(limitPerS));
      const fromMs = fleet.nowMs() + contactMs;
      for (const owner of [0, 1, 2, 0, 1]) {
        fleet.setOwner(owner);
        await sendFor(fleet, 'plain', windowMs / 2);
      }
      expectLimitKept(fleet, fromMs);
      expectLimitUsed(fleet, fromMs);
    }));

  for (const kind of ['chat', 'plain'] as const) {
    // Guards against a rate that is used up by requests that never reached the upstream.
    it(`gets a ${kind} call at once after one that found no connection`, () =>
      withFleet({instanceCount, handlers: [handlers[kind]]}, async fleet => {
        fleet.limit(0, '0.5');
        await fleet.call(kind, 0, true);
        // Enough for one call.
        await fleet.wait(2 * msPerSecond + 2 * callIntervalMs);
        await fleet.stop(0);
        const failing = fleet.call(kind, 0, true);
        await fleet.wait(2 * callIntervalMs);
        await fleet.start(0);
        const outcome = await fleet.call(kind, 1, true);
        expect(outcome.kind).to.equal('answered');
        expect(outcome.totalMs).to.be.lessThan(targetMs / 2);
        expect((await failing).kind).not.to.equal('answered');
      }));
  }

  // Guards against resumptions and retries that do not count.
  it('is kept to its limit while its streams break', () =>
    withFleet({instanceCount, handlers: [breakingOff]}, async fleet => {
      fleet.limit(0, String(limitPerS));
      const fromMs = fleet.nowMs() + contactMs;
      await sendFor(fleet, 'chat', contactMs + windowMs);
      expectLimitKept(fleet, fromMs);
      expectLimitUsed(fleet, fromMs);
    }));

  // Guards against calls of tools that are broken off because another engine cannot continue them.
  it('gets the resumptions that only it can serve', () =>
    withFleet(
      {instanceCount, handlers: [breakingOffTools, engine()]},
      async fleet => {
        fleet.list([[0, 1]]);
        fleet.limit(0, '1');
        const call = fleet.call('chat', 0, false);
        await fleet.wait(callIntervalMs);
        fleet.list([
          [0, 1],
          [1, 1],
        ]);
        expectAnswered([await call]);
        expect(fleet.arrivalsMs(0)).to.have.length(2);
      },
    ));

  // Guards against a limit that takes upstreams without one down with it.
  it('leaves the rest to upstreams without a limit', () =>
    withFleet(
      {instanceCount, handlers: [answering, answering]},
      async fleet => {
        fleet.limit(0, String(limitPerS));
        const fromMs = fleet.nowMs() + contactMs;
        expectAnswered(await sendFor(fleet, 'plain', contactMs + windowMs));
        expectLimitKept(fleet, fromMs);
      },
    ));

  // Guards against a limit that outlives the responses that state it, and against a rush at its end.
  it('is back at full traffic, without a rush, after its limit', () =>
    withFleet({instanceCount, handlers: [answering]}, async fleet => {
      fleet.limit(0, String(limitPerS));
      // A process that stalls may make too few calls to reach all instances.
      for (let instance = 0; instance < instanceCount; instance++) {
        expectAnswered([await fleet.call('plain', instance, true)]);
      }
      await sendFor(fleet, 'plain', msPerSecond);
      fleet.limit(0, undefined);
      const endedAtMs = fleet.nowMs();
      await sendFor(fleet, 'plain', restoredMs);
      expectAnswered(await sendFor(fleet, 'plain', msPerSecond));
      expect(fleet.limits()).to.deep.equal([]);
      const atOnce = fleet
        .arrivalsMs(0)
        .filter(atMs => atMs >= endedAtMs && atMs < endedAtMs + onsetMs);
      expect(atOnce.length).to.be.at.most(onsetCallCount);
      for (const message of [beginMessage, endMessage]) {
        const lines = fleet.log.filter(line => line.message === message);
        expect(lines).to.have.length(instanceCount);
      }
    }));

  // Guards against a limit that nobody lifts because those who heard of it send nothing more.
  it('is back at full traffic although only others had heard of its limit', () =>
    withFleet({instanceCount, handlers: [answering]}, async fleet => {
      fleet.limit(0, String(limitPerS));
      await fleet.call('plain', 1, true);
      fleet.limit(0, undefined);
      expect(fleet.limits().map(({perS}) => perS)).to.deep.equal([limitPerS]);
      expect(fleet.limitedCount(2)).to.equal(0);
      await fleet.wait(msPerSecond);
      await fleet.call('plain', 2, true);
      await fleet.wait(restoredMs);
      expect(fleet.limits()).to.deep.equal([]);
    }));

  // Guards against a new process that is held to the limit of the last one.
  it('starts without a limit as a new process', () =>
    withFleet({instanceCount, handlers: [answering]}, async fleet => {
      fleet.limit(0, '0');
      await fleet.call('plain', 0, true);
      fleet.limit(0, undefined);
      fleet.list([[0, 2]]);
      expect(fleet.limits()).to.deep.equal([]);
      expect(fleet.limitedCount(0)).to.equal(0);
      expectAnswered(await sendFor(fleet, 'plain', msPerSecond));
      expect(fleet.log.at(-1)?.fields).to.include({reason: 'replaced'});
    }));

  // Guards against values of no use that limit an upstream, lift its limit, or fill the log.
  for (const value of ['-1', 'NaN', '1e308', '', '2/s', '4, x']) {
    it(`states nothing with the value "${value}", which is logged once`, () =>
      withFleet({instanceCount, handlers: [answering]}, async fleet => {
        fleet.limit(0, String(limitPerS));
        await fleet.call('plain', 0, true);
        fleet.limit(0, value);
        await fleet.call('plain', 0, true);
        await fleet.call('plain', 0, true);
        expect(fleet.limits().map(({perS}) => perS)).to.deep.equal([limitPerS]);
        expect(fleet.log.map(({message}) => message)).to.deep.equal([
          beginMessage,
          'an upstream sent an unusable limit of its rate',
        ]);
        expect(fleet.log[1]?.fields.problem).to.include('requests a second');
      }));
  }

  // Guards against a limit that only successful responses state.
  it('is limited by a rejection that says so', () =>
    withFleet({instanceCount, handlers: [rejecting]}, async fleet => {
      fleet.limit(0, '2');
      await fleet.call('chat', 0, true);
      expect(fleet.limits().map(({perS}) => perS)).to.deep.equal([2]);
      const named = fleet.log.map(({fields}) => fields.limitPerS);
      expect(named).to.include(2);
    }));

  // Guards against callers who make a service that returns headers look limited, and against a header of ours in responses.
  it('is not limited by callers, nor named to them', () =>
    withFleet({instanceCount, handlers: [answering]}, async fleet => {
      fleet.limit(0, String(limitPerS));
      const {headers} = await fleet.call('plain', 0, true);
      expect(fleet.headers(0)).not.to.have.property(limitHeader);
      expect(headers).not.to.have.property(limitHeader);
    }));
});
