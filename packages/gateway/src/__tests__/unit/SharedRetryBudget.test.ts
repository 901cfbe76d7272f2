import {expect} from 'chai';
import {createSharedRetryBudget} from '../../request/SharedRetryBudget.js';

const limits = {retryShare: 0.2, retryAllowance: 170, retryWindowMs: 10_000};

/** Counts the retries of instances that use their whole budgets. */
function retriesOf(instanceCount: number, requestsEach: number): number {
  let retries = 0;
  for (let instance = 0; instance < instanceCount; instance++) {
    const budget = createSharedRetryBudget({
      limits,
      instanceCount: () => instanceCount,
      startedAtMs: 5_000 - limits.retryWindowMs,
    });
    for (let request = 0; request < requestsEach; request++) {
      budget.recordRequest(5_000);
    }
    while (budget.tryRetry(5_000)) retries += 1;
  }
  return retries;
}

describe('SharedRetryBudget', () => {
  it('keeps any number of instances within the shared limits', () => {
    // Load: all responses of a service are lost, with 31 instances and 32
    // requests each in a window. With the allowance divided by 10, the instances
    // exceeded the limit together.
    for (const instanceCount of [1, 5, 10, 31, 100]) {
      const allowed = 0.2 * instanceCount * 32 + 170;
      expect(retriesOf(instanceCount, 32)).to.be.at.most(allowed);
    }
  });

  it('allows a few retries to instances that run for a window without requests', () => {
    expect(retriesOf(5, 0)).to.be.above(20);
  });
});
