/**
 * Prometheus metrics of a gateway. The number of label values is bounded:
 * classes come from the configuration and outcomes from the list of error kinds.
 */
import type {
  ConnectionBudgetStatus,
  HolderMemory,
  MemoryBudgetStatus,
  ServiceName,
  OpenRequestStatus,
} from '@toucanrouter/common';
import type {RetryBudgetStatus, SheddingReason} from '@toucanrouter/policy';
import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import type {DutyHostStatus} from '../duties/DutyHost.js';
import type {RequestStage} from '../request/OpenRequest.js';
import type {EndedRequest} from '../request/EndedRequest.js';
import type {ResumptionOutcome} from '../request/ResponseStream.js';
import type {UpstreamVersionCount} from '../upstreams/UpstreamRegistry.js';
import type {ServiceRateStatus} from '../upstreams/UpstreamRateLimits.js';
import {registerDutyMetrics} from './DutyMetrics.js';

/** Sources of the values that are read when metrics are collected. */
export interface GatewayMetricSources {
  readonly configVersion: () => number;
  readonly configAgeMs: () => number;
  readonly requestsInProgress: () => number;
  readonly connectionsOpened: () => number;
  readonly storeConnected: () => boolean;
  /** Undefined if the store does not tell its era. */
  readonly storeEra: () => number | undefined;
  /** Upstreams that ended under requests. */
  readonly crashCount: () => number;
  /** Prompt segments that are blocked now. */
  readonly quarantinedCount: () => number;
  readonly retryBudgets: () => readonly ServiceRetryBudget[];
  /** Upstreams that take new work. */
  readonly upstreamVersions: () => readonly UpstreamVersionCount[];
  /** Upstreams that pause now. */
  readonly pausedCount: () => number;
  /** Services whose upstreams limit or limited their request rate. */
  readonly rateLimits: () => readonly ServiceRateStatus[];
  /** Delay of the event loop: now, and the longest of the recent past. */
  readonly loopDelayMs: () => number;
  readonly recentLoopDelayMs: () => number;
  /** Share of requests that the processor time allows, from 0 to 1. */
  readonly admittedShare: () => number;
  /** Memory of the process that the operating system counts. */
  readonly residentBytes: () => number;
  readonly memoryLimitBytes: () => number;
  /** Heap of the runtime in use, and the limit at which the process aborts. */
  readonly heapBytes: () => number;
  readonly heapLimitBytes: () => number;
  /** Start of the process, in Unix milliseconds. */
  readonly startedAtUnixMs: number;
  readonly memoryHolders: () => readonly HolderMemory[];
  readonly bodyMemory: () => MemoryBudgetStatus;
  readonly callerConnections: () => ConnectionBudgetStatus;
  readonly openRequests: () => OpenRequestStatus;
  readonly listeners: () => readonly ListenerStatus[];
  /** Undefined if the platform asks for no duties. */
  readonly duties?: (() => DutyHostStatus) | undefined;
}

/** The retry budget of one service. */
export interface ServiceRetryBudget extends RetryBudgetStatus {
  readonly service: ServiceName;
}

/** The metrics of a gateway. */
export interface GatewayMetrics {
  observe(ended: EndedRequest): void;
  /** Counts a request that an upstream rejected for lack of capacity. */
  observeRefusal(service: ServiceName, asksForPause: boolean): void;
  /** Counts a request that was refused for lack of processor time. */
  observeShed(tier: number, reason: SheddingReason): void;
  /** Counts a stream that its caller resumed. */
  observeResumption(outcome: ResumptionOutcome): void;
  /** Counts a connection that closed before the response was complete. */
  observeUnanswered(stage: RequestStage, isStopping: boolean): void;
  /** Renders all metrics in the Prometheus text format. */
  render(): Promise<string>;
  readonly contentType: string;
}

