import {expect} from 'chai';
import {request} from 'undici';
import type {ServiceStandIn} from '../../index.js';
import {createServiceStandIn, serviceResponse} from '../../index.js';

async function post(service: ServiceStandIn, key: string, token: number) {
  const response = await request(`${service.url}/orders`, {
    method: 'POST',
    body: '{"cloth":"red"}',
    headers: {'idempotency-key': key, 'x-fencing-token': String(token)},
  });
  return {status: response.statusCode, body: await response.body.json()};
}

describe('createServiceStandIn', () => {
  let service: ServiceStandIn;

  beforeEach(async () => {
    service = await createServiceStandIn({
      id: 's1',
      service: 'ordering',
      workMs: 1,
    });
  });

  afterEach(() => service.close());

  it('responds as the oracle computes and records every run of a key', async () => {
    const call = {method: 'POST', path: '/orders', body: '{"cloth":"red"}'};
    const first = await post(service, 'k1', 5);
    expect(first.body).to.deep.equal(serviceResponse('ordering', call));
    await post(service, 'k1', 5);
    expect(service.runs().map(r => r.idempotencyKey)).to.deep.equal([
      'k1',
      'k1',
    ]);
  });

  it('refuses a stale fencing token without running the call', async () => {
    await post(service, 'k2', 7);
    expect((await post(service, 'k2', 6)).status).to.equal(412);
    expect(service.runs()).to.have.length(1);
  });

  // Guards against plays of a limit that no response states.
  it('states a request rate in all responses', async () => {
    service.switch({rateLimit: '0.5', refuse: true});
    const limitOf = async () => {
      const response = await request(`${service.url}/orders`);
      await response.body.dump();
      return response.headers['x-upstream-rate-limit'];
    };
    expect(await limitOf()).to.equal('0.5');
    service.switch({refuse: false});
    expect(await limitOf()).to.equal('0.5');
    service.switch({rateLimit: ''});
    expect(await limitOf()).to.equal(undefined);
  });

  it('runs a call whose response it drops, so that lost responses can be tested', async () => {
    service.switch({dropAnswers: 1});
    const failure = await post(service, 'k3', 1).catch((e: Error) => e);
    expect(failure).to.be.instanceOf(Error);
    expect(service.runs()).to.have.length(1);
  });
});
