import {expect} from 'chai';
import fc from 'fast-check';
import {holderTimeoutMs} from '../../scheduling/SchedulingConstants.js';
import type {TestFleet, TestRequest} from './SchedulingFixture.js';
import {createTestFleet} from './SchedulingFixture.js';

const convergenceMs = 300;
const takeoverMs = 1_000;
const reconcileMs = 8_000;

function release(request: TestRequest): void {
  request.permits[0]?.release({outcome: 'completed', wastedTokens: 0});
}

describe('the permit exchange', () => {
  it('grants a permit from the owner to any holder', async () => {
    const fleet = createTestFleet(3, 2);
    const requests = fleet.instances.map((instance, i) =>
      fleet.request(instance, `r${i}`),
    );
    await fleet.run(convergenceMs);
    expect(requests.map(r => r.permits.length)).to.deep.equal([1, 1, 1]);
    expect(fleet.inFlight()).to.equal(3);
    requests.forEach(release);
    await fleet.run(convergenceMs);
    expect(fleet.inFlight()).to.equal(0);
  });

  for (const fault of ['killed', 'paused'] as const) {
    it(`grants from a new scheduler within a second after the old one is ${fault}, and counts the permits already held`, async () => {
      const fleet = createTestFleet(3, 2);
      const [first, second] = fleet.instances;
      const held = fleet.request(second!, 'held');
      await fleet.run(convergenceMs);
      if (fault === 'killed') first!.alive = false;
      else first!.paused = true;
      const waiting = fleet.request(second!, 'waiting');
      await fleet.run(takeoverMs);
      expect(fleet.owner().id).to.equal('router-1');
      expect(waiting.permits).to.have.length(1);
      expect(held.permits).to.have.length(1);
      expect(fleet.inFlight()).to.equal(2);
    });
  }

  it('releases a late grant of the previous scheduler, so that a request never holds two slots', async () => {
    const fleet = createTestFleet(2, 1);
    const [first, second] = fleet.instances;
    await fleet.run(convergenceMs);
    const request = fleet.request(second!, 'r');
    first!.paused = true;
    await fleet.run(takeoverMs);
    expect(request.permits[0]?.permitId).to.match(/^router-1/);
    first!.paused = false;
    // Too short for unreportedPermitTimeoutMs to reclaim the second slot.
    await fleet.run(takeoverMs);
    expect(fleet.owner().id).to.equal('router-0');
    expect(request.permits).to.have.length(1);
    expect(fleet.inFlight()).to.equal(1);
  });

  it('frees the slots of a holder that was killed', async () => {
    const fleet = createTestFleet(2, 1);
    fleet.request(fleet.instances[1]!, 'r');
    await fleet.run(convergenceMs);
    expect(fleet.inFlight()).to.equal(1);
    fleet.instances[1]!.alive = false;
    await fleet.run(holderTimeoutMs + convergenceMs);
    expect(fleet.inFlight()).to.equal(0);
  });

  it('frees a slot whose release message was lost', async () => {
    const fleet = createTestFleet(2, 1);
    const request = fleet.request(fleet.instances[1]!, 'r');
    await fleet.run(convergenceMs);
    fleet.copiesPerMessage = () => 0;
    release(request);
    await fleet.run(50);
    fleet.copiesPerMessage = () => 1;
    await fleet.run(reconcileMs);
    expect(fleet.inFlight()).to.equal(0);
  });

  it('resends a request when the request or its grant was lost', async () => {
    const fleet = createTestFleet(2, 1);
    await fleet.run(convergenceMs);
    fleet.copiesPerMessage = () => 0;
    const request = fleet.request(fleet.instances[1]!, 'r');
    await fleet.run(convergenceMs);
    fleet.copiesPerMessage = () => 1;
    await fleet.run(2 * takeoverMs);
    expect(request.permits).to.have.length(1);
    expect(fleet.inFlight()).to.equal(1);
  });

  it('cancels a queued request when its caller has disconnected', async () => {
    const fleet = createTestFleet(2, 1);
    const request = fleet.request(fleet.instances[1]!, 'r');
    request.abort.abort();
    await fleet.run(takeoverMs);
    expect(request.errors[0]?.kind).to.equal('canceled');
    expect(fleet.inFlight()).to.equal(0);
  });
});

