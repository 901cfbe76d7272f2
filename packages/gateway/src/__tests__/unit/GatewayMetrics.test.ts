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
    loopDelayMs: zero,
    recentLoopDelayMs: zero,
    admittedShare: () => 1,
    residentBytes: zero,
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

  it('shows how late the process runs and how much memory it has', async () => {
    // Guards against a process at its limits that looks idle.
    const metrics = createGatewayMetrics(
      createSources({
        loopDelayMs: () => 250,
        recentLoopDelayMs: () => 1_500,
        residentBytes: () => 64_000_000,
      }),
    );
    const text = await metrics.render();
    expect(text).to.include('toucanrouter_event_loop_delay_seconds 0.25');
    expect(text).to.include(
      'toucanrouter_event_loop_delay_recent_max_seconds 1.5',
    );
    expect(text).to.include('toucanrouter_resident_memory_bytes 64000000');
  });

  it('shows which requests were refused for lack of processor time', async () => {
    // Guards against refused requests that look like a lack of upstreams.
    const metrics = createGatewayMetrics(
      createSources({admittedShare: () => 0.4}),
    );
    metrics.observeShed(2, 'overload');
    metrics.observeShed(0, 'late');
    const text = await metrics.render();
    expect(text).to.include('toucanrouter_admitted_share 0.4');
    expect(text).to.include(
      'toucanrouter_shed_requests_total{tier="2",reason="overload"} 1',
    );
    expect(text).to.include(
      'toucanrouter_shed_requests_total{tier="0",reason="late"} 1',
    );
  });
});