const msPerSecond = 1_000;
const latencyBucketsSeconds = [
  0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 1, 1.5, 2, 4, 8, 16,
];
const noClassLabel = 'none';
const noVersionLabel = 'none';

/** Whether a listener is open, by whom it serves. */
export interface ListenerStatus {
  readonly purpose: string;
  readonly isOpen: boolean;
}

/** Name, help and value of a number that is shown for each service. */
type ServiceGauge<Status> = readonly [
  string,
  string,
  (status: Status) => number,
];

/** What is shown of each service's retry budget. */
const retryBudgetGauges: readonly ServiceGauge<RetryBudgetStatus>[] = [
  [
    'toucanrouter_retries_spent',
    'Retries that the budget of this instance allowed, by service',
    status => status.spentCount,
  ],
  [
    'toucanrouter_retries_denied',
    'Retries denied for lack of budget, by service',
    status => status.deniedCount,
  ],
  [
    'toucanrouter_retry_allowance',
    'Retries that the window allows this instance now, by service',
    status => status.allowance,
  ],
  [
    'toucanrouter_retry_allowance_used',
    'Retries of the window that are spent or set aside, by service',
    status => status.usedCount,
  ],
];

/** What is shown of each service's request rates. */
const rateLimitGauges: readonly ServiceGauge<ServiceRateStatus>[] = [
  [
    'toucanrouter_upstreams_rate_limited',
    'Upstreams that limit the request rate of all instances together, by service',
    status => status.limitedCount,
  ],
  [
    'toucanrouter_upstream_rate_limit',
    'Requests a second that limited upstreams take from all instances, by service',
    status => status.limitPerS,
  ],
  [
    'toucanrouter_upstream_rate_share',
    'Requests a second of that limit that this instance may send, by service',
    status => status.sharePerS,
  ],
  [
    'toucanrouter_rate_limited_requests_sent',
    'Requests sent to limited upstreams since the start, by service',
    status => status.sentCount,
  ],
];

/** Registers gauges of the services that have a status when they are read. */
function registerServiceGauges<Status extends {readonly service: ServiceName}>(
  registry: Registry,
  gauges: readonly ServiceGauge<Status>[],
  statuses: () => readonly Status[],
): void {
  for (const [name, help, read] of gauges) {
    new Gauge({
      name,
      help,
      labelNames: ['service'],
      registers: [registry],
      collect() {
        this.reset();
        for (const status of statuses()) {
          this.set({service: status.service}, read(status));
        }
      },
    });
  }
}

