import {
  createManualClock,
  toClassId,
  toInstanceId,
  toWorkspaceId,
} from '@toucanrouter/common';
import {expect} from 'chai';
import {
  createServiceLevelRecorder,
  renderBurnPage,
  renderBurnTable,
  renderClassesTable,
  toBurnReport,
} from '../../index.js';

const startWallMs = 1_764_800_040_000;

function createReport(className = 'quick') {
  const clock = createManualClock(startWallMs);
  const instanceId = toInstanceId('router-1');
  const recorder = createServiceLevelRecorder({clock, instanceId});
  for (let n = 0; n < 10_000; n++) {
    recorder.record({
      serviceClass: {
        id: toClassId(className),
        tier: 1,
        target: {firstTokenMs: 400, totalMs: 3000},
      },
      workspaceId: toWorkspaceId(`w${n % 3}`),
      outcome: 'completed',
      firstTokenMs: 200,
      totalMs: n === 9 ? 9000 : 1000,
    });
    clock.advance(60);
  }
  return toBurnReport(recorder.snapshot());
}

const unanswered = [toInstanceId('router-2')];

describe('renderBurnTable', () => {
  it('shows a single miss, which rounding could hide, and instances that did not respond', () => {
    const lines = renderBurnTable(createReport(), unanswered).split('\n');
    expect(lines).to.deep.equal([
      'Error budget at 2025-12-03T22:24:00Z: 99.00% of requests within target over 24h',
      '',
      'CLASS  PRIORITY  REQUESTS  MISSED  WITHIN TARGET  BURN 5m  BURN 1h  BUDGET LEFT  EXHAUSTED IN  ALARM  WORST WORKSPACE',
      'quick         1     10000       1         99.99%     0.0x     0.0x       99.99%         never  none   w0 (0.0x, 1 of 3334)',
      '',
      'Counted since: router-1 2025-12-03T22:14:00Z',
      'Counts missing (no response): router-2',
      '',
    ]);
  });
});

describe('renderClassesTable', () => {
  it('shows the target and the latencies of a class in one row', () => {
    const lines = renderClassesTable(createReport()).split('\n');
    expect(lines[3]).to.match(
      /^quick +1 +first token 400ms, total 3s +99\.99% +\d+ms \/ .* +- +1s \/ 1s \/ 1s$/,
    );
  });
});

describe('renderBurnPage', () => {
  it('has no external references, so that the page opens and prints offline', () => {
    const page = renderBurnPage(createReport(), unanswered);
    expect(page).to.not.match(/src=|href=|url\(|@import|<script/);
    expect(page.match(/<svg /g)).to.have.length(2);
    expect(page).to.contain('@media print');
    expect(page).to.contain('Counts missing, no response: router-2.');
    expect(page).to.not.contain('NaN');
  });

  it('escapes names, so that a class name cannot inject markup', () => {
    const page = renderBurnPage(createReport('<b>"x"&'));
    expect(page).to.not.contain('<b>');
    expect(page).to.contain('&lt;b&gt;&quot;x&quot;&amp;');
  });
});
