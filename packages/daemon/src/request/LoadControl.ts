/**
 * Refuses calls while the instance has too little processor time to serve them
 * in time. The delay of the event loop that is acceptable follows from the
 * targets of the classes in force. Readiness does not depend on it: an instance
 * that refuses some calls serves the others, and if it were taken out its load
 * would go to instances that are as busy.
 */
import type {
  Clock,
  LoopDelay,
  RandomSource,
  ServiceClass,
} from '@toucanrouter/common';
import {
  createLoopDelay,
  createLoopUtilization,
  RouterError,
} from '@toucanrouter/common';
import type {Logger} from '@toucanrouter/logging';
import type {SheddingReason} from '@toucanrouter/policy';
import {createLoadShedding} from '@toucanrouter/policy';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';

/** A call that is to be admitted. */
export interface LoadedCall {
  /** 0 is the most urgent. */
  readonly tier: number;
  /** Time from the arrival of the call to the timeout of its caller. */
  readonly timeoutMs: number;
}

/** Calls that were refused for lack of processor time. */
export interface ShedCount {
  readonly tier: number;
  readonly reason: SheddingReason;
  readonly count: number;
}

/** Admits calls as far as the processor time allows. */
export interface LoadControl {
  readonly loopDelay: LoopDelay;
  /** Admits a call, or refuses it as not run. */
  admit(call: LoadedCall): Result<void, RouterError>;
  /** How long a caller should wait that is refused for a limit of the process. */
  retryAfterMs(tier: number): number;
  /** Share of the calls that is admitted, from 0 to 1. */
  admittedShare(): number;
  shedCounts(): readonly ShedCount[];
}

/** Options of load control. */
export interface LoadControlOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: RandomSource;
  /** Share of the time since its last call in which the loop did not wait. */
  readonly loopUtilization?: () => number;
  readonly classes: () => readonly ServiceClass[];
  /** Called with each sample of the delay of the event loop. */
  readonly onSample?: (delayMs: number) => void;
}

/** Share of the shortest target that calls may wait unread. */
const targetDelayShare = 0.2;
/** Shorter delays are usual when garbage is collected. */
const minTargetDelayMs = 40;
/** Time between two reports that load is shed. */
const reportIntervalMs = 10_000;
/** A caller that is refused waits at least this long. */
const minRetryAfterMs = 1_000;

/** Creates load control; its measurement of the delay has not started. */
export function createLoadControl({
  clock,
  logger,
  random,
  classes,
  onSample = () => undefined,
  loopUtilization = createLoopUtilization(),
}: LoadControlOptions): LoadControl {
  const shedCounts = new Map<string, ShedCount>();
  let isReported = false;
  let refusedCount = 0;
  let nextReportAtMs = -Infinity;

  function targetDelayMs(): number {
    const shortestMs = Math.min(
      ...classes().map(
        ({maxWaitMs, target}) =>
          target.firstTokenMs ?? target.totalMs ?? maxWaitMs,
      ),
    );
    return Math.max(minTargetDelayMs, shortestMs * targetDelayShare);
  }

  function onChange(isShedding: boolean): void {
    const nowMs = clock.nowMs();
    if (isShedding && nowMs >= nextReportAtMs) {
      isReported = true;
      refusedCount = 0;
      nextReportAtMs = nowMs + reportIntervalMs;
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
      shedding.observeDelay(delayMs, clock.nowMs());
      onSample(delayMs);
    },
  });

  function countShed(tier: number, reason: SheddingReason): void {
    refusedCount += 1;
    const key = `${tier} ${reason}`;
    const count = (shedCounts.get(key)?.count ?? 0) + 1;
    shedCounts.set(key, {tier, reason, count});
  }

  /** Less urgent callers wait longer, and jitter spreads their return. */
  function retryAfterMs(tier: number): number {
    const shortestMs = Math.max(minRetryAfterMs, loopDelay.recentMaxMs());
    return Math.round(shortestMs * (1 + tier) * (1 + random.next()));
  }

  return {
    loopDelay,
    admit: ({tier, timeoutMs}) => {
      const delayMs = loopDelay.currentMs();
      const draw = random.next();
      const limitMs = timeoutMs;
      const reason = shedding.decide({tier, limitMs, delayMs, draw});
      if (reason === undefined) return ok(undefined);
      countShed(tier, reason);
      const message =
        reason === 'late'
          ? 'the instance cannot answer within the caller timeout at present'
          : 'the instance has too little processor time';
      const details = {retryAfterMs: retryAfterMs(tier)};
      return err(new RouterError('overloaded', message, details));
    },
    retryAfterMs,
    admittedShare: shedding.admittedShare,
    shedCounts: () => [...shedCounts.values()],
  };
}
