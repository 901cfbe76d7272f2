import {expect} from 'chai';
import {
  derivePartition,
  derivePlatform,
  deriveReplacement,
} from '../../slopes/CapacityEvents.js';
import type {FindFit} from '../../slopes/CapacityModel.js';
import {deriveCapacity, totalControl} from '../../slopes/CapacityModel.js';
import type {CapacityScale} from '../../slopes/CapacityScale.js';
import {deriveRates, designScale} from '../../slopes/CapacityScale.js';
import {createFindFit, formatCapacity} from '../../slopes/CapacityTable.js';
import type {LineFit} from '../../slopes/Fit.js';
import {fitSeries} from '../../slopes/Series.js';
import {formatNumber} from '../../slopes/SeriesTable.js';

const smallScale: CapacityScale = {
  nodes: 10,
  engines: 20,
  models: 2,
  regions: 2,
  workspaces: 10,
  requestsPerSecond: 100,
  tokensPerSecond: 10_100,
  firstTokenMs: 500,
  tokenGapMs: 15,
  configChangesPerDay: 86_400,
  instanceTerminationsPerDay: 20,
  nonIdempotentShare: 0.04,
  claimShards: 2,
  claimRetentionSeconds: 100,
  listPollsPerSecond: 1,
};

/** Returns the given fits by key, and a line of zero cost for other keys. */
function findIn(fits: Readonly<Record<string, Partial<LineFit>>>): FindFit {
  const none = {slope: 0, intercept: 0, determination: 1};
  return key => ({...none, ...fits[key]});
}

describe('deriveRates', () => {
  it('divides load among nodes and shards, so that no share is counted twice', () => {
    const rates = deriveRates(smallScale);
    expect(rates.nodeRequestsPerSecond).to.equal(10);
    expect(rates.shards).to.equal(4);
    expect(rates.shardRequestsPerSecond).to.equal(25);
    expect(rates.regionNodes).to.equal(5);
    expect(rates.claimsPerShardPerSecond).to.equal(2);
  });

  it('counts a permit as held from its grant to the last of 101 tokens', () => {
    const rates = deriveRates(smallScale);
    expect(rates.nodePermits).to.be.closeTo(20, 1e-9);
    expect(rates.shardPermits).to.be.closeTo(50, 1e-9);
  });
});

describe('deriveCapacity', () => {
  it('multiplies the slopes of the permit exchange by the rates of each side', () => {
    const find = findIn({
      'permit.cpu.holder': {slope: 5, intercept: 1_000},
      'permit.cpu.scheduler': {slope: 7},
      'permit.bytes': {slope: 400},
    });
    const exchange = deriveCapacity(smallScale, find).filter(line =>
      line.work.startsWith('acquire'),
    );
    const costs = exchange.map(line => [
      line.node,
      line.cpuMicrosPerSecond,
      line.bytesPerSecond,
    ]);
    expect(costs).to.deep.equal([
      ['every', 50, 4_000],
      ['scheduler', 175, 10_000],
    ]);
  });

  it('counts progress reports after the first, at most one per sample', () => {
    const find = findIn({'progress.bytes': {slope: 10, intercept: 100}});
    const [held] = deriveCapacity(smallScale, find).filter(line =>
      line.work.startsWith('progress of each'),
    );
    expect(held?.bytesPerSecond).to.be.closeTo(10 * 100 + 10 * 10, 1e-6);
  });

  it('counts heartbeats in both directions over all links', () => {
    const find = findIn({
      'fleet.links': {slope: 0.3},
      'heartbeat.bytes': {slope: 10, intercept: 35},
    });
    const [beats] = deriveCapacity(smallScale, find).filter(line =>
      line.work.startsWith('heartbeats'),
    );
    expect(beats?.bytesPerSecond).to.be.closeTo(
      3 * (1_000 / 150) * 75 * 2,
      1e-6,
    );
  });
});

describe('totalControl', () => {
  const lines = deriveCapacity(
    smallScale,
    findIn({
      'permit.bytes': {slope: 1},
      'entry.requests': {slope: 1_000},
      'membership.view': {intercept: 10},
      'claims.cpu': {intercept: 3},
    }),
  );

  it('excludes caller traffic, which is not control work', () => {
    const total = totalControl(lines, ['every'], true);
    expect(total.cpuMicrosPerSecond).to.equal(200);
  });

  it('counts permit messages only if requested', () => {
    expect(totalControl(lines, ['every'], true).bytesPerSecond).to.equal(10);
    expect(totalControl(lines, ['every'], false).bytesPerSecond).to.equal(0);
  });

  it('sums the roles of a node', () => {
    const total = totalControl(lines, ['every', 'claims'], false);
    expect(total.cpuMicrosPerSecond).to.equal(203);
  });
});

describe('events', () => {
  const find = findIn({
    'config.bytes': {slope: 10},
    'fleet.copies': {slope: 0.2},
    'announce.bytes': {slope: 100, intercept: 50},
    'claims.writes': {intercept: 40},
  });

  it('counts two moves of a shard for each instance that stops and returns', () => {
    const [takeovers, announced] = deriveReplacement(smallScale, find);
    expect(takeovers?.value).to.equal(16);
    expect(announced?.value).to.be.closeTo(5_050, 1e-9);
  });

  it('counts one configuration after a partition, however many were missed', () => {
    const [missed, passedOn] = derivePartition(smallScale, find);
    expect(missed?.value).to.equal(3_600);
    expect(passedOn?.value).to.equal(5 * 2 * 100);
  });

  it('counts one writer for each claim shard, however many regions there are', () => {
    for (const regions of [smallScale.regions, 7]) {
      const [writes] = derivePlatform({...smallScale, regions}, find);
      expect(writes?.value).to.equal(80);
    }
  });
});

describe('formatCapacity', () => {
  it('marks values that exceed the limits of a node', () => {
    const text = formatCapacity(
      designScale,
      findIn({'membership.view': {intercept: 2_000}}),
    );
    expect(text).to.contain('**4%, does not fit**');
    expect(text.match(/does not fit/g)).to.have.lengthOf(6);
  });
});

describe('createFindFit', () => {
  it('reports the key of a series that a partial run did not measure', () => {
    const points = [
      {x: 1, y: 1},
      {x: 2, y: 2},
    ];
    const series = {key: 'a', title: 'a', x: 'x', y: 'y', points};
    const find = createFindFit([fitSeries(series)]);
    expect(find('a').slope).to.be.closeTo(1, 1e-9);
    expect(() => find('b')).to.throw('"b" was not measured');
  });
});

describe('formatNumber', () => {
  it('rounds to three significant digits and never prints an exponent', () => {
    expect(formatNumber(1_234_567)).to.equal('1,230,000');
    expect(formatNumber(0.0012345)).to.equal('0.00123');
    expect(formatNumber(NaN)).to.equal('-');
  });
});
