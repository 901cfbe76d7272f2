import type {ServiceName} from '@toucanrouter/common';
import {expect} from 'chai';
import type {GatewayMetricSources} from '../../server/GatewayMetrics.js';
import {createGatewayMetrics} from '../../server/GatewayMetrics.js';

function createSources(
  overrides: Partial<GatewayMetricSources>,
): GatewayMetricSources {
  const zero = () => 0;
  return {
    configVersion: zero,
    configAgeMs: zero,
    requestsInProgress: zero,
    connectionsOpened: zero,
    storeConnected: () => true,
    crashCount: zero,
    quarantinedCount: zero,
    retryBudgets: () => [],
    pausedCount: () => 0,
    ...overrides,
  };
}

describe('GatewayMetrics', () => {
  it('shows the retry budget of each service', async () => {
    // Guards against a used-up budget that no metric shows.
    const metrics = createGatewayMetrics(
      createSources({
        retryBudgets: () => [
          {
            service: 'a' as ServiceName,
            spentCount: 5,
            deniedCount: 3,
            allowance: 2.5,
            usedCount: 2,
          },
        ],
      }),
    );
    const text = await metrics.render();
    expect(text).to.include('toucanrouter_retries_spent{service="a"} 5');
    expect(text).to.include('toucanrouter_retries_denied{service="a"} 3');
    expect(text).to.include('toucanrouter_retry_allowance{service="a"} 2.5');
    expect(text).to.include('toucanrouter_retry_allowance_used{service="a"} 2');
  });
});
