/**
 * Refuses requests while the instance has too little processor time to answer
 * them in time. The delay of the event loop that is acceptable follows from the
 * target latencies of the routes in force. Readiness does not depend on it: an
 * instance that refuses some requests serves the others, and if it were taken
 * out its load would go to instances that are as busy.
 */
import type {Clock, LoopDelay, RandomSource} from '@toucanrouter/common';
import {createLoopDelay, createLoopUtilization} from '@toucanrouter/common';
import type {Logger} from '@toucanrouter/logging';
import type {SheddingReason} from '@toucanrouter/policy';
import {createLoadShedding} from '@toucanrouter/policy';
import type {ActiveConfig} from '../config/ActiveConfig.js';
import type {GatewayRoute} from '../config/GatewayConfig.js';

/** A request that is to be admitted. */
export interface LoadedRequest {
  readonly tier: number;
  /** Time from its reading to the timeout of the caller or the route. */
  readonly limitMs: number;
}

/** Admits requests as far as the processor time allows. */
export interface LoadControl {
  /** Time for which a request that is read now may have waited unread. */
  unreadMs(): number;
  /** Returns why a request is refused, if it is. */
  tryAdmit(request: LoadedRequest): string | undefined;
  /** Share of the requests that is admitted, from 0 to 1. */
  admittedShare(): number;
  readonly loopDelay: LoopDelay;
}

/** Options of load control. */
export interface LoadControlOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: RandomSource;
  /** Share of the time since its last call in which the loop did not wait. */
  readonly loopUtilization?: () => number;
  /** Time until the requests that were read, up to a tier, have begun. */
  readonly queueWaitMs: (tier?: number) => number;
  readonly config: Pick<ActiveConfig, 'current'>;
  /** Called with each request that is refused. */
  readonly onRefused: (tier: number, reason: SheddingReason) => void;
  /** Called with each sample of the delay of the event loop. */
  readonly onDelaySample?: (delayMs: number) => void;
}

/** Share of the shortest target latency that requests may wait unread. */
const targetDelayShare = 0.5;
/** Shorter delays are usual when garbage is collected. */
const minTargetDelayMs = 100;
/** Time between two reports that load is shed. */
const reportIntervalMs = 10_000;

function targetDelayFor(routes: readonly GatewayRoute[]): number {
  const shortestMs = Math.min(...routes.map(route => route.targetLatencyMs));
  return Math.max(minTargetDelayMs, shortestMs * targetDelayShare);
}

/** Creates load control; its measurement of the delay has not started. */
export function createLoadControl({
  clock,
  logger,
  random,
  config,
  queueWaitMs,
  onRefused,
  onDelaySample = () => undefined,
  loopUtilization = createLoopUtilization(),
}: LoadControlOptions): LoadControl {
  let targetOfRoutes: readonly GatewayRoute[] = [];
  let targetMs = Infinity;
  let refusedCount = 0;
  let isReported = false;
  let nextReportMs = -Infinity;

  function targetDelayMs(): number {
    const routes = config.current()?.routes ?? [];
    if (routes !== targetOfRoutes) {
      targetOfRoutes = routes;
      targetMs = targetDelayFor(routes);
    }
    return targetMs;
  }

  function onChange(isShedding: boolean): void {
    const nowMs = clock.nowMs();
    if (isShedding && nowMs >= nextReportMs) {
      isReported = true;
      refusedCount = 0;
      nextReportMs = nowMs + reportIntervalMs;
      logger.warn('load is shed for lack of processor time', {
        loopDelayMs: Math.round(loopDelay.recentMaxMs()),
        targetDelayMs: Math.round(targetDelayMs()),
      });
    } else if (!isShedding && isReported) {
      isReported = false;
      logger.info('load is no longer shed', {refusedCount});
    }
  }

  const shedding = createLoadShedding({
    targetDelayMs,
    loopUtilization,
    onChange,
  });
  const loopDelay = createLoopDelay({
    clock,
    onSample: delayMs => {
      shedding.observeDelay(delayMs + queueWaitMs(), clock.nowMs());
      onDelaySample(delayMs);
    },
  });

  return {
    loopDelay,
    unreadMs: () => {
      const delayMs = loopDelay.currentMs();
      return delayMs > targetDelayMs() ? delayMs : 0;
    },
    tryAdmit: ({tier, limitMs}) => {
      const delayMs = loopDelay.currentMs() + queueWaitMs(tier);
      const draw = random.next();
      const reason = shedding.decide({tier, limitMs, delayMs, draw});
      if (reason === undefined) return undefined;
      refusedCount += 1;
      onRefused(tier, reason);
      return reason === 'late'
        ? `the time left is shorter than the delay of ${Math.round(delayMs)} ms`
        : 'the instance has too little processor time';
    },
    admittedShare: shedding.admittedShare,
  };
}
