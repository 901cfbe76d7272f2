/**
 * Prometheus metrics of an instance. Label values are bounded: classes come
 * from the configuration and error kinds from a closed list.
 */
import {
  collectDefaultMetrics,
  Counter,
  Gauge,
  Histogram,
  Registry,
} from 'prom-client';
import type {
  ConnectionBudgetStatus,
  HolderMemory,
  MemoryBudgetStatus,
  StoreHistoryStatus,
} from '@toucanrouter/common';
import type {RateStatus, RetryBudgetStatus} from '@toucanrouter/policy';
import type {ShedCount} from './request/LoadControl.js';
import type {RefusalCounts} from './request/PausedUpstreams.js';
import type {FinishedCall} from './request/RecordCall.js';

/** Values that are read when metrics are collected. */
export interface MetricSources {
  readonly membersAlive: () => number;
  readonly configVersion: () => number;
  /** What is known of the history of the key-value service. */
  readonly storeHistory: () => Pick<StoreHistoryStatus, 'count' | 'revision'>;
  /** Records of claims written again because the service had lost them. */
  readonly claimRecordsRestored: () => number;
  readonly permitsHeld: () => number;
  readonly permitsPending: () => number;
  readonly peerMessagesSent: () => number;
  /** Engines that ended under calls of this instance. */
  readonly crashCount: () => number;
  /** Prompt segments that are blocked now. */
  readonly quarantinedCount: () => number;
  readonly retryBudget: () => RetryBudgetStatus;
  /** Upstreams that pause for this instance now. */
  readonly pausedCount: () => number;
  readonly refusalCounts: () => RefusalCounts;
  /** Upstreams that limit their request rate in responses to this instance. */
  readonly rateLimitedCount: () => number;
  /** Request rates that the schedulers on this instance keep. */
  readonly rateStatus: () => RateStatus;
  /** Delay of the event loop: now, and the longest of the recent past. */
  readonly loopDelayMs: () => number;
  readonly recentLoopDelayMs: () => number;
  /** Share of calls that the processor time allows, from 0 to 1. */
  readonly admittedShare: () => number;
  readonly shedCounts: () => readonly ShedCount[];
  /** Memory that the process may occupy, and what holds it. */
  readonly memoryLimitBytes: () => number;
  readonly memoryHolders: () => readonly HolderMemory[];
  readonly bodyMemory: () => MemoryBudgetStatus;
  readonly callerConnections: () => ConnectionBudgetStatus;
}

/** The metrics of an instance. */
export interface Metrics {
  observeCall(call: FinishedCall): void;
  /** Renders all metrics in the Prometheus text format. */
  render(): Promise<string>;
  readonly contentType: string;
}

const msPerSecond = 1_000;
const latencyBucketsSeconds = [
  0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 25.6, 51.2,
];
const unclassifiedLabel = 'none';

/** Creates the metrics of an instance. */
export function createMetrics(sources: MetricSources): Metrics {
  const registry = new Registry();
  const registers = [registry];
  collectDefaultMetrics({register: registry});
  const requests = new Counter({
    name: 'toucanrouter_requests_total',
    help: 'Requests that ended, by class and error kind ("none" when served)',
    labelNames: ['class', 'error'],
    registers,
  });
  const firstToken = new Histogram({
    name: 'toucanrouter_first_token_seconds',
    help: 'Time from arrival to the first token, or to the answer of a plain call',
    labelNames: ['class'],
    buckets: latencyBucketsSeconds,
    registers,
  });
  const permitWait = new Histogram({
    name: 'toucanrouter_permit_wait_seconds',
    help: 'Time that a request waited for permits',
    labelNames: ['class'],
    buckets: latencyBucketsSeconds,
    registers,
  });
  const tokens = new Counter({
    name: 'toucanrouter_tokens_total',
    help: 'Tokens relayed to callers',
    labelNames: ['class'],
    registers,
  });
  const wastedTokens = new Counter({
    name: 'toucanrouter_wasted_tokens_total',
    help: 'Tokens generated and thrown away',
    labelNames: ['class'],
    registers,
  });
  registerGauges(registry, sources);
  registerRefusals(registry, sources);
  registerRates(registry, sources);
  registerShedding(registry, sources);
  registerMemory(registry, sources);

  function observeCall({exchange, error}: FinishedCall): void {
    const {stats, serviceClass} = exchange;
    const labels = {class: serviceClass?.id ?? unclassifiedLabel};
    requests.inc({...labels, error: error?.kind ?? 'none'});
    permitWait.observe(labels, stats.waitedMs / msPerSecond);
    tokens.inc(labels, stats.tokens);
    wastedTokens.inc(labels, stats.wastedTokens);
    if (stats.firstTokenMs !== undefined) {
      firstToken.observe(labels, stats.firstTokenMs / msPerSecond);
    }
  }

  return {
    observeCall,
    render: () => registry.metrics(),
    contentType: registry.contentType,
  };
}

