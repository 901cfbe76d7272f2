import type {ManualClock} from '@toucanrouter/common';
import {
  createManualClock,
  createSeededRandom,
  toClassId,
  toInstanceId,
  toWorkspaceId,
} from '@toucanrouter/common';
import {expect} from 'chai';
import type {ServiceLevelObservation} from '../../index.js';
import {
  createServiceLevelRecorder,
  mergeSnapshots,
  toBurnReport,
} from '../../index.js';

const minuteMs = 60_000;
const startWallMs = 1_700_000_040_000;

function createRecorder(clock: ManualClock, name = 'r1', maxWorkspaces = 10) {
  const instanceId = toInstanceId(name);
  return createServiceLevelRecorder({clock, instanceId, maxWorkspaces});
}

function observation(
  fields: Partial<ServiceLevelObservation> = {},
): ServiceLevelObservation {
  return {
    serviceClass: {
      id: toClassId('quick'),
      tier: 1,
      target: {firstTokenMs: 400},
    },
    workspaceId: toWorkspaceId('w1'),
    outcome: 'completed',
    firstTokenMs: 100,
    totalMs: 1000,
    ...fields,
  };
}

function countRequests(observations: readonly ServiceLevelObservation[]) {
  const recorder = createRecorder(createManualClock(startWallMs));
  observations.forEach(recorder.record);
  const [burn] = toBurnReport(recorder.snapshot()).classes;
  return {requests: burn?.requests, bad: burn?.bad};
}

describe('createServiceLevelRecorder', () => {
  it('counts refused, failed and late requests as bad, so that load shedding does not look like success', () => {
    const counts = countRequests([
      observation(),
      observation({outcome: 'refused', firstTokenMs: undefined}),
      observation({outcome: 'failed'}),
      observation({firstTokenMs: 401}),
    ]);
    expect(counts).to.deep.equal({requests: 4, bad: 3});
  });

  it('counts a response without a first token by its total time', () => {
    const counts = countRequests([
      observation({firstTokenMs: undefined, totalMs: 300}),
      observation({firstTokenMs: undefined, totalMs: 500}),
    ]);
    expect(counts).to.deep.equal({requests: 2, bad: 1});
  });

  it('ignores requests canceled within the target, but counts those canceled after it as bad', () => {
    const counts = countRequests([
      observation(),
      observation({outcome: 'canceled', firstTokenMs: undefined, totalMs: 300}),
      observation({outcome: 'canceled', firstTokenMs: undefined, totalMs: 500}),
    ]);
    expect(counts).to.deep.equal({requests: 2, bad: 1});
  });

  it('limits the number of workspace labels, so that many workspaces cannot exhaust memory', () => {
    const recorder = createRecorder(createManualClock(startWallMs), 'r1', 2);
    for (let n = 0; n < 50; n++) {
      recorder.record(observation({workspaceId: toWorkspaceId(`w${n}`)}));
    }
    const labels = recorder
      .snapshot()
      .classes[0]?.workspaces.map(({workspaceId}) => workspaceId);
    expect(labels).to.deep.equal(['w0', 'w1', '(other)']);
  });

  it('includes only the workspaces with most misses, so that a snapshot stays small', () => {
    const recorder = createRecorder(createManualClock(startWallMs), 'r1', 2000);
    for (let n = 0; n < 1300; n++) {
      const workspaceId = toWorkspaceId(`w${n}`);
      const outcome = n === 1200 ? 'failed' : 'completed';
      recorder.record(observation({workspaceId, outcome}));
    }
    const snapshot = recorder.snapshot();
    expect(snapshot.classes[0]?.workspaces).to.have.length(50);
    const [burn] = toBurnReport(snapshot).classes;
    expect(burn?.worstWorkspace?.workspaceId).to.equal('w1200');
    expect(burn?.requests).to.equal(1300);
    expect(burn?.total.count).to.equal(1299);
  });

  it('drops counts older than the budget period', () => {
    const clock = createManualClock(startWallMs);
    const recorder = createRecorder(clock);
    recorder.record(observation({outcome: 'failed'}));
    clock.advance(25 * 60 * minuteMs);
    recorder.record(observation());
    const [burn] = toBurnReport(recorder.snapshot()).classes;
    expect(burn).to.deep.include({requests: 1, bad: 0});
  });
});

