import {expect} from 'chai';
import {createSharedRetryBudget} from '../../request/SharedRetryBudget.js';

const limits = {retryShare: 0.2, retryAllowance: 170, retryWindowMs: 10_000};

/** Repeats of `instanceCount` instances that use all that they may. */
function retriesOf(instanceCount: number, requestsEach: number): number {
  let retries = 0;
  for (let instance = 0; instance < instanceCount; instance++) {
    const budget = createSharedRetryBudget(limits, () => instanceCount);
    for (let request = 0; request < requestsEach; request++) {
      budget.recordRequest(5_000);
    }
    while (budget.tryRetry(5_000)) retries += 1;
  }
  return retries;
}

describe('RepeatBudget', () => {
  it('keeps any number of instances within the bound that they share', () => {
    // Load: every answer of a service is lost; 31 instances with 32 requests
    // each in a window. With a slack for 10 instances they exceeded the bound.
    for (const instanceCount of [1, 5, 10, 31, 100]) {
      const allowed = 0.2 * instanceCount * 32 + 170;
      expect(retriesOf(instanceCount, 32)).to.be.at.most(allowed);
    }
  });

  it('lets an instance without requests repeat a few', () => {
    expect(retriesOf(5, 0)).to.be.above(20);
  });
});
