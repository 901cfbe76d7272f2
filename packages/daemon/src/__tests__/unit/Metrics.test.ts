import {expect} from 'chai';
import type {MetricSources} from '../../Metrics.js';
import {createMetrics} from '../../Metrics.js';

const zero = () => 0;

function createSources(overrides: Partial<MetricSources>): MetricSources {
  return {
    membersAlive: zero,
    configVersion: zero,
    permitsHeld: zero,
    permitsPending: zero,
    peerMessagesSent: zero,
    crashCount: zero,
    quarantinedCount: zero,
    retryBudget: () => ({
      spentCount: 0,
      deniedCount: 0,
      allowance: 0,
      usedCount: 0,
    }),
    pausedCount: zero,
    refusalCounts: () => ({withPause: 0, withoutPause: 0}),
    loopDelayMs: zero,
    recentLoopDelayMs: zero,
    admittedShare: () => 1,
    shedCounts: () => [],
    memoryLimitBytes: zero,
    memoryHolders: () => [],
    bodyMemory: () => ({
      usedBytes: 0,
      maxBytes: 0,
      refusedCount: 0,
      givenUpCount: 0,
    }),
    ...overrides,
  };
}

describe('createMetrics', () => {
  // Guards against an instance without processor time that looks idle.
  it('shows how late the process runs and how much memory it has', async () => {
    const metrics = createMetrics(
      createSources({
        loopDelayMs: () => 250,
        recentLoopDelayMs: () => 1_500,
      }),
    );
    const text = await metrics.render();
    expect(text).to.include('toucanrouter_event_loop_delay_seconds 0.25');
    expect(text).to.include(
      'toucanrouter_event_loop_delay_recent_max_seconds 1.5',
    );
    expect(text).to.match(/^process_resident_memory_bytes [1-9]/m);
  });
});
