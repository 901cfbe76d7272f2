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
  windowMs,
  worstWindow,
} from './LimitedUpstreamsFixture.js';
import type {UpstreamHandler} from './SuspectUpstreamsFixture.js';
import {engine} from './SuspectUpstreamsFixture.js';

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
      }));
  }
});