function registerGauges(registry: Registry, sources: MetricSources): void {
  const gauges: [string, string, () => number][] = [
    [
      'toucanrouter_members_alive',
      'Router instances considered alive',
      sources.membersAlive,
    ],
    [
      'toucanrouter_config_version',
      'Version of the configuration in force',
      sources.configVersion,
    ],
    [
      'toucanrouter_store_histories',
      'Histories of the key-value service seen since the start; one more each time it came back from a copy',
      () => sources.storeHistory().count,
    ],
    [
      'toucanrouter_store_revision',
      'Highest revision seen in the current history of the key-value service',
      () => sources.storeHistory().revision,
    ],
    [
      'toucanrouter_claim_records_restored',
      'Records of claims written again since the start because the key-value service had lost them',
      sources.claimRecordsRestored,
    ],
    [
      'toucanrouter_permits_held',
      'Permits that this instance holds',
      sources.permitsHeld,
    ],
    [
      'toucanrouter_permits_pending',
      'Requests of this instance that wait for a permit',
      sources.permitsPending,
    ],
    [
      'toucanrouter_peer_messages_sent',
      'Messages sent to other instances since the start',
      sources.peerMessagesSent,
    ],
    [
      'toucanrouter_upstream_crashes',
      'Engines that ended under requests waiting for their first token',
      sources.crashCount,
    ],
    [
      'toucanrouter_prompt_segments_quarantined',
      'Prompt segments whose requests are refused now',
      sources.quarantinedCount,
    ],
    [
      'toucanrouter_retries_spent',
      'Retries that the budget of this instance allowed',
      () => sources.retryBudget().spentCount,
    ],
    [
      'toucanrouter_retries_denied',
      'Retries denied for lack of budget',
      () => sources.retryBudget().deniedCount,
    ],
    [
      'toucanrouter_retry_allowance',
      'Retries that the window allows this instance now',
      () => sources.retryBudget().allowance,
    ],
    [
      'toucanrouter_retry_allowance_used',
      'Retries of the window that are spent or set aside',
      () => sources.retryBudget().usedCount,
    ],
    [
      'toucanrouter_upstreams_paused',
      'Upstreams that get no request now because they asked for a pause',
      sources.pausedCount,
    ],
    [
      'toucanrouter_upstreams_rate_limited',
      'Upstreams that limit their request rate in responses to this instance',
      sources.rateLimitedCount,
    ],
    [
      'toucanrouter_event_loop_delay_seconds',
      'Time by which the event loop runs late; requests wait unread about as long',
      () => sources.loopDelayMs() / msPerSecond,
    ],
    [
      'toucanrouter_event_loop_delay_recent_max_seconds',
      'Longest delay of the event loop in the last two seconds',
      () => sources.recentLoopDelayMs() / msPerSecond,
    ],
    [
      'toucanrouter_admitted_share',
      'Share of calls that the processor time allows; the least urgent tiers are refused first',
      sources.admittedShare,
    ],
    [
      'toucanrouter_memory_limit_bytes',
      'Memory that the process may occupy',
      sources.memoryLimitBytes,
    ],
    [
      'toucanrouter_bodies_refused',
      'Calls refused since the start because their body needs more memory',
      () => sources.bodyMemory().refusedCount,
    ],
    [
      'toucanrouter_bodies_given_up',
      'Calls whose memory was given up for others since the start',
      () => sources.bodyMemory().givenUpCount,
    ],
    [
      'toucanrouter_caller_connections',
      'Connections of callers that are open',
      () => sources.callerConnections().openCount,
    ],
    [
      'toucanrouter_caller_connections_limit',
      'Connections of callers that the descriptors and the memory allow',
      () => sources.callerConnections().maxCount,
    ],
    [
      'toucanrouter_caller_connections_refused',
      'Connections of callers closed at once since the start, because too many were open',
      () => sources.callerConnections().refusedCount,
    ],
    [
      'toucanrouter_caller_connections_displaced',
      'Silent, idle or stalled connections of callers closed since the start in favor of others',
      () => sources.callerConnections().displacedCount,
    ],
  ];
  for (const [name, help, read] of gauges) {
    new Gauge({
      name,
      help,
      registers: [registry],
      collect() {
        this.set(read());
      },
    });
  }
}

