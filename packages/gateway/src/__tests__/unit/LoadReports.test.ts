import {createManualClock, toUpstreamId} from '@toucanrouter/common';
import {expect} from 'chai';
import {decodeReport, encodeReport} from '../../peers/LoadReportCodec.js';
import type {LoadReport} from '../../peers/LoadReports.js';
import {
  createPeerLoadTable,
  reportIntervalMs,
  reportLifetimeMs,
} from '../../peers/LoadReports.js';
import type {ShortId} from '../../peers/ShortIds.js';
import {
  prefixHashOf,
  serviceShortIdOf,
  shortIdOf,
  upstreamShortIdOf,
} from '../../peers/ShortIds.js';
import {service} from './GatewayFixtures.js';

const engine = toUpstreamId('engine');

function createReport(changes: Partial<LoadReport> = {}): LoadReport {
  return {
    instanceId: shortIdOf('one'),
    startedAtMs: 1,
    sequence: 1,
    inFlight: {interactive: 1, prompt: 3},
    offered: {interactive: 0.25, prompt: 1.5},
    poolSizes: {interactive: 20, prompt: 43},
    loads: [
      {
        upstream: upstreamShortIdOf(engine),
        running: 4,
        waitingPromptTokens: 1_024,
        failed: 2,
        served: 7,
      },
    ],
    estimates: [
      {
        service: serviceShortIdOf(service),
        baseMs: 62.5,
        prefillMsPerToken: 0.025,
        observations: 40,
      },
    ],
    sentPrefixes: [
      {prefix: prefixHashOf('draft'), upstream: upstreamShortIdOf(engine)},
    ],
    ...changes,
  };
}

describe('LoadReports', () => {
  it('are equal after encoding and decoding', () => {
    const report = createReport();
    expect(decodeReport(encodeReport(report))).to.deep.equal(report);
  });

  it('of the previous build are decoded without the fields that they lack', () => {
    const previous = Buffer.from(
      '06000000010000000000000000000000070003000100100005abcd04022700',
      'hex',
    ).subarray(0, 30);
    const report = decodeReport(previous);
    expect(report?.sequence).to.equal(7);
    expect(report?.inFlight).to.deep.equal({prompt: 3, interactive: 1});
    expect(report?.loads).to.deep.equal([
      {
        upstream: 0xabcd,
        running: 4,
        waitingPromptTokens: 1_024,
        failed: 2,
        served: 7,
      },
    ]);
    expect(report?.sentPrefixes).to.deep.equal([]);
    expect(report?.estimates).to.deep.equal([]);
  });

  it('share what instances learned about a service until a report changes', () => {
    const loads = createPeerLoadTable(createManualClock());
    loads.receive(createReport());
    loads.receive(createReport({instanceId: shortIdOf('two')}));
    const estimates = loads.estimatesOf(service);
    expect(estimates).to.have.length(2);
    expect(estimates[0]?.baseMs).to.equal(62.5);
    expect(loads.estimatesOf(service)).to.equal(estimates);
    loads.receive(createReport({sequence: 2, estimates: []}));
    expect(loads.estimatesOf(service)).to.have.length(1);
  });

  it('keep the failure ratio when the counts exceed the encoding', () => {
    const [load] = createReport().loads;
    const loads = [{...load!, failed: 60, served: 30}];
    const decoded = decodeReport(encodeReport(createReport({loads})));
    expect(decoded?.loads[0]?.failed).to.equal(15);
    expect(decoded?.loads[0]?.served).to.be.within(7, 8);
  });

  it('are not decoded from invalid datagrams', () => {
    const report = encodeReport(createReport());
    const otherDatagrams = [
      Buffer.alloc(0),
      Buffer.from('a text that is no report, but is long enough'),
      report.subarray(0, report.length - 1),
      Buffer.concat([report, Buffer.alloc(1)]),
    ];
    for (const datagram of otherDatagrams) {
      expect(decodeReport(datagram)).to.equal(undefined);
    }
  });

  it('of several instances add up', () => {
    const loads = createPeerLoadTable(createManualClock());
    loads.receive(createReport());
    loads.receive(createReport({instanceId: shortIdOf('two')}));
    expect(loads.loadAt(engine).running).to.equal(8);
    expect(loads.loadAt(engine).failed).to.equal(4);
    expect(loads.loadAt(engine).served).to.equal(14);
    expect(loads.inFlight().prompt).to.equal(6);
    expect(loads.offered().prompt).to.equal(3);
  });

  it('provide the pool sizes of one leader for all instances', () => {
    const ids = ['one', 'two', 'three'].map(shortIdOf).sort((a, b) => a - b);
    const [leader, follower, last] = ids as [ShortId, ShortId, ShortId];
    const clock = createManualClock();
    const loads = createPeerLoadTable(clock);
    const poolSizes = {interactive: 9, prompt: 3};
    expect(loads.leaderPoolSizes(follower)).to.equal(undefined);
    loads.receive(createReport({instanceId: last}));
    expect(loads.leaderPoolSizes(follower)).to.equal(undefined);
    loads.receive(createReport({instanceId: leader, poolSizes}));
    expect(loads.leaderPoolSizes(follower)).to.deep.equal(poolSizes);
    clock.advance(reportLifetimeMs(1) + 1);
    expect(loads.leaderPoolSizes(follower)).to.equal(undefined);
  });

  it('expire when an instance sends no more of them', () => {
    const clock = createManualClock();
    const loads = createPeerLoadTable(clock);
    loads.receive(createReport());
    clock.advance(reportLifetimeMs(1) + 1);
    expect(loads.loadAt(engine).running).to.equal(0);
    expect(loads.peerCount()).to.equal(0);
  });

  it('of a large fleet stay valid until the next ones are due', () => {
    // Load: 300 instances report every 3 s. With a lifetime of 1.5 s, an
    // instance had no reports of its peers half of the time.
    const clock = createManualClock();
    const loads = createPeerLoadTable(clock);
    for (let index = 0; index < 300; index++) {
      loads.receive(createReport({instanceId: shortIdOf(`instance ${index}`)}));
    }
    clock.advance(reportIntervalMs(300));
    expect(loads.peerCount()).to.equal(300);
    clock.advance(reportIntervalMs(300) * 3);
    expect(loads.peerCount()).to.equal(0);
  });

  it('that arrive out of order are ignored, but not those of a restarted instance', () => {
    const loads = createPeerLoadTable(createManualClock());
    loads.receive(createReport({sequence: 5}));
    loads.receive(createReport({sequence: 4, loads: []}));
    expect(loads.loadAt(engine).running).to.equal(4);
    loads.receive(createReport({startedAtMs: 2, sequence: 1, loads: []}));
    expect(loads.loadAt(engine).running).to.equal(0);
  });
});
