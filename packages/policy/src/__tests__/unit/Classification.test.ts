import {toClassId} from '@toucanrouter/common';
import {expect} from 'chai';
import type {ClassifiedCall} from '../../index.js';
import {classify} from '../../index.js';
import {serviceClass} from './SchedulerFixtures.js';

const none = {models: [], services: [], methods: [], paths: []};
const classes = [
  serviceClass('chat', 1),
  serviceClass('drafts', 3),
  serviceClass('lookups', 1, {
    match: {...none, services: ['shop'], methods: ['GET']},
  }),
  serviceClass('orders', 2, {
    idempotent: false,
    match: {...none, services: ['shop'], paths: ['/orders']},
  }),
];

function idOf(call: ClassifiedCall): string | undefined {
  return classify(call, classes)?.id;
}

function post(path: string, classId?: string): ClassifiedCall {
  const named = classId === undefined ? undefined : toClassId(classId);
  const shop = {kind: 'service', service: 'shop', method: 'POST'} as const;
  return {...shop, path, classId: named};
}

describe('classify', () => {
  it('prefers the class that the caller names to the first that matches', () => {
    const classId = toClassId('drafts');
    expect(idOf({kind: 'model', model: 'model', classId})).to.equal('drafts');
  });

  it('falls back to file order when the named class is unknown or does not match', () => {
    const call = {kind: 'model', model: 'model'} as const;
    expect(idOf({...call, classId: toClassId('gone')})).to.equal('chat');
    expect(idOf({...call, classId: toClassId('orders')})).to.equal('chat');
  });

  it('skips classes that must be named, also when they come first', () => {
    const match = {...none, models: ['model'], onlyWhenNamed: true};
    const named = serviceClass('reports', 1, {match});
    const call = {kind: 'model', model: 'model'} as const;
    expect(classify(call, [named, ...classes])?.id).to.equal('chat');
    expect(classify(call, [named])).to.equal(undefined);
    const classId = toClassId('reports');
    expect(classify({...call, classId}, [named])?.id).to.equal('reports');
  });

  it('does not let a caller have an order handled as an idempotent lookup', () => {
    expect(idOf(post('/orders/7', 'lookups'))).to.equal('orders');
  });

  it('returns undefined when no class matches the call, instead of a default class', () => {
    expect(idOf(post('/other'))).to.equal(undefined);
    expect(idOf({kind: 'model', model: 'other'})).to.equal(undefined);
  });
});
