import type {ServiceClass, Tier} from '@toucanrouter/common';
import {toClassId} from '@toucanrouter/common';
import {expect} from 'chai';
import {tierOfArrivedChat, tierOfTarget} from '../../request/CallTiers.js';
import {createTierClass} from './CallerServerFixture.js';

function createModelClass(
  name: string,
  tier: Tier,
  onlyWhenNamed = false,
): ServiceClass {
  const match = {models: ['m'], services: [], methods: [], paths: []};
  return {
    ...createTierClass(tier),
    id: toClassId(name),
    match: {...match, onlyWhenNamed},
  };
}

const classes = [
  createTierClass(1),
  createModelClass('quick', 2),
  createModelClass('report', 4, true),
];

describe('tiers of calls for the limits of the process', () => {
  // Guards against a chat call that is refused before a less urgent one because
  // its class was guessed from its headers.
  it('takes the most urgent tier that a chat call may have', () => {
    const named = {'x-service-class': 'report'};
    expect(tierOfArrivedChat({}, classes)).to.deep.equal({
      tier: 1,
      isCertain: true,
    });
    expect(tierOfArrivedChat(named, classes)).to.deep.equal({
      tier: 1,
      isCertain: false,
    });
  });

  it('takes the tier of the class once the target is known', () => {
    const path = '/v1/chat/completions';
    const target = {kind: 'engine', serves: 'm', method: 'POST', path} as const;
    const named = {'x-service-class': 'report'};
    expect(tierOfTarget(target, {}, classes)).to.equal(1);
    expect(tierOfTarget(target, named, classes)).to.equal(3);
  });

  it('counts calls without a class as the least urgent', () => {
    expect(tierOfArrivedChat({}, [])).to.deep.equal({tier: 3, isCertain: true});
    const target = {kind: 'service', serves: 'x', method: 'GET', path: '/'};
    expect(
      tierOfTarget({...target, kind: 'service'} as const, {}, classes),
    ).to.equal(3);
  });
});