describe('mergeSnapshots', () => {
  it('gives the same report as a single recorder of all requests, unlike averaged quantiles', () => {
    const random = createSeededRandom(7);
    const clock = createManualClock(startWallMs);
    const whole = createRecorder(clock);
    const parts = ['a', 'b', 'c'].map(name => createRecorder(clock, name));
    for (let n = 0; n < 3000; n++) {
      const firstTokenMs = Math.exp(random.next() * 9);
      const seen = observation({
        firstTokenMs,
        totalMs: 2 * firstTokenMs,
        workspaceId: toWorkspaceId(`w${n % 4}`),
      });
      whole.record(seen);
      parts[firstTokenMs < 1000 ? 0 : 1 + (n % 2)]?.record(seen);
      clock.advance(100);
    }
    const merged = mergeSnapshots(parts.map(part => part.snapshot()));
    const throughJson = JSON.parse(JSON.stringify(merged)) as typeof merged;
    expect(toBurnReport(throughJson).classes).to.deep.equal(
      JSON.parse(JSON.stringify(toBurnReport(whole.snapshot()).classes)),
    );
  });

  it('counts an instance once when it responds twice', () => {
    const clock = createManualClock(startWallMs);
    const recorder = createRecorder(clock);
    recorder.record(observation());
    const first = recorder.snapshot();
    clock.advance(minuteMs);
    recorder.record(observation());
    const merged = mergeSnapshots([first, recorder.snapshot()]);
    expect(merged.sources).to.have.length(1);
    expect(toBurnReport(merged).classes[0]?.requests).to.equal(2);
  });
});

describe('toBurnReport', () => {
  function recordFor(minutes: number, badEvery: number) {
    const clock = createManualClock(startWallMs);
    const recorder = createRecorder(clock);
    for (let n = 0; n < minutes * 100; n++) {
      const outcome = n % badEvery === 0 ? 'failed' : 'completed';
      recorder.record(observation({outcome}));
      clock.advance(minuteMs / 100);
    }
    return toBurnReport(recorder.snapshot()).classes[0];
  }

  it('reports a burn rate of 1 when exactly the allowed share of requests is bad', () => {
    const burn = recordFor(120, 100);
    expect(burn?.longBurnRate).to.be.closeTo(1, 0.02);
    expect(burn?.budgetRemaining).to.be.closeTo(1 - 2 / 24, 0.001);
    expect(burn?.alarm).to.equal('none');
  });

  it('raises an alarm and reports the time to exhaustion on a fast burn', () => {
    const burn = recordFor(60, 10);
    expect(burn?.alarm).to.equal('page');
    expect(burn?.longBurnRate).to.be.closeTo(10, 0.2);
    const hours = (burn?.exhaustedInMs ?? 0) / 3_600_000;
    expect(hours).to.be.closeTo((24 * (1 - 10 / 24)) / 10, 0.05);
  });

  it('clears the alarm once the short window has no more misses', () => {
    const clock = createManualClock(startWallMs);
    const recorder = createRecorder(clock);
    recorder.record(observation({outcome: 'failed'}));
    clock.advance(10 * minuteMs);
    recorder.record(observation());
    const [burn] = toBurnReport(recorder.snapshot()).classes;
    expect(burn?.longBurnRate).to.be.closeTo(50, 0.1);
    expect(burn?.alarm).to.equal('none');
  });

  it('reports the workspace with the highest burn rate', () => {
    const recorder = createRecorder(createManualClock(startWallMs));
    recorder.record(observation());
    recorder.record(observation({workspaceId: toWorkspaceId('w2')}));
    recorder.record(
      observation({workspaceId: toWorkspaceId('w2'), outcome: 'refused'}),
    );
    const [burn] = toBurnReport(recorder.snapshot()).classes;
    expect(burn?.worstWorkspace).to.deep.include({
      workspaceId: 'w2',
      requests: 2,
      bad: 1,
    });
  });

  it('keeps quantiles within 5% of the true value', () => {
    const recorder = createRecorder(createManualClock(startWallMs));
    for (let totalMs = 1; totalMs <= 1000; totalMs++) {
      recorder.record(observation({totalMs}));
    }
    const total = toBurnReport(recorder.snapshot()).classes[0]?.total;
    expect(total?.p99Ms).to.be.within(990, 990 * 1.05);
    expect(total?.p50Ms).to.be.within(500, 500 * 1.05);
  });

  it('returns an empty report for a fleet without requests', () => {
    const recorder = createRecorder(createManualClock(startWallMs));
    expect(toBurnReport(recorder.snapshot()).classes).to.deep.equal([]);
  });
});
