import {createSeededRandom, toUpstreamId} from '@toucanrouter/common';
import {expect} from 'chai';
import {createRetryTurns} from '../../upstreams/RetryTurns.js';
import {createTurnsOfWaiting} from '../../upstreams/TurnsOfWaiting.js';
import {service} from './GatewayFixtures.js';

const upstream = toUpstreamId('u');
const other = toUpstreamId('other');
const any = () => true;

describe('TurnsOfWaiting', () => {
  // Guards against less urgent requests that take the turns of urgent ones.
  it('puts urgent requests first, and the longest waiting within a tier', () => {
    const turns = createTurnsOfWaiting();
    const late = turns.join({service, tier: 2, mayUse: any});
    const first = turns.join({service, tier: 1, mayUse: any});
    const second = turns.join({service, tier: 1, mayUse: any});
    const ahead = (tier: number, place = late) =>
      turns.aheadCount(service, upstream, tier, place);
    expect(ahead(1, first)).to.equal(0);
    expect(ahead(1, second)).to.equal(1);
    expect(ahead(2, late)).to.equal(2);
    expect(turns.aheadCount(service, upstream, 1, undefined)).to.equal(2);
    expect(turns.aheadCount(service, upstream, 0, undefined)).to.equal(0);
    first.close();
    first.close();
    expect(ahead(1, second)).to.equal(0);
  });

  // Guards against requests that wait behind those that cannot use the upstream.
  it('counts only requests that may use the upstream', () => {
    const turns = createTurnsOfWaiting();
    turns.join({service, tier: 0, mayUse: id => id === other});
    expect(turns.aheadCount(service, upstream, 1, undefined)).to.equal(0);
    expect(turns.aheadCount(service, other, 1, undefined)).to.equal(1);
  });
});

describe('RetryTurns', () => {
  // Guards against refused callers that all return at once.
  it('hands out one turn after the other, up to a bound', () => {
    const turns = createRetryTurns(createSeededRandom(1));
    const perS = 2;
    const delaysMs = Array.from({length: 100}, () => turns.nextMs(0, perS, 0));
    const inTurn = delaysMs.slice(0, 20);
    inTurn.forEach((delayMs, index) =>
      expect(delayMs).to.be.within(index * 500, (index + 1) * 500),
    );
    const beyond = delaysMs.slice(20);
    for (const delayMs of beyond) expect(delayMs).to.be.within(5_000, 10_000);
    expect(Math.max(...beyond) - Math.min(...beyond)).to.be.above(4_000);
  });

  // Guards against urgent callers that return after less urgent ones.
  it('does not put off urgent callers for others', () => {
    const turns = createRetryTurns(createSeededRandom(1));
    for (let index = 0; index < 5; index++) turns.nextMs(2, 1, 0);
    expect(turns.nextMs(0, 1, 0)).to.be.at.most(1_000);
    expect(turns.nextMs(1, 1, 0)).to.be.at.least(1_000);
    expect(turns.nextMs(2, 1, 0)).to.be.at.least(5_000);
  });

  // Guards against turns of the past, and against a rate of none.
  it('begins anew after a pause, and stays finite', () => {
    const turns = createRetryTurns(createSeededRandom(1));
    for (let index = 0; index < 5; index++) turns.nextMs(0, 1, 0);
    expect(turns.nextMs(0, 1, 60_000)).to.be.at.most(1_000);
    expect(turns.nextMs(0, 0, 60_000)).to.be.within(5_000, 10_000);
  });
});
