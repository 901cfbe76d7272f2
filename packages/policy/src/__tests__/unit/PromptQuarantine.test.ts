import {expect} from 'chai';
import fc from 'fast-check';
import type {QuarantineReport} from '../../index.js';
import {
  defaultQuarantineLimits,
  requestHashOf,
  segmentHashOf,
} from '../../index.js';
import type {QuarantineFixture} from './QuarantineFixtures.js';
import {
  crash,
  createQuarantineFixture,
  exchangeReport,
  segments,
  upstream,
} from './QuarantineFixtures.js';

const {blockedMs, jitterShare} = defaultQuarantineLimits;
const longestFirstVerdictMs = blockedMs * (1 + jitterShare);

/** Records three crashes by two requests with the segment `bad`. */
function convict(
  {quarantine}: QuarantineFixture,
  prompt: readonly string[],
  startMs = 1_000,
): void {
  for (const [index, request] of ['a', 'a', 'b'].entries()) {
    const atMs = startMs + index * 1_000;
    quarantine.recordCrash(
      crash(`up-${startMs}-${index}`, atMs, [request, ...prompt]),
      atMs,
    );
  }
}

function isBlocked(
  {quarantine}: QuarantineFixture,
  prompt: readonly string[],
  nowMs: number,
): boolean {
  return quarantine.blockedMs(segments(...prompt), nowMs) !== undefined;
}