function registerRefusals(registry: Registry, sources: MetricSources): void {
  new Counter({
    name: 'toucanrouter_upstream_refusals_total',
    help: 'Requests that upstreams rejected for lack of capacity, by whether they asked for a pause',
    labelNames: ['pause'],
    registers: [registry],
    collect() {
      const {withPause, withoutPause} = sources.refusalCounts();
      this.reset();
      this.inc({pause: 'true'}, withPause);
      this.inc({pause: 'false'}, withoutPause);
    },
  });
}

function registerRates(registry: Registry, sources: MetricSources): void {
  new Gauge({
    name: 'toucanrouter_upstream_rate_limit',
    help: 'Requests a second that the schedulers on this instance grant for an upstream that limits its rate',
    labelNames: ['upstream'],
    registers: [registry],
    collect() {
      this.reset();
      for (const {perS, upstreamId} of sources.rateStatus().limits) {
        this.set({upstream: upstreamId}, perS);
      }
    },
  });
  new Counter({
    name: 'toucanrouter_rate_limited_requests_total',
    help: 'Requests that waited for a permit because upstreams limit their rate',
    registers: [registry],
    collect() {
      this.reset();
      this.inc(sources.rateStatus().heldBackCount);
    },
  });
}

function registerShedding(registry: Registry, sources: MetricSources): void {
  new Counter({
    name: 'toucanrouter_shed_requests_total',
    help: 'Calls refused for lack of processor time, by tier and whether their own time was too short or the load too high',
    labelNames: ['tier', 'reason'],
    registers: [registry],
    collect() {
      this.reset();
      for (const {count, reason, tier} of sources.shedCounts()) {
        this.inc({tier: String(tier), reason}, count);
      }
    },
  });
}

function registerMemory(registry: Registry, sources: MetricSources): void {
  const gauges: [string, string, (memory: HolderMemory) => number][] = [
    [
      'toucanrouter_memory_held_bytes',
      'Memory in use, by what holds it',
      ({usedBytes}) => usedBytes,
    ],
    [
      'toucanrouter_memory_budget_bytes',
      'Memory that each holder may use',
      ({maxBytes}) => maxBytes,
    ],
  ];
  for (const [name, help, read] of gauges) {
    new Gauge({
      name,
      help,
      labelNames: ['holder'],
      registers: [registry],
      collect() {
        for (const memory of sources.memoryHolders()) {
          this.set({holder: memory.holder}, read(memory));
        }
      },
    });
  }
}
