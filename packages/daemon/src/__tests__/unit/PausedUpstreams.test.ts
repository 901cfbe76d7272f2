import {
  createManualClock,
  toRequestId,
  toUpstreamId,
} from '@toucanrouter/common';
import type {LogFields} from '@toucanrouter/logging';
import {createRetryBudget} from '@toucanrouter/policy';
import {expect} from 'chai';
import {createUpstreamDirectory} from '../../fleet/UpstreamDirectory.js';
import {createPausedUpstreams} from '../../request/PausedUpstreams.js';
import {createMetrics} from '../../Metrics.js';
import type {
  CallOutcome,
  PausingFleet,
  PausingFleetOptions,
} from './PausingUpstreamsFixture.js';
import {
  createPausingFleet,
  maxLateRequests,
  worstLateCount,
} from './PausingUpstreamsFixture.js';
import {upstreamInfo} from './SchedulingFixture.js';
import type {UpstreamHandler} from './SuspectUpstreamsFixture.js';
import {
  engine,
  relayedTokens,
  responseTokens,
  upstreamName,
} from './SuspectUpstreamsFixture.js';

const pauseSeconds = '1.5';
const pauseMs = 1_500;
/** Within the pause, and later than what may still be on its way. */
const lateMs = 700;
const callIntervalMs = 50;
const parallelCalls = 4;
/** Bounds the time until a refusal that is made at once. */
const atOnceMs = 500;
const patientClass = {target: {firstTokenMs: 5_000}};

const answering: UpstreamHandler = (_message, _body, response) => {
  response.end('done');
};

/** An engine that keeps streams open after the first tokens. */
const silent = engine({pauseAfterTokens: 2, pauseMs: 4_000});

/** An engine that breaks off each new stream at a late point of a pause. */
const breakingOff = engine({
  pauseAfterTokens: 2,
  pauseMs: lateMs + parallelCalls * callIntervalMs,
  breaksOff: true,
});

/** An upstream that closes the connection late, without a response. */
const failing: UpstreamHandler = (_message, _body, response) => {
  setTimeout(() => response.destroy(), lateMs);
};

async function withFleet(
  options: PausingFleetOptions,
  run: (fleet: PausingFleet) => Promise<void>,
): Promise<void> {
  const fleet = await createPausingFleet(options);
  try {
    await run(fleet);
  } finally {
    await fleet.close();
  }
}

function repeat(run: () => Promise<CallOutcome>): Promise<CallOutcome[]> {
  return Promise.all(Array.from({length: parallelCalls}, run));
}

/** Sends calls at intervals until the pause is over. */
async function sendDuring(
  fleet: PausingFleet,
  call: () => Promise<CallOutcome>,
): Promise<CallOutcome[]> {
  const calls: Promise<CallOutcome>[] = [];
  const endMs = fleet.nowMs() + pauseMs;
  while (fleet.nowMs() < endMs) {
    calls.push(call());
    await fleet.wait(callIntervalMs);
  }
  return Promise.all(calls);
}

/** Makes the first upstream ask for a pause with a call that it rejects. */
async function beginPause(fleet: PausingFleet): Promise<void> {
  fleet.list([[0, 1]]);
  fleet.reject(0, pauseSeconds);
  await fleet.plain();
  fleet.list([
    [0, 1],
    [1, 1],
  ]);
}

function expectPauseKept(fleet: PausingFleet): void {
  const rejections = fleet.arrivals(0).filter(({rejectedWith}) => rejectedWith);
  expect(rejections).not.to.have.length(0);
  expect(worstLateCount(fleet.arrivals(0))).to.be.at.most(maxLateRequests);
}

function expectAnswered(outcomes: readonly CallOutcome[]): void {
  const kinds = new Set(outcomes.map(({kind}) => kind));
  expect([...kinds]).to.deep.equal(['answered']);
}

