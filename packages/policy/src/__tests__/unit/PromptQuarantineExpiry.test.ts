import {expect} from 'chai';
import {
  crash,
  createQuarantineFixture,
  exchangeReport,
  segments,
} from './QuarantineFixtures.js';

const instanceCount = 8;
const maxRequestsAfterVerdict = 3;
/** Time from a request to the crash that it causes. */
const crashDelayMs = 500;

describe('the end of a verdict', () => {
  // Guards against all instances sending a probe at the same moment.
  it('lets few requests pass in all instances together', () => {
    const fixtures = Array.from({length: instanceCount}, (_, index) =>
      createQuarantineFixture({}, index + 1),
    );
    const [first] = fixtures;
    if (first === undefined) throw new Error('no instance');
    for (const [index, request] of ['a', 'b', 'c'].entries()) {
      const atMs = 1_000 + index * 1_000;
      first.quarantine.recordCrash(
        crash(`up-${index}`, atMs, [request, 'bad']),
        atMs,
      );
      exchangeReport(
        first,
        fixtures.filter(other => other !== first),
        atMs + 10,
      );
    }
    let passed = 0;
    const pendingCrashes: {atMs: number; index: number}[] = [];
    for (let nowMs = 3_100; nowMs < 200_000; nowMs += 50) {
      for (const pending of pendingCrashes.splice(0)) {
        if (pending.atMs > nowMs) {
          pendingCrashes.push(pending);
          continue;
        }
        fixtures[pending.index]?.quarantine.recordCrash(
          crash(`late-${pending.index}-${nowMs}`, nowMs, [`p${nowMs}`, 'bad']),
          nowMs,
        );
      }
      for (const from of fixtures) {
        exchangeReport(
          from,
          fixtures.filter(other => other !== from),
          nowMs,
        );
      }
      fixtures.forEach(({quarantine}, index) => {
        const blocked = quarantine.tryPass(segments('bad'), nowMs);
        if (blocked !== undefined) return;
        passed += 1;
        pendingCrashes.push({atMs: nowMs + crashDelayMs, index});
      });
      if (nowMs > 100_000 && passed > 0) break;
    }
    expect(passed).to.be.at.most(maxRequestsAfterVerdict);
  });
});