/** Creates the metrics of a gateway. */
export function createGatewayMetrics(
  sources: GatewayMetricSources,
): GatewayMetrics {
  const registry = new Registry();
  const registers = [registry];
  const requests = new Counter({
    name: 'toucanrouter_requests_total',
    help: 'Requests that ended, by class and outcome',
    labelNames: ['class', 'outcome'],
    registers,
  });
  const retries = new Counter({
    name: 'toucanrouter_repeats_total',
    help: 'Upstreams tried after the first one of a request, by class',
    labelNames: ['class'],
    registers,
  });
  const refusals = new Counter({
    name: 'toucanrouter_upstream_refusals_total',
    help: 'Requests that upstreams rejected for lack of capacity, by service and whether they asked for a pause',
    labelNames: ['service', 'pause'],
    registers,
  });
  const shed = new Counter({
    name: 'toucanrouter_shed_requests_total',
    help: 'Requests refused for lack of processor time, by tier and whether their own time was too short or the load too high',
    labelNames: ['tier', 'reason'],
    registers,
  });
  const unanswered = new Counter({
    name: 'toucanrouter_unanswered_requests_total',
    help: 'Requests whose connection closed before their response was complete, by how far they had come and whether the instance was stopping',
    labelNames: ['stage', 'stopping'],
    registers,
  });
  const resumptions = new Counter({
    name: 'toucanrouter_stream_resumptions_total',
    help: 'Streams that callers resumed, by whether they went on, nobody knew their software version, no upstream of it was left, or its upstreams failed',
    labelNames: ['outcome'],
    registers,
  });
  new Gauge({
    name: 'toucanrouter_upstreams',
    help: 'Upstreams that take new work, by service and software version',
    labelNames: ['service', 'version'],
    registers,
    collect() {
      this.reset();
      for (const group of sources.upstreamVersions()) {
        const version = group.softwareVersion ?? noVersionLabel;
        this.set({service: group.service, version}, group.count);
      }
    },
  });
  if (sources.duties !== undefined) {
    registerDutyMetrics(registry, sources.duties);
  }
  const firstResponse = new Histogram({
    name: 'toucanrouter_first_answer_seconds',
    help: 'Time from arrival to the first event, or to the plain answer',
    labelNames: ['class'],
    buckets: latencyBucketsSeconds,
    registers,
  });
  const gauge = (name: string, help: string, value: () => number) =>
    new Gauge({
      name,
      help,
      registers,
      collect() {
        this.set(value());
      },
    });
  gauge(
    'toucanrouter_config_version',
    'Version of the configuration in force',
    sources.configVersion,
  );
  gauge(
    'toucanrouter_config_age_seconds',
    'Time since the store confirmed the configuration',
    () =>
      Math.min(sources.configAgeMs(), Number.MAX_SAFE_INTEGER) / msPerSecond,
  );
  gauge(
    'toucanrouter_requests_in_progress',
    'Requests that are not answered yet',
    sources.requestsInProgress,
  );
  gauge(
    'toucanrouter_upstream_connections_opened',
    'Connections to upstreams opened since the start',
    sources.connectionsOpened,
  );
  gauge('toucanrouter_store_connected', '1 while the store answers', () =>
    Number(sources.storeConnected()),
  );
  gauge(
    'toucanrouter_store_era',
    'History of the store, which rises when it comes back from a copy',
    () => sources.storeEra() ?? 0,
  );
  gauge(
    'toucanrouter_upstream_crashes',
    'Upstreams that ended under requests waiting for their first event',
    sources.crashCount,
  );
  gauge(
    'toucanrouter_prompt_segments_quarantined',
    'Prompt segments whose requests are refused now',
    sources.quarantinedCount,
  );
  registerServiceGauges(registry, rateLimitGauges, sources.rateLimits);
  new Gauge({
    name: 'toucanrouter_rate_limited_requests_held_back',
    help: 'Requests for which a limited upstream had no turn since the start, by service and what became of them',
    labelNames: ['service', 'outcome'],
    registers,
    collect() {
      this.reset();
      for (const {heldBackCounts, service} of sources.rateLimits()) {
        for (const [outcome, count] of heldBackCounts) {
          this.set({service, outcome}, count);
        }
      }
    },
  });
  registerServiceGauges(registry, retryBudgetGauges, sources.retryBudgets);
  gauge(
    'toucanrouter_upstreams_paused',
    'Upstreams that have asked this instance for a pause that still lasts',
    sources.pausedCount,
  );
  gauge(
    'toucanrouter_event_loop_delay_seconds',
    'Time by which the event loop runs late; requests wait unread about as long',
    () => sources.loopDelayMs() / msPerSecond,
  );
  gauge(
    'toucanrouter_event_loop_delay_recent_max_seconds',
    'Longest delay of the event loop in the last two seconds',
    () => sources.recentLoopDelayMs() / msPerSecond,
  );
  gauge(
    'toucanrouter_admitted_share',
    'Share of requests that the processor time allows; the least urgent tiers are refused first',
    sources.admittedShare,
  );
  gauge(
    'toucanrouter_resident_memory_bytes',
    'Memory of the process that the operating system counts',
    sources.residentBytes,
  );
  gauge(
    'toucanrouter_memory_limit_bytes',
    'Memory that the process may occupy',
    sources.memoryLimitBytes,
  );
  gauge(
    'toucanrouter_heap_used_bytes',
    'Heap of the runtime in use',
    sources.heapBytes,
  );
  gauge(
    'toucanrouter_heap_limit_bytes',
    'Heap at which the runtime ends the process',
    sources.heapLimitBytes,
  );
  gauge(
    'process_start_time_seconds',
    'Start of the process, in Unix seconds; a change shows a restart',
    () => sources.startedAtUnixMs / msPerSecond,
  );
  const holderGauge = (
    name: string,
    help: string,
    read: (memory: HolderMemory) => number,
  ) =>
    new Gauge({
      name,
      help,
      labelNames: ['holder'],
      registers,
      collect() {
        for (const memory of sources.memoryHolders()) {
          this.set({holder: memory.holder}, read(memory));
        }
      },
    });
  holderGauge(
    'toucanrouter_memory_held_bytes',
    'Memory in use, by what holds it',
    ({usedBytes}) => usedBytes,
  );
  holderGauge(
    'toucanrouter_memory_budget_bytes',
    'Memory that each holder may use',
    ({maxBytes}) => maxBytes,
  );
  gauge(
    'toucanrouter_bodies_refused',
    'Requests refused since the start because their body needs more memory',
    () => sources.bodyMemory().refusedCount,
  );
  gauge(
    'toucanrouter_bodies_given_up',
    'Requests whose memory was given up for others since the start',
    () => sources.bodyMemory().givenUpCount,
  );
  gauge(
    'toucanrouter_open_requests',
    'Requests that count with the limit of open requests',
    () => sources.openRequests().openCount,
  );
  gauge(
    'toucanrouter_open_requests_limit',
    'Open requests that the heap allows; less urgent tiers may use a part',
    () => sources.openRequests().maxCount,
  );
  gauge(
    'toucanrouter_open_requests_refused',
    'Requests refused since the start because too many were open',
    () => sources.openRequests().refusedCount,
  );
  gauge(
    'toucanrouter_caller_connections',
    'Connections of callers that are open',
    () => sources.callerConnections().openCount,
  );
  gauge(
    'toucanrouter_caller_connections_limit',
    'Connections of callers that the descriptors of the process allow',
    () => sources.callerConnections().maxCount,
  );
  gauge(
    'toucanrouter_caller_connections_refused',
    'Connections of callers closed at once since the start, because too many were open',
    () => sources.callerConnections().refusedCount,
  );
  gauge(
    'toucanrouter_caller_connections_displaced',
    'Silent, idle or stalled connections of callers closed since the start in favor of others',
    () => sources.callerConnections().displacedCount,
  );
  new Gauge({
    name: 'toucanrouter_listener_open',
    help: '1 while a listener is open, by whom it serves',
    labelNames: ['purpose'],
    registers,
    collect() {
      for (const {isOpen, purpose} of sources.listeners()) {
        this.set({purpose}, Number(isOpen));
      }
    },
  });
  return {
    observe: ended => {
      const classLabel = ended.classId ?? noClassLabel;
      requests.inc({class: classLabel, outcome: ended.outcome});
      const retryCount = ended.upstreams.length - 1;
      if (retryCount > 0) retries.inc({class: classLabel}, retryCount);
      if (ended.firstAnswerMs === undefined) return;
      firstResponse.observe(
        {class: classLabel},
        ended.firstAnswerMs / msPerSecond,
      );
    },
    observeRefusal: (service, asksForPause) =>
      refusals.inc({service, pause: String(asksForPause)}),
    observeResumption: outcome => resumptions.inc({outcome}),
    observeShed: (tier, reason) => shed.inc({tier: String(tier), reason}),
    observeUnanswered: (stage, isStopping) =>
      unanswered.inc({stage, stopping: String(isStopping)}),
    render: () => registry.metrics(),
    contentType: registry.contentType,
  };
}