type Step =
  | {readonly kind: 'request'; readonly at: number}
  | {readonly kind: 'release' | 'cancel'; readonly index: number}
  | {readonly kind: 'pause' | 'resume'; readonly at: number}
  | {readonly kind: 'network'; readonly copies: readonly number[]}
  | {readonly kind: 'run'; readonly forMs: number};

const instanceCount = 3;

function stepArbitrary(): fc.Arbitrary<Step> {
  const at = fc.nat(instanceCount - 1);
  const index = fc.nat(30);
  return fc.oneof(
    {
      weight: 6,
      arbitrary: fc.record({kind: fc.constant('request' as const), at}),
    },
    {
      weight: 4,
      arbitrary: fc.record({
        kind: fc.constantFrom('release' as const, 'cancel' as const),
        index,
      }),
    },
    {
      weight: 2,
      arbitrary: fc.record({
        kind: fc.constantFrom('pause' as const, 'resume' as const),
        at,
      }),
    },
    {
      weight: 1,
      arbitrary: fc.record({
        kind: fc.constant('network' as const),
        copies: fc.array(fc.constantFrom(0, 1, 1, 2), {
          minLength: 1,
          maxLength: 6,
        }),
      }),
    },
    {
      weight: 4,
      arbitrary: fc.record({
        kind: fc.constant('run' as const),
        forMs: fc.constantFrom(20, 100, 400, 1_200),
      }),
    },
  );
}

async function applyStep(
  fleet: TestFleet,
  requests: TestRequest[],
  step: Step,
): Promise<void> {
  switch (step.kind) {
    case 'request': {
      const instance = fleet.instances[step.at]!;
      const name = `r${requests.length}`;
      if (!instance.paused) requests.push(fleet.request(instance, name));
      return;
    }
    case 'release': {
      const request = requests[step.index];
      if (request !== undefined) release(request);
      return;
    }
    case 'cancel':
      requests[step.index]?.abort.abort();
      return;
    case 'pause':
      fleet.instances[step.at]!.paused = true;
      return;
    case 'resume':
      fleet.instances[step.at]!.paused = false;
      return;
    case 'network': {
      let next = 0;
      const {copies} = step;
      fleet.copiesPerMessage = () => copies[next++ % copies.length]!;
      return;
    }
    case 'run':
      await fleet.run(step.forMs);
  }
}

async function healNetwork(fleet: TestFleet): Promise<void> {
  fleet.copiesPerMessage = () => 1;
  for (const instance of fleet.instances) instance.paused = false;
  await fleet.run(reconcileMs);
}

describe('the permit exchange under faults', () => {
  it('loses and duplicates no slot or request through pauses and lost or duplicated messages', async () => {
    const steps = fc.array(stepArbitrary(), {minLength: 5, maxLength: 40});
    await fc.assert(
      fc.asyncProperty(steps, async script => {
        const fleet = createTestFleet(instanceCount, 2);
        const requests: TestRequest[] = [];
        for (const step of script) await applyStep(fleet, requests, step);
        await healNetwork(fleet);
        for (const request of requests) {
          const outcomes = request.permits.length + request.errors.length;
          expect(outcomes, 'outcomes of one request').to.be.at.most(1);
        }
        let held = 0;
        for (const {permits} of fleet.instances) held += permits.counts().held;
        expect(fleet.inFlight(), 'slots in use').to.equal(held);
        requests.forEach(release);
        await healNetwork(fleet);
        let pending = 0;
        for (const {permits} of fleet.instances) {
          pending += permits.counts().pending;
        }
        expect(pending, 'requests without an outcome').to.equal(0);
      }),
      {seed: 11, numRuns: 60},
    );
  });
});
