import {createManualClock} from '@toucanrouter/common';
import type {UpstreamCrash} from '@toucanrouter/policy';
import {
  createCrashDetector,
  requestHashOf,
  segmentHashOf,
  upstreamStartHashOf,
} from '@toucanrouter/policy';
import {expect} from 'chai';
import type {ProbeResult} from '../../upstreams/UpstreamProbe.js';
import type {UpstreamEntry} from '../../upstreams/UpstreamEntry.js';
import {createEntry} from './GatewayFixtures.js';

const waiting = (id: string) => ({
  request: requestHashOf(id),
  segments: [segmentHashOf('part')],
});

function createFixture(result: ProbeResult, usable = true) {
  const clock = createManualClock();
  const crashes: UpstreamCrash[] = [];
  let probeCount = 0;
  const detector = createCrashDetector({
    clock,
    startHashOf: ({id, startedAtMs}: UpstreamEntry) =>
      upstreamStartHashOf(id, startedAtMs),
    hasEnded: () => {
      probeCount += 1;
      return Promise.resolve(result === 'refused');
    },
    isUsable: () => usable,
    onCrash: crash => crashes.push(crash),
  });
  return {
    detector,
    crashes,
    probeCount: () => probeCount,
    settle: async () => {
      clock.advance(1_000);
      await new Promise(resolve => setImmediate(resolve));
    },
  };
}

describe('createCrashDetector', () => {
  it('probes once for all requests that broke at an upstream', async () => {
    const fixture = createFixture('refused');
    const entry = createEntry('e');
    fixture.detector.connectionEnded(entry, waiting('a'));
    fixture.detector.connectionEnded(entry, waiting('b'));
    await fixture.settle();
    fixture.detector.connectionEnded(entry, waiting('c'));
    await fixture.settle();
    expect(fixture.probeCount()).to.equal(1);
    expect(fixture.crashes.map(({requests}) => requests.length)).to.deep.equal([
      2, 1,
    ]);
    expect(fixture.crashes[1]?.atMs).to.equal(fixture.crashes[0]?.atMs);
  });

  for (const result of ['accepted', 'unknown'] as const) {
    it(`reports no crash if the probe is ${result}`, async () => {
      const fixture = createFixture(result);
      fixture.detector.connectionEnded(createEntry('e'), waiting('a'));
      await fixture.settle();
      expect(fixture.crashes).to.have.length(0);
    });
  }

  for (const [name, result, usable, expected] of [
    ['a crash', 'refused', true, [true, true, true]],
    ['an upstream that lives', 'accepted', true, [false, false, false]],
    ['an upstream that is leaving', 'refused', false, [false, false, false]],
  ] as const) {
    it(`tells each request of ${name}`, async () => {
      const {detector, settle} = createFixture(result, usable);
      const judged: boolean[] = [];
      const entry = createEntry('e');
      const record = (crashed: boolean) => judged.push(crashed);
      detector.connectionEnded(entry, waiting('a'), record);
      detector.connectionEnded(entry, waiting('b'), record);
      await settle();
      detector.connectionEnded(entry, waiting('c'), record);
      await settle();
      expect(judged).to.deep.equal(expected);
    });
  }

  it('reports no crash of an upstream that is leaving', async () => {
    const fixture = createFixture('refused', false);
    fixture.detector.connectionEnded(createEntry('e'), waiting('a'));
    await fixture.settle();
    expect(fixture.probeCount()).to.equal(0);
    expect(fixture.crashes).to.have.length(0);
  });

  it('reports a crash of an upstream that started again under its id', async () => {
    const fixture = createFixture('refused');
    for (const startedAtMs of [1, 2]) {
      const entry = createEntry('e', {startedAtMs});
      fixture.detector.connectionEnded(entry, waiting('a'));
      await fixture.settle();
    }
    const upstreams = fixture.crashes.map(({upstream}) => upstream);
    expect(new Set(upstreams).size).to.equal(2);
  });
});
