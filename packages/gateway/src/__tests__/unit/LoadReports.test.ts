import {
  createManualClock,
  toInstanceId,
  toUpstreamId,
} from '@toucanrouter/common';
import {expect} from 'chai';
import type {LoadReport} from '../../peers/LoadReports.js';
import {
  createPeerLoads,
  decodeReport,
  encodeReport,
  reportLifetimeMs,
} from '../../peers/LoadReports.js';

const engine = toUpstreamId('engine');

function createReport(changes: Partial<LoadReport> = {}): LoadReport {
  return {
    instanceId: toInstanceId('one'),
    startedAtMs: 1,
    sequence: 1,
    work: {long_prompt: 3, short_prompt: 2, generation: 1},
    loads: [{upstreamId: engine, running: 4, waitingPromptTokens: 100}],
    ...changes,
  };
}

describe('LoadReports', () => {
  it('survive their encoding', () => {
    const report = createReport();
    expect(decodeReport(encodeReport(report))).to.deep.equal(report);
  });

  it('are not decoded from other datagrams', () => {
    for (const text of ['', '[]', '{}', '["one",1,1,0,0,"x",[]]', '\u0000']) {
      expect(decodeReport(Buffer.from(text))).to.equal(undefined);
    }
  });

  it('of several instances add up', () => {
    const loads = createPeerLoads(createManualClock());
    loads.receive(createReport());
    loads.receive(createReport({instanceId: toInstanceId('two')}));
    expect(loads.at(engine).running).to.equal(8);
    expect(loads.work().long_prompt).to.equal(6);
  });

  it('do not count after an instance fell silent', () => {
    const clock = createManualClock();
    const loads = createPeerLoads(clock);
    loads.receive(createReport());
    clock.advance(reportLifetimeMs + 1);
    expect(loads.at(engine).running).to.equal(0);
    expect(loads.count()).to.equal(0);
  });

  it('that were overtaken are ignored, those of a new start are not', () => {
    const loads = createPeerLoads(createManualClock());
    loads.receive(createReport({sequence: 5}));
    loads.receive(createReport({sequence: 4, loads: []}));
    expect(loads.at(engine).running).to.equal(4);
    loads.receive(createReport({startedAtMs: 2, sequence: 1, loads: []}));
    expect(loads.at(engine).running).to.equal(0);
  });
});
