import {expect} from 'chai';
import type {MetricSources} from '../../Metrics.js';
import {createMetrics} from '../../Metrics.js';

const zero = () => 0;

function createSources(overrides: Partial<MetricSources>): MetricSources {
  return {
    membersAlive: zero,
    configVersion: zero,
    storeHistory: () => ({count: 0, revision: 0}),
    claimRecordsRestored: zero,
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
    rateLimitedCount: zero,
    rateStatus: () => ({limits: [], heldBackCount: 0}),
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
    callerConnections: () => ({
      openCount: 0,
      maxCount: 1,
      refusedCount: 0,
      displacedCount: 0,
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

  // Guards against refused calls that look like a lack of upstreams.
  it('shows what the limits of the process refuse and what holds its memory', async () => {
    const metrics = createMetrics(
      createSources({
        admittedShare: () => 0.4,
        shedCounts: () => [{tier: 3, reason: 'overload', count: 5}],
        memoryLimitBytes: () => 350,
        memoryHolders: () => [
          {holder: 'request_bodies', usedBytes: 20, maxBytes: 50},
        ],
        bodyMemory: () => ({
          usedBytes: 20,
          maxBytes: 50,
          refusedCount: 7,
          givenUpCount: 2,
        }),
        callerConnections: () => ({
          openCount: 0,
          maxCount: 1,
          refusedCount: 0,
          displacedCount: 0,
        }),
      }),
    );
    // Counts that are kept elsewhere must not be added up by each reading.
    await metrics.render();
    const lines = (await metrics.render()).split('\n');
    expect(lines).to.include.members([
      'toucanrouter_admitted_share 0.4',
      'toucanrouter_shed_requests_total{tier="3",reason="overload"} 5',
      'toucanrouter_memory_limit_bytes 350',
      'toucanrouter_memory_held_bytes{holder="request_bodies"} 20',
      'toucanrouter_memory_budget_bytes{holder="request_bodies"} 50',
      'toucanrouter_bodies_refused 7',
      'toucanrouter_bodies_given_up 2',
    ]);
  });
});
