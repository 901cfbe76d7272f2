import type {UpstreamId} from '@toucanrouter/common';
import {toUpstreamId} from '@toucanrouter/common';
import {expect} from 'chai';
import fc from 'fast-check';
import type {UpstreamProcess} from '../../index.js';
import {createUpstreamPauses} from '../../index.js';

const runCount = 2_000;

function createProcess(
  id: string,
  start: number | undefined = 1,
): UpstreamProcess {
  return {id: toUpstreamId(id), start};
}

const requestStep = fc.record({
  kind: fc.constant('request' as const),
  upstream: fc.nat(2),
  durationMs: fc.constantFrom(0, 1, 300, 2_500, 30_000),
});
const restartStep = fc.record({
  kind: fc.constant('restart' as const),
  upstream: fc.nat(2),
});
const waitStep = fc.record({
  kind: fc.constant('wait' as const),
  ms: fc.constantFrom(1, 299, 300, 2_500, 60_000),
});
const steps = fc.array(fc.oneof(requestStep, restartStep, waitStep), {
  maxLength: 60,
});

describe('UpstreamPauses', () => {
  it('holds until the stated time has passed, and no longer', () => {
    const pauses = createUpstreamPauses();
    const upstream = createProcess('a');
    expect(pauses.request(upstream, 3_000, 100)).to.equal('began');
    expect(pauses.isPaused(upstream, 3_099)).to.equal(true);
    expect(pauses.remainingMs(upstream, 600)).to.equal(2_500);
    expect(pauses.isPaused(upstream, 3_100)).to.equal(false);
  });

  it('is not shortened by a later, shorter request', () => {
    const pauses = createUpstreamPauses();
    const upstream = createProcess('a');
    pauses.request(upstream, 3_000, 0);
    expect(pauses.request(upstream, 1_000, 500)).to.equal('unchanged');
    expect(pauses.request(upstream, 3_000, 500)).to.equal('extended');
    expect(pauses.remainingMs(upstream, 500)).to.equal(3_000);
  });

  it('does not hold for a new process, nor for other upstreams', () => {
    const pauses = createUpstreamPauses();
    pauses.request(createProcess('a', 1), 3_000, 0);
    expect(pauses.isPaused(createProcess('a', 2), 1)).to.equal(false);
    expect(pauses.isPaused(createProcess('b', 1), 1)).to.equal(false);
    expect(pauses.isPaused(createProcess('a', 1), 1)).to.equal(true);
  });

  it('keeps the pause of a new process when an earlier one answers late', () => {
    const pauses = createUpstreamPauses();
    pauses.request(createProcess('a', 2), 3_000, 0);
    pauses.request(createProcess('a', 1), 100, 1);
    expect(pauses.isPaused(createProcess('a', 2), 200)).to.equal(true);
    expect(pauses.paused(200)).to.deep.equal([createProcess('a', 2)]);
  });

  it('knows processes that do not report their start', () => {
    const pauses = createUpstreamPauses();
    const upstream: UpstreamProcess = {
      id: toUpstreamId('a'),
      start: undefined,
    };
    pauses.request(upstream, 3_000, 0);
    expect(pauses.isPaused(upstream, 1)).to.equal(true);
    expect(pauses.isPaused(createProcess('a', 1), 1)).to.equal(false);
  });

  // Guards against a choice within a pause, and against an upstream that stays
  // excluded after its pause or its process has ended.
  it('holds exactly while the running process wants no request', () => {
    fc.assert(
      fc.property(steps, played => {
        const pauses = createUpstreamPauses();
        const starts = [1, 1, 1];
        const endsMs = new Map<UpstreamId, number>();
        const processOf = (index: number) =>
          createProcess(String(index), starts[index]);
        let nowMs = 0;
        for (const step of played) {
          if (step.kind === 'wait') nowMs += step.ms;
          else if (step.kind === 'restart') {
            starts[step.upstream] = (starts[step.upstream] ?? 0) + 1;
            endsMs.delete(processOf(step.upstream).id);
          } else {
            const upstream = processOf(step.upstream);
            pauses.request(upstream, step.durationMs, nowMs);
            const knownMs = endsMs.get(upstream.id) ?? 0;
            endsMs.set(upstream.id, Math.max(knownMs, nowMs + step.durationMs));
          }
          for (const index of starts.keys()) {
            const upstream = processOf(index);
            const isExpected = (endsMs.get(upstream.id) ?? 0) > nowMs;
            expect(pauses.isPaused(upstream, nowMs)).to.equal(isExpected);
          }
        }
      }),
      {numRuns: runCount, seed: 32},
    );
  });
});