describe('createPromptQuarantine', () => {
  for (const [position, prompt] of [
    ['first', ['bad', 'x', 'y']],
    ['middle', ['x', 'bad', 'y']],
    ['last shared', ['x', 'y', 'bad']],
  ] as const) {
    it(`convicts a segment at the ${position} position after three crashes by two requests`, () => {
      const fixture = createQuarantineFixture();
      const others = prompt.filter(id => id !== 'bad');
      fixture.quarantine.recordAnswer(
        upstream('live'),
        segments(...others),
        500,
      );
      convict(fixture, prompt);
      expect(isBlocked(fixture, ['other', 'bad'], 3_100)).to.equal(true);
      expect(isBlocked(fixture, others, 3_100)).to.equal(false);
      expect(fixture.convictions).to.have.length(1);
    });
  }

  for (const [place, count] of [
    [17, 19],
    [18, 19],
    [40, 41],
    [299, 600],
    [4_000, 4_000],
  ] as const) {
    // Guards against a segment that is never blamed because of its place.
    it(`convicts the segment at place ${place} of ${count}, also at a peer that is told in parts`, () => {
      const fixtures = [1, 2].map(seed => createQuarantineFixture({}, seed));
      const [fixture, peer] = fixtures as [
        QuarantineFixture,
        QuarantineFixture,
      ];
      const prompt = Array.from({length: count}, (_, index) =>
        index === place - 1 ? 'bad' : `part-${index}`,
      );
      const others = prompt.filter(id => id !== 'bad');
      for (const {quarantine} of fixtures) {
        quarantine.recordAnswer(upstream('live'), segments(...others), 500);
      }
      convict(fixture, prompt);
      const report = fixture.quarantine.takeReport(3_010);
      for (const reported of report?.crashes ?? []) {
        for (const {request, segments: all} of reported.requests) {
          for (let at = 0; at < all.length; at += 100) {
            const part = {request, segments: all.slice(at, at + 100)};
            const crashes = [{...reported, requests: [part]}];
            const parts = {crashes, verdicts: [], clearings: []};
            peer.quarantine.receive(parts, 3_020);
          }
        }
      }
      for (const {quarantine, ...rest} of fixtures) {
        quarantine.takeReport(3_300);
        const judged = {quarantine, ...rest};
        expect(isBlocked(judged, ['bad'], 3_300)).to.equal(true);
        expect(isBlocked(judged, others, 3_300)).to.equal(false);
      }
    });
  }

  for (const prompt of [
    ['shared', 'bad'],
    ['bad', 'shared'],
  ] as const) {
    it(`convicts only the crashing segment of ${prompt.join(', ')} while no sound request gets through`, () => {
      const fixture = createQuarantineFixture();
      for (let index = 0; index < 8; index += 1) {
        const atMs = 1_000 * (index + 1);
        fixture.quarantine.recordCrash(
          crash(
            `up-${index}`,
            atMs,
            [`bad-${index}`, ...prompt],
            [`sound-${index}`, 'shared', `part-${index}`],
          ),
          atMs,
        );
      }
      expect(isBlocked(fixture, ['bad'], 8_100)).to.equal(true);
      expect(isBlocked(fixture, ['shared', 'part'], 8_100)).to.equal(false);
    });
  }

  it('blames the segment of later crashes when two requests were retried together', () => {
    const fixture = createQuarantineFixture();
    for (const [index, atMs] of [1_000, 2_000, 3_000].entries()) {
      fixture.quarantine.recordCrash(
        crash(
          `up-${index}`,
          atMs,
          ['bad-1', 'bad'],
          ['sound-1', 'rare'],
          ['sound-2', 'rare'],
        ),
        atMs,
      );
    }
    expect(fixture.convictions).to.have.length(0);
    fixture.quarantine.recordCrash(
      crash('up-4', 4_000, ['bad-2', 'bad']),
      4_000,
    );
    expect(isBlocked(fixture, ['bad'], 4_000)).to.equal(true);
    expect(isBlocked(fixture, ['rare'], 4_000)).to.equal(false);
  });

  it('convicts nobody when many upstreams end at one moment and requests are retried', () => {
    const fixture = createQuarantineFixture();
    for (let index = 0; index < 20; index += 1) {
      const atMs = 1_000 + index * 5;
      fixture.quarantine.recordCrash(
        crash(`up-${index}`, atMs, ['a', 'x', 'y'], [`r-${index}`, 'x', 'y']),
        atMs,
      );
    }
    fixture.quarantine.recordCrash(
      crash('up-later', 2_500, ['a', 'x', 'y']),
      2_500,
    );
    expect(fixture.convictions).to.have.length(0);
  });

  it('ignores an upstream that answers after its assumed end', () => {
    const fixture = createQuarantineFixture();
    for (let index = 0; index < 10; index += 1) {
      const atMs = 1_000 * (index + 1);
      const grey = `grey-${index % 4}`;
      fixture.quarantine.recordCrash(
        crash(grey, atMs, [`r-${index}`, 'x', 'y']),
        atMs,
      );
      fixture.quarantine.recordAlive(upstream(grey), atMs + 500);
    }
    expect(fixture.convictions).to.have.length(0);
  });

  it('convicts nobody during a rolling replacement while requests are answered', () => {
    const fixture = createQuarantineFixture();
    for (let index = 0; index < 12; index += 1) {
      const atMs = 1_000 * (index + 1);
      fixture.quarantine.recordCrash(
        crash(`old-${index}`, atMs, [`r-${index}`, 'x', 'y']),
        atMs,
      );
      fixture.quarantine.recordAnswer(
        upstream('new'),
        segments('x', 'y'),
        atMs + 400,
      );
    }
    expect(fixture.convictions).to.have.length(0);
  });

  // Guards against a segment that crashes upstreams after their first events.
  it('convicts a segment whose requests receive events and no complete response', () => {
    const fixture = createQuarantineFixture();
    for (const [index, request] of ['a', 'b', 'c'].entries()) {
      const atMs = 1_000 * (index + 1);
      fixture.quarantine.recordAnswer(
        upstream('live'),
        segments('shared'),
        atMs - 100,
      );
      fixture.quarantine.recordAlive(upstream(`up-${index}`), atMs - 20);
      fixture.quarantine.recordCrash(
        crash(`up-${index}`, atMs, [request, 'shared', 'bad']),
        atMs,
      );
    }
    expect(isBlocked(fixture, ['bad'], 3_100)).to.equal(true);
    expect(isBlocked(fixture, ['shared'], 3_100)).to.equal(false);
  });

  it('does not convict on the repeats of one request alone', () => {
    const fixture = createQuarantineFixture();
    for (let index = 0; index < 10; index += 1) {
      const atMs = 1_000 * (index + 1);
      fixture.quarantine.recordCrash(
        crash(`up-${index}`, atMs, ['only', 'x']),
        atMs,
      );
    }
    expect(fixture.convictions).to.have.length(0);
  });

  it('ends a verdict by itself and doubles it after one further crash', () => {
    const fixture = createQuarantineFixture();
    const {quarantine} = fixture;
    convict(fixture, ['bad']);
    const endedMs = 3_001 + longestFirstVerdictMs;
    expect(isBlocked(fixture, ['bad'], 3_000 + blockedMs - 1)).to.equal(true);
    expect(quarantine.tryPass(segments('bad'), endedMs)).to.equal(undefined);
    // The second request waits for the outcome of the first.
    expect(quarantine.tryPass(segments('bad'), endedMs + 1)).not.to.equal(
      undefined,
    );
    quarantine.takeReport(endedMs);
    expect(fixture.expired).to.deep.equal(segments('bad'));
    quarantine.recordCrash(
      crash('later', endedMs + 2, ['c', 'bad']),
      endedMs + 2,
    );
    expect(isBlocked(fixture, ['bad'], endedMs + 1 + 2 * blockedMs)).to.equal(
      true,
    );
  });

  it('lifts a verdict with a complete response', () => {
    const fixture = createQuarantineFixture();
    convict(fixture, ['wrong']);
    fixture.quarantine.recordAnswer(upstream('live'), segments('wrong'), 4_000);
    expect(isBlocked(fixture, ['wrong'], 4_000)).to.equal(false);
    expect(fixture.cleared).to.deep.equal(segments('wrong'));
  });

  it('ignores reports of peers about the time before a complete response', () => {
    const peer = createQuarantineFixture();
    const fixture = createQuarantineFixture();
    convict(peer, ['wrong']);
    fixture.quarantine.recordAnswer(upstream('live'), segments('wrong'), 3_500);
    exchangeReport(peer, [fixture], 4_000);
    expect(isBlocked(fixture, ['wrong'], 4_000)).to.equal(false);
    // The peer learns of the response and lifts its verdict.
    exchangeReport(fixture, [peer], 4_010);
    expect(isBlocked(peer, ['wrong'], 4_010)).to.equal(false);
  });

  it('lets instances that hear of crashes only from peers reach the same verdict', () => {
    const fixtures = [1, 2, 3, 4].map(seed =>
      createQuarantineFixture({}, seed),
    );
    for (const [index, fixture] of fixtures.slice(0, 3).entries()) {
      const atMs = 1_000 * (index + 1);
      fixture.quarantine.recordCrash(
        crash(`up-${index}`, atMs, [`r-${index}`, 'shared', 'bad']),
        atMs,
      );
      exchangeReport(fixture, fixtures, atMs + 20);
    }
    for (const fixture of fixtures) {
      expect(isBlocked(fixture, ['bad'], 3_100)).to.equal(true);
      expect(isBlocked(fixture, ['shared'], 3_100)).to.equal(false);
    }
  });

  // Guards against blaming a shared segment whose answers only peers have seen,
  // while the requests that crashed the upstreams waited at other instances.
  it('waits for what peers know of the crashes and of answered segments', () => {
    const settleMs = 200;
    const fixtures = [1, 2].map(seed =>
      createQuarantineFixture({settleMs}, seed),
    );
    const [first, second] = fixtures as [QuarantineFixture, QuarantineFixture];
    second.quarantine.recordAnswer(upstream('live'), segments('sound'), 500);
    for (const [index, atMs] of [1_000, 2_000, 3_000, 4_000].entries()) {
      first.quarantine.recordCrash(
        crash(`up-${index}`, atMs, [`sound-${index}`, 'sound']),
        atMs,
      );
      expect(isBlocked(first, ['sound'], atMs)).to.equal(false);
      second.quarantine.recordCrash(
        crash(
          `up-${index}`,
          atMs,
          [`bad-${index}`, 'bad'],
          [`bad-too-${index}`, 'bad'],
        ),
        atMs,
      );
      for (const delayMs of [10, 20, settleMs + 10]) {
        exchangeReport(second, [first], atMs + delayMs);
        exchangeReport(first, [second], atMs + delayMs);
      }
      for (const fixture of fixtures) {
        expect(isBlocked(fixture, ['bad'], atMs + 500)).to.equal(index >= 2);
        expect(isBlocked(fixture, ['sound'], atMs + 500)).to.equal(false);
      }
    }
  });

  it('tells an instance that starts later of a verdict with its remaining time', () => {
    const fixtures = [1, 2, 3].map(seed => createQuarantineFixture({}, seed));
    const [first, second, third] = fixtures as [
      QuarantineFixture,
      QuarantineFixture,
      QuarantineFixture,
    ];
    convict(first, ['bad']);
    const endMs =
      3_000 + (first.quarantine.blockedMs(segments('bad'), 3_000) ?? 0);
    const {blockedMs, jitterShare} = defaultQuarantineLimits;
    const latestEndMs = endMs + jitterShare * blockedMs;
    for (let atMs = 4_000; atMs < latestEndMs + 5_000; atMs += 500) {
      exchangeReport(first, [second], atMs);
      exchangeReport(second, [third], atMs + 100);
      exchangeReport(third, [first, second], atMs + 200);
      if (atMs < 3_000 + 2 * defaultQuarantineLimits.verdictRepeatMs) continue;
      const isOver = atMs + 200 >= endMs;
      expect(isBlocked(first, ['bad'], atMs + 200)).to.equal(!isOver);
      const isBlockedThere =
        third.quarantine.blockedMs(segments('bad'), atMs + 200) !== undefined;
      if (!isOver) expect(isBlockedThere).to.equal(true);
      if (atMs + 200 >= latestEndMs) expect(isBlockedThere).to.equal(false);
    }
  });

  it('bounds what a report of a peer adds', () => {
    const fixture = createQuarantineFixture();
    const report: QuarantineReport = {
      crashes: [],
      clearings: [],
      verdicts: Array.from({length: 10_000}, (_, index) => ({
        segment: segmentHashOf(`forged-${index}`),
        ageMs: 0,
        evidenceAgeMs: 0,
        remainingMs: Number.MAX_SAFE_INTEGER,
      })),
    };
    fixture.quarantine.receive(report, 1_000);
    expect(fixture.quarantine.blockedCount(1_000)).to.equal(
      defaultQuarantineLimits.maxReportItemCount,
    );
    expect(fixture.quarantine.blockedMs(segments('forged-0'), 1_000)).to.equal(
      defaultQuarantineLimits.maxBlockedMs,
    );
  });

  it('ignores ages that are not numbers of the evidence window', () => {
    const fixture = createQuarantineFixture();
    for (const ageMs of [NaN, -1, Infinity]) {
      fixture.quarantine.receive(
        {
          crashes: ['p', 'q', 'r'].map(id => ({
            upstream: upstream(id),
            ageMs,
            requests: [{request: requestHashOf(id), segments: segments('x')}],
          })),
          verdicts: [
            {
              segment: segmentHashOf('x'),
              ageMs,
              evidenceAgeMs: ageMs,
              remainingMs: NaN,
            },
          ],
          clearings: [{segment: segmentHashOf('x'), ageMs}],
        },
        1_000,
      );
    }
    expect(fixture.quarantine.blockedCount(1_000)).to.equal(0);
  });

  it('keeps a verdict while 100,000 distinct prompts are answered and crash', () => {
    const fixture = createQuarantineFixture();
    convict(fixture, ['bad']);
    for (let index = 0; index < 100_000; index += 1) {
      const prompt = ['shared', `part-${index}`];
      const nowMs = 4_000 + index / 10;
      if (index % 100 === 0) {
        fixture.quarantine.recordCrash(
          crash(`other-${index}`, nowMs, [`r-${index}`, ...prompt]),
          nowMs,
        );
      }
      fixture.quarantine.recordAnswer(
        upstream(`live-${index}`),
        segments(...prompt),
        nowMs,
      );
    }
    expect(isBlocked(fixture, ['bad'], 14_000)).to.equal(true);
    expect(fixture.convictions).to.have.length(1);
  });

  it('keeps a bounded number of segments of prompts with hundreds of parts', () => {
    const limits = {maxSegmentsPerCrashCount: 1_000, maxCrashCount: 8};
    const fixture = createQuarantineFixture(limits);
    const {maxRequestsPerCrashCount} = defaultQuarantineLimits;
    for (let index = 0; index < 40; index += 1) {
      const atMs = 1_000 * (index + 1);
      const requests = Array.from(
        {length: maxRequestsPerCrashCount},
        (_, place): readonly [string, ...string[]] => [
          `r-${index}-${place}`,
          'bad',
          ...Array.from(
            {length: 300},
            (_unused, part) => `part-${index}-${place}-${part}`,
          ),
        ],
      );
      fixture.quarantine.recordCrash(
        crash(`up-${index}`, atMs, ...requests),
        atMs,
      );
    }
    const report = fixture.quarantine.takeReport(40_100);
    expect(report?.crashes.length).to.be.at.most(limits.maxCrashCount);
    for (const {requests} of report?.crashes ?? []) {
      const count = requests.reduce((sum, r) => sum + r.segments.length, 0);
      expect(count).to.be.at.most(limits.maxSegmentsPerCrashCount);
    }
    expect(isBlocked(fixture, ['bad'], 40_100)).to.equal(true);
    expect(fixture.convictions).to.have.length(1);
  });

  it('never blocks a segment with a complete response since the first crash behind it', () => {
    const event = fc.record({
      kind: fc.constantFrom('crash' as const, 'answer' as const),
      instance: fc.nat(2),
      waitMs: fc.nat(2_000),
      parts: fc.uniqueArray(fc.constantFrom('p', 'q', 'r', 's'), {
        minLength: 1,
      }),
    });
    fc.assert(
      fc.property(fc.array(event, {maxLength: 60}), events => {
        const fixtures = [1, 2, 3].map(seed =>
          createQuarantineFixture({}, seed),
        );
        let nowMs = 0;
        for (const [
          index,
          {instance, kind, parts, waitMs},
        ] of events.entries()) {
          nowMs += waitMs;
          const fixture = fixtures[instance] as QuarantineFixture;
          if (kind === 'crash') {
            fixture.quarantine.recordCrash(
              crash(`up-${index}`, nowMs, [`r-${index}`, ...parts]),
              nowMs,
            );
          } else {
            fixture.quarantine.recordAnswer(
              upstream('live'),
              segments(...parts),
              nowMs,
            );
            for (const part of parts) {
              expect(isBlocked(fixture, [part], nowMs)).to.equal(false);
            }
          }
          for (const other of fixtures) exchangeReport(other, fixtures, nowMs);
          // A first event at one instance lifts the verdict at all of them.
          if (kind === 'answer') {
            for (const other of fixtures) {
              expect(
                parts.some(part => isBlocked(other, [part], nowMs)),
              ).to.equal(false);
            }
          }
        }
      }),
      {seed: 11, numRuns: 300},
    );
  });

  it('stops a crashing segment within five crashes beside sound requests', () => {
    const step = fc.record({
      waitMs: fc.integer({min: 400, max: 5_000}),
      sound: fc.array(fc.constantFrom('g1', 'g2', 'g3'), {maxLength: 4}),
      answered: fc.boolean(),
    });
    fc.assert(
      fc.property(
        fc.array(step, {minLength: 12, maxLength: 20}),
        fc.boolean(),
        (steps, badFirst) => {
          const fixture = createQuarantineFixture();
          let nowMs = 10_000;
          let crashCount = 0;
          fixture.quarantine.recordAnswer(
            upstream('live'),
            segments('class', 'g1', 'g2', 'g3'),
            0,
          );
          for (const [index, {answered, sound, waitMs}] of steps.entries()) {
            nowMs += waitMs;
            if (answered) {
              fixture.quarantine.recordAnswer(
                upstream('live'),
                segments('class', 'g1', 'g2', 'g3'),
                nowMs - 1,
              );
            }
            const bad = badFirst ? ['bad', 'class'] : ['class', 'bad'];
            if (!isBlocked(fixture, bad, nowMs)) {
              crashCount += 1;
              fixture.quarantine.recordCrash(
                crash(
                  `up-${index}`,
                  nowMs,
                  [`bad-${index}`, bad[0] as string, bad[1] as string],
                  ...sound.map(
                    (part, place) =>
                      [`sound-${index}-${place}`, 'class', part] as const,
                  ),
                ),
                nowMs,
              );
            }
            for (const part of ['g1', 'g2', 'g3']) {
              expect(isBlocked(fixture, ['class', part], nowMs)).to.equal(
                false,
              );
            }
          }
          expect(crashCount).to.equal(3);
        },
      ),
      {seed: 12, numRuns: 300},
    );
  });
});