describe('PausedUpstreams', () => {
  // Guards against new chat calls to an engine that asked for a pause.
  it('sends no new chat calls to an engine that pauses', () =>
    withFleet({handlers: [engine(), engine()]}, async fleet => {
      await beginPause(fleet);
      fleet.reject(0, undefined);
      expectAnswered(await sendDuring(fleet, fleet.chat));
      expectPauseKept(fleet);
    }));

  // Guards against new plain calls to a service that asked for a pause.
  it('sends no new plain calls to a service that pauses', () =>
    withFleet({handlers: [answering, answering]}, async fleet => {
      fleet.reject(0, pauseSeconds);
      expectAnswered(await sendDuring(fleet, fleet.plain));
      expectPauseKept(fleet);
    }));

  // Guards against claimed calls to a service that asked for a pause.
  it('sends no claimed calls to a service that pauses', () =>
    withFleet(
      {
        handlers: [answering, answering],
        serviceClass: {idempotent: false},
      },
      async fleet => {
        fleet.reject(0, pauseSeconds);
        expectAnswered(await sendDuring(fleet, fleet.claimed));
        expectPauseKept(fleet);
      },
    ));

  for (const kind of ['chat', 'plain'] as const) {
    // Guards against retries that go to an upstream that asked for a pause.
    it(`sends no retries of ${kind} calls to an upstream that pauses`, () =>
      withFleet(
        {
          handlers: [kind === 'chat' ? engine() : answering, failing],
          serviceClass: patientClass,
        },
        async fleet => {
          await beginPause(fleet);
          fleet.reject(0, undefined);
          fleet.list([[1, 1]]);
          const calls = repeat(fleet[kind]);
          await fleet.wait(callIntervalMs);
          fleet.list([
            [0, 1],
            [1, 1],
          ]);
          expectAnswered(await calls);
          expectPauseKept(fleet);
        },
      ));

    // Guards against permits that are used although the upstream asked for a pause since the request.
    it(`returns a permit of a ${kind} call that is granted after the pause began`, () => {
      const handler = kind === 'chat' ? engine() : answering;
      let hold = Promise.resolve();
      return withFleet(
        {
          handlers: [handler, handler],
          serviceClass: patientClass,
          onGranted: () => hold,
        },
        async fleet => {
          fleet.list([[0, 1]]);
          hold = fleet.wait(lateMs);
          const held = repeat(fleet[kind]);
          await fleet.wait(callIntervalMs);
          hold = Promise.resolve();
          await beginPause(fleet);
          fleet.reject(0, undefined);
          expectAnswered(await held);
          expectPauseKept(fleet);
          const unused = fleet.outcomes(0).filter(o => o === 'unused');
          expect(unused.length).to.be.at.least(parallelCalls);
        },
      );
    });
  }

  for (const [name, handler] of [
    ['hedges', engine({pauseAfterTokens: -1, pauseMs: 2_000})],
    ['moves', silent],
  ] as const) {
    // Guards against second copies of calls at an engine that asked for a pause.
    it(`sends no ${name} to an engine that pauses`, () =>
      withFleet(
        {
          handlers: [engine(), handler],
          onGranted: permit => {
            setTimeout(() => permit.onSuspect?.(), lateMs);
          },
        },
        async fleet => {
          await beginPause(fleet);
          fleet.reject(0, undefined);
          fleet.list([[1, 1]]);
          const calls = repeat(fleet.chat);
          await fleet.wait(callIntervalMs);
          fleet.list([
            [0, 1],
            [1, 1],
          ]);
          expectAnswered(await calls);
          expectPauseKept(fleet);
        },
      ));
  }

  // Guards against streams that are moved with a permit of an engine that has asked for a pause.
  it('returns the permit of a move that is granted after the pause began', () => {
    let hold = Promise.resolve();
    return withFleet(
      {
        handlers: [engine(), silent],
        onTokens: (permit, tokens) => {
          if (tokens === 2) permit.onSuspect?.();
        },
        onGranted: () => hold,
      },
      async fleet => {
        fleet.list([[1, 1]]);
        const calls = repeat(fleet.chat);
        await fleet.wait(1);
        hold = fleet.wait(lateMs + callIntervalMs);
        fleet.list([
          [0, 1],
          [1, 1],
        ]);
        await fleet.wait(callIntervalMs);
        hold = Promise.resolve();
        await beginPause(fleet);
        fleet.reject(0, undefined);
        expectAnswered(await calls);
        expectPauseKept(fleet);
      },
    );
  });

  // Guards against streams that are resumed at an engine that asked for a pause.
  it('continues streams elsewhere while their engine pauses', () =>
    withFleet({handlers: [breakingOff, engine()]}, async fleet => {
      fleet.list([[0, 1]]);
      const calls: Promise<CallOutcome>[] = [];
      // One after another, so that the breaks are not taken for a failure.
      for (let index = 0; index < parallelCalls; index++) {
        calls.push(fleet.chat());
        await fleet.wait(callIntervalMs);
      }
      await beginPause(fleet);
      fleet.reject(0, undefined);
      const outcomes = await Promise.all(calls);
      expectAnswered(outcomes);
      for (const {relayed, totalMs} of outcomes) {
        expect(relayedTokens(relayed)).to.deep.equal(responseTokens);
        expect(totalMs).to.be.lessThan(pauseMs);
      }
      expectPauseKept(fleet);
    }));

  for (const callsTool of [false, true]) {
    // Guards against streams that are lost, or resumed too early, while their only engine pauses.
    it(`resumes ${callsTool ? 'calls of tools' : 'texts'} after the pause of their only engine`, () =>
      withFleet(
        {
          handlers: [
            engine({
              pauseAfterTokens: 2,
              pauseMs: lateMs,
              breaksOff: true,
              callsTool,
            }),
          ],
        },
        async fleet => {
          const calls = repeat(fleet.chat);
          await fleet.wait(callIntervalMs);
          fleet.reject(0, pauseSeconds);
          await fleet.plain();
          fleet.reject(0, undefined);
          const outcomes = await calls;
          expectAnswered(outcomes);
          expectPauseKept(fleet);
        },
      ));
  }

  // Guards against an entry that repeats, or shows an earlier process, and lifts a pause.
  it('keeps a pause when the instance list repeats or lags', () =>
    withFleet({handlers: [engine()]}, async fleet => {
      fleet.list([[0, 2]]);
      fleet.reject(0, pauseSeconds);
      await fleet.chat();
      fleet.reject(0, undefined);
      await fleet.wait(lateMs);
      for (const incarnation of [2, 1, 1, 2]) {
        fleet.list([]);
        fleet.list([[0, incarnation]]);
        const outcome = await fleet.chat();
        expect(outcome.kind).to.equal('no_upstream');
      }
      expectPauseKept(fleet);
    }));

  // Guards against a pause of an ended process that keeps calls off the new one.
  it('ends a pause, and the wait for it, when a new process takes over', () =>
    withFleet(
      {handlers: [engine()], serviceClass: patientClass},
      async fleet => {
        fleet.reject(0, pauseSeconds);
        await fleet.plain();
        fleet.reject(0, undefined);
        const calls = repeat(fleet.chat);
        await fleet.wait(callIntervalMs);
        expect(fleet.arrivals(0)).to.have.length(1);
        fleet.list([[0, 2]]);
        const outcomes = await calls;
        expectAnswered(outcomes);
        for (const {totalMs} of outcomes) {
          expect(totalMs).to.be.lessThan(pauseMs);
        }
        const ends = fleet.log.filter(({message}) => /has ended/.test(message));
        expect(ends.map(({fields}) => fields.reason)).to.deep.equal([
          'replaced',
        ]);
      },
    ));

  for (const kind of ['chat', 'plain'] as const) {
    // Guards against refusals of calls whose class could wait for the end of the pause.
    it(`lets ${kind} calls wait for the end of a pause within their target`, () =>
      withFleet(
        {
          handlers: [kind === 'chat' ? engine() : answering],
          serviceClass: patientClass,
        },
        async fleet => {
          fleet.reject(0, pauseSeconds);
          await fleet.plain();
          fleet.reject(0, undefined);
          await fleet.wait(lateMs);
          expectAnswered(await repeat(fleet[kind]));
          expectPauseKept(fleet);
          expect(fleet.arrivals(0)).to.have.length(1 + parallelCalls);
        },
      ));

    // Guards against calls that are sent, or kept waiting, while no upstream is back in time.
    it(`refuses ${kind} calls at once that no upstream serves in time`, () =>
      withFleet({handlers: [engine(), engine()]}, async fleet => {
        for (const index of [0, 1]) {
          fleet.list([[index, 1]]);
          fleet.reject(index, index === 0 ? '3' : '2');
          await fleet.plain();
        }
        const pausedAtMs = fleet.nowMs();
        fleet.list([
          [0, 1],
          [1, 1],
        ]);
        await fleet.wait(lateMs);
        const askedAtMs = fleet.nowMs();
        const outcomes = await repeat(fleet[kind]);
        const remainingMs = 2_000 - (fleet.nowMs() - pausedAtMs);
        for (const {kind: error, retryAfterMs, totalMs} of outcomes) {
          expect(error).to.equal('no_upstream');
          // Asked at most this long after the pause was recorded.
          const shortestMs = remainingMs - (fleet.nowMs() - askedAtMs);
          expect(retryAfterMs).to.be.at.least(shortestMs);
          expect(totalMs).to.be.lessThan(atOnceMs);
        }
        expect(fleet.arrivals(0)).to.have.length(1);
        expect(fleet.arrivals(1)).to.have.length(1);
      }));
  }

  // Guards against a refusal that says nothing on when the only engine is back.
  it('refuses a chat call that its only engine rejects with a pause', () =>
    withFleet({handlers: [engine()]}, async fleet => {
      fleet.reject(0, pauseSeconds);
      const outcome = await fleet.chat();
      expect(outcome.kind).to.equal('no_upstream');
      expect(outcome.retryAfterMs).to.be.at.least(pauseMs - outcome.totalMs);
      expect(fleet.arrivals(0)).to.have.length(1);
    }));

  // Guards against calls that stay excluded from an upstream whose pause has ended.
  it('uses an upstream after its pause for calls that wait for a full one', () =>
    withFleet(
      {
        handlers: [engine(), engine({pauseMs: 4_000})],
        serviceClass: patientClass,
      },
      async fleet => {
        await beginPause(fleet);
        fleet.reject(0, undefined);
        await fleet.wait(lateMs);
        const outcomes = await Promise.all(
          Array.from({length: 40}, fleet.chat),
        );
        expectAnswered(outcomes);
        expectPauseKept(fleet);
        expect(fleet.arrivals(0).length).to.be.greaterThan(1);
      },
    ));

  // Guards against pauses that count as faults or as the speed of an upstream.
  it('reports a rejection with a pause to the scheduler as unused', () =>
    withFleet({handlers: [engine(), engine()]}, async fleet => {
      fleet.reject(0, pauseSeconds);
      fleet.list([[0, 1]]);
      await Promise.all([fleet.chat(), fleet.plain()]);
      expect(fleet.arrivals(0)).to.have.length(2);
      expect(fleet.outcomes(0)).to.deep.equal(['unused', 'unused']);
    }));

  // Guards against values of no use that pause an upstream, or that nobody sees.
  for (const value of ['soon', '-1', 'Sun, 06 Nov 1994 08:49:37 GMT', '1e3']) {
    it(`logs the Retry-After "${value}" and does not pause`, () =>
      withFleet({handlers: [engine(), engine()]}, async fleet => {
        fleet.list([[0, 1]]);
        fleet.reject(0, value);
        await fleet.plain();
        fleet.reject(0, undefined);
        const outcome = await fleet.chat();
        expect(outcome.kind).to.equal('answered');
        expect(fleet.log.map(({message}) => message)).to.deep.equal([
          'an upstream sent an unusable Retry-After',
        ]);
        expect(fleet.log[0]?.fields).to.include({
          upstream: upstreamName(0),
          requestId: 'r1',
        });
        expect(fleet.log[0]?.fields.problem).to.include('seconds');
      }));
  }

  // Guards against pauses that nobody can see, and timers that outlive the instance.
  it('logs and counts pauses, and cancels its timers', async () => {
    const clock = createManualClock();
    const log: [string, LogFields | undefined][] = [];
    const write = (message: string, fields?: LogFields) => {
      log.push([message, fields]);
    };
    const paused = createPausedUpstreams({
      clock,
      logger: {debug: write, error: write, info: write, warn: write},
      directory: createUpstreamDirectory(),
    });
    const metrics = createMetrics({
      membersAlive: () => 1,
      configVersion: () => 1,
      storeHistory: () => ({count: 1, revision: 1}),
      claimRecordsRestored: () => 0,
      permitsHeld: () => 0,
      permitsPending: () => 0,
      peerMessagesSent: () => 0,
      crashCount: () => 0,
      quarantinedCount: () => 0,
      retryBudget: () => createRetryBudget().status(0),
      pausedCount: paused.count,
      refusalCounts: paused.refusalCounts,
      rateLimitedCount: () => 0,
      rateStatus: () => ({limits: [], heldBackCount: 0}),
      loopDelayMs: () => 0,
      recentLoopDelayMs: () => 0,
      admittedShare: () => 1,
      shedCounts: () => [],
      memoryLimitBytes: () => 0,
      memoryHolders: () => [],
      bodyMemory: () => ({
        usedBytes: 0,
        maxBytes: 0,
        refusedCount: 0,
        givenUpCount: 0,
      }),
      callerConnections: () => ({
        openCount: 0,
        maxCount: 1,
        refusedCount: 0,
        displacedCount: 0,
      }),
    });
    const upstream = upstreamInfo('engine-1');
    paused.recordRefusal(upstream, toRequestId('r1'), '2');
    clock.advance(1_000);
    paused.recordRefusal(upstream, toRequestId('r2'), '2');
    paused.recordRefusal(upstream, toRequestId('r3'), undefined);
    clock.advance(1_999);
    const text = await metrics.render();
    expect(text).to.include('toucanrouter_upstreams_paused 1');
    expect(text).to.include(
      'toucanrouter_upstream_refusals_total{pause="true"} 2',
    );
    expect(text).to.include(
      'toucanrouter_upstream_refusals_total{pause="false"} 1',
    );
    expect(log).to.have.length(1);
    clock.advance(1);
    expect(paused.count()).to.equal(0);
    const fields = {upstream: toUpstreamId('engine-1'), requestId: 'r1'};
    expect(log).to.deep.equal([
      ['an upstream asks for a pause', {...fields, delayMs: 2_000}],
      ['the pause of an upstream has ended', {...fields, reason: 'over'}],
    ]);
    paused.recordRefusal(upstream, toRequestId('r4'), '2');
    paused.close();
    clock.advance(2_000);
    expect(log).to.have.length(3);
  });
});
