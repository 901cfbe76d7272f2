import {expect} from 'chai';
import type {
  CallOutcome,
  PausingFleet,
  PausingFleetOptions,
} from './PausingUpstreamsFixture.js';
import {createPausingFleet} from './PausingUpstreamsFixture.js';
import type {UpstreamHandler} from './SuspectUpstreamsFixture.js';
import {
  engine,
  relayedTokens,
  responseTokens,
} from './SuspectUpstreamsFixture.js';

const callCount = 8;
const streamMs = 300;
const startMs = 50;

const answering: UpstreamHandler = (_message, _body, response) => {
  response.end('done');
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
  return Promise.all(Array.from({length: callCount}, run));
}

function expectAnswered(outcomes: readonly CallOutcome[]): void {
  const kinds = new Set(outcomes.map(({kind}) => kind));
  expect([...kinds]).to.deep.equal(['answered']);
}

/** Lets the first upstream answer one call as leaving; lists both. */
async function beginLeaving(
  fleet: PausingFleet,
  call: () => Promise<CallOutcome> = fleet.chat,
): Promise<void> {
  fleet.list([[0, 1]]);
  fleet.leave(0, true);
  await call();
  fleet.list([
    [0, 1],
    [1, 1],
  ]);
}

describe('an upstream that says that it is leaving', () => {
  for (const kind of ['chat', 'plain'] as const) {
    // Guards against new calls to a leaving upstream that the list shows in service and its scheduler grants.
    it(`gets no new ${kind} calls, also if list and scheduler lag`, () =>
      withFleet(
        {
          handlers:
            kind === 'chat' ? [engine(), engine()] : [answering, answering],
          schedulerLags: true,
        },
        async fleet => {
          await beginLeaving(fleet, fleet[kind]);
          const before = fleet.arrivals(0).length;
          expectAnswered(await repeat(fleet[kind]));
          expect(fleet.arrivals(0)).to.have.length(before);
        },
      ));
  }

  // Guards against a rejection whose announcement is overlooked.
  it('gets no new calls after a rejection that says so', () =>
    withFleet(
      {handlers: [engine(), engine()], schedulerLags: true},
      async fleet => {
        fleet.reject(0, '0');
        await beginLeaving(fleet);
        fleet.reject(0, undefined);
        expectAnswered(await repeat(fleet.chat));
        expect(fleet.arrivals(0)).to.have.length(1);
      },
    ));

  // Guards against permits that are used although the upstream announced that it leaves.
  it('gets no calls whose permit is granted afterwards', () => {
    let hold = Promise.resolve();
    return withFleet(
      {
        handlers: [engine(), engine()],
        schedulerLags: true,
        onGranted: () => hold,
      },
      async fleet => {
        fleet.list([[0, 1]]);
        hold = fleet.wait(streamMs);
        const held = repeat(fleet.chat);
        await fleet.wait(startMs);
        hold = Promise.resolve();
        await beginLeaving(fleet);
        expectAnswered(await held);
        expect(fleet.arrivals(0)).to.have.length(1);
      },
    );
  });

  // Guards against streams that are cut because their engine announced that it leaves.
  it('finishes the streams that run there', () =>
    withFleet(
      {
        handlers: [engine({pauseAfterTokens: 2, pauseMs: streamMs}), engine()],
        schedulerLags: true,
      },
      async fleet => {
        fleet.list([[0, 1]]);
        fleet.leave(0, true);
        const outcome = await fleet.chat();
        expect(relayedTokens(outcome.relayed)).to.deep.equal(responseTokens);
        expect(fleet.outcomes(0)).to.deep.equal(['completed']);
      },
    ));

  // Guards against resumptions at an engine that is leaving.
  it('gets no resumptions of streams that break there', () =>
    withFleet(
      {
        handlers: [
          engine({pauseAfterTokens: 2, pauseMs: streamMs, breaksOff: true}),
          engine(),
        ],
        schedulerLags: true,
      },
      async fleet => {
        fleet.list([[0, 1]]);
        fleet.leave(0, true);
        const call = fleet.chat();
        await fleet.wait(startMs);
        fleet.list([
          [0, 1],
          [1, 1],
        ]);
        const outcome = await call;
        expect(relayedTokens(outcome.relayed)).to.deep.equal(responseTokens);
        expect(fleet.arrivals(0)).to.have.length(1);
      },
    ));

  for (const [name, pauseAfterTokens] of [
    ['hedges', -1],
    ['moves', 2],
  ] as const) {
    // Guards against second copies of calls at an engine that is leaving.
    it(`gets no ${name}`, () =>
      withFleet(
        {
          handlers: [
            engine(),
            engine({pauseAfterTokens, pauseMs: 2 * streamMs}),
          ],
          schedulerLags: true,
          onGranted: permit => {
            setTimeout(() => permit.onSuspect?.(), streamMs);
          },
        },
        async fleet => {
          await beginLeaving(fleet);
          fleet.list([[1, 1]]);
          const calls = repeat(fleet.chat);
          await fleet.wait(startMs);
          fleet.list([
            [0, 1],
            [1, 1],
          ]);
          expectAnswered(await calls);
          expect(fleet.arrivals(0)).to.have.length(1);
        },
      ));
  }

  // Guards against wrong or stale reports that keep calls off other incarnations.
  it('is used again as a new incarnation, whatever was reported of others', () =>
    withFleet({handlers: [engine(), engine()]}, async fleet => {
      await beginLeaving(fleet);
      fleet.leave(0, false);
      fleet.list([[0, 2]]);
      fleet.reportLeaving(0, 1);
      fleet.reportLeaving(0, 1_000);
      expectAnswered(await repeat(fleet.chat));
      expect(fleet.arrivals(0)).to.have.length(1 + callCount);
    }));

  // Guards against a report of a later incarnation that hides the one of the present one.
  it('gets no new calls although a later incarnation was reported', () =>
    withFleet({handlers: [engine(), engine()]}, async fleet => {
      fleet.reportLeaving(0, 1_000);
      await beginLeaving(fleet);
      expectAnswered(await repeat(fleet.chat));
      expect(fleet.arrivals(0)).to.have.length(1);
    }));

  // Guards against callers who make a service that returns headers look as if it left, and against a header of ours in responses.
  it('is not announced by callers, nor to them', () =>
    withFleet({handlers: [answering]}, async fleet => {
      fleet.leave(0, true);
      const {headers} = await fleet.plain();
      expect(fleet.headers(0)[0]).not.to.have.property('x-upstream-leaving');
      expect(headers).not.to.have.property('x-upstream-leaving');
    }));
});
