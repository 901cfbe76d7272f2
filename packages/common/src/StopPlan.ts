/**
 * Plans the stop of an instance within the grace period that its platform
 * grants. The reserve at the end grows with the measured delay of the event
 * loop: a process that gets little processor time also answers and closes late,
 * so it has to begin sooner. A plan only moves forward, since its reserve never
 * shrinks.
 */

/** The phases of a stop, in their order. */
export type StopPhase =
  /** The load balancer is told; requests are served. */
  | 'notice'
  /** New requests are refused, new connections are accepted. */
  | 'refusal'
  /** New connections are refused; open requests go on. */
  | 'drain'
  /** Open requests get their final answers. */
  | 'last_answers'
  /** Connections are closed. */
  | 'closing';

/** The plan of one stop. */
export interface StopPlan {
  /** The phase at a time. It depends on the delays that were seen so far. */
  phase(nowMs: number): StopPhase;
  /** Time until open requests get their final answers; negative afterwards. */
  untilLastAnswersMs(nowMs: number): number;
  /** Time until connections are closed; negative afterwards. */
  untilClosingMs(nowMs: number): number;
  /** Time that is set aside at the end of the grace period. */
  reserveMs(): number;
}

/** Options of a stop plan. */
export interface StopPlanOptions {
  /** When the process learned of the stop. */
  readonly receivedAtMs: number;
  /** Longest time for which the signal can have waited for the event loop. */
  readonly signalDelayMs: number;
  /** Time from the request to stop until the platform ends the process. */
  readonly graceMs: number;
  /** Time until the load balancer sends no more requests. */
  readonly noticeMs: number;
  /** Current delay of the event loop. */
  readonly loopDelayMs: () => number;
}

/** Share of the grace period that is reserved without any delay. */
const minReserveShare = 0.1;
/**
 * Callers may expect responses that make progress to go on for five sixths of
 * the grace period. A little less is reserved than the rest, since the signal may
 * have waited for a shorter time than assumed.
 */
const maxReserveShare = 0.16;
/** Steps of the reserve that each may wait for the event loop. */
const reserveLoopTurns = 4;
/** Part of the reserve in which final answers are sent. */
const lastAnswersShare = 0.4;
/**
 * Time for callers that the load balancer sent last. They get a refusal on a
 * connection, and later ones a refused connection.
 */
export const refusalMs = 400;

/** Creates the plan of a stop that begins now. */
export function createStopPlan({
  receivedAtMs,
  signalDelayMs,
  graceMs,
  noticeMs,
  loopDelayMs,
}: StopPlanOptions): StopPlan {
  let longestDelayMs = loopDelayMs();
  const graceEndMs = receivedAtMs - signalDelayMs + graceMs;

  function reserveMs(): number {
    longestDelayMs = Math.max(longestDelayMs, loopDelayMs());
    return Math.min(
      graceMs * maxReserveShare,
      graceMs * minReserveShare + longestDelayMs * reserveLoopTurns,
    );
  }

  const lastAnswersAtMs = () => graceEndMs - reserveMs();
  // A notice that would leave no time to refuse what arrives is cut short.
  const refusalAtMs = () =>
    Math.min(receivedAtMs + noticeMs, lastAnswersAtMs() - refusalMs);
  const plannedClosingAtMs = () =>
    graceEndMs - reserveMs() * (1 - lastAnswersShare);
  // The signal may have waited for a shorter time than the longest one, so there
  // may be time for the last answers although the plan leaves none.
  const minClosingAtMs =
    plannedClosingAtMs() > receivedAtMs
      ? -Infinity
      : receivedAtMs + reserveMs() * lastAnswersShare;
  const closingAtMs = () => Math.max(plannedClosingAtMs(), minClosingAtMs);

  return {
    phase: nowMs => {
      if (nowMs >= closingAtMs()) return 'closing';
      if (nowMs >= lastAnswersAtMs()) return 'last_answers';
      if (nowMs >= refusalAtMs() + refusalMs) return 'drain';
      return nowMs >= refusalAtMs() ? 'refusal' : 'notice';
    },
    untilLastAnswersMs: nowMs => lastAnswersAtMs() - nowMs,
    untilClosingMs: nowMs => closingAtMs() - nowMs,
    reserveMs,
  };
}
