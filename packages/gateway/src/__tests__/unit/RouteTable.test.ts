import {createSeededRandom, toServiceName} from '@toucanrouter/common';
import {expect} from 'chai';
import {createRouteTable, pickService} from '../../config/RouteTable.js';
import {createRoute} from './GatewayFixtures.js';

describe('RouteTable', () => {
  const short = createRoute({pathPrefix: '/a/'});
  const long = createRoute({pathPrefix: '/a/b/'});
  const table = createRouteTable([short, long]);

  it('finds the route with the longest prefix of the path', () => {
    expect(table.find('h', '/a/b/c')).to.equal(long);
    expect(table.find('h', '/a/bc')).to.equal(short);
  });

  it('ignores port and case of hosts', () => {
    expect(table.find('H:8080', '/a/x')).to.equal(short);
  });

  it('finds nothing on another host or above every prefix', () => {
    expect(table.find('other', '/a/b/')).to.equal(undefined);
    expect(table.find('h', '/a')).to.equal(undefined);
  });

  it('splits requests among services by their weights', () => {
    const targets = [
      {service: toServiceName('x'), weight: 90},
      {service: toServiceName('y'), weight: 10},
    ];
    const random = createSeededRandom(1);
    const picks = Array.from({length: 2_000}, () =>
      pickService(createRoute({targets}), random),
    );
    const toY = picks.filter(name => name === 'y').length;
    expect(toY).to.be.within(140, 260);
  });
});
