/**
 * Spreads the work of requests over turns of the event loop. Node.js accepts one
 * connection for each listener in a turn, so callers wait for their connection
 * as many turns as connections arrive in one. Turns therefore stay short: at most
 * one request begins in each, the most urgent tier first, and within a tier in
 * the order of arrival.
 *
 * A connection that waits to be accepted is in no queue that the process knows:
 * its request can't be ordered by tier, nor refused before its caller's limit.
 * So after a turn that accepted one, further turns only read, and no request
 * begins until a turn finds none, or enough of them have passed.
 */
import type {Clock} from '@toucanrouter/common';

/** Requests that wait for their turn. */
export interface TurnQueue {
  /** Resolves in a later turn of the event loop. */
  next(tier: number): Promise<void>;
  /**
   * Time until all of them have begun, or those up to `tier`, as far as recent
   * turns show.
   */
  waitMs(tier?: number): number;
  /** To be called for each connection that is accepted. */
  connectionAccepted(): void;
}

/** Options of a queue. */
export interface TurnQueueOptions {
  readonly clock: Clock;
  /** Calls `run` in the next turn of the event loop. */
  readonly afterTurn?: (run: () => void) => void;
}

interface Waiting {
  readonly tier: number;
  readonly start: () => void;
}

/** Weight of the latest time between two requests in its average. */
const latestWeight = 0.1;
/**
 * A longer turn counts as this long: it is a pause of the process, which says
 * nothing about the turns that follow. While it lasts, the delay of the event
 * loop shows it.
 */
const maxCountedTurnMs = 100;
/** Callers that connect without end must not keep requests from beginning. */
const maxReadingTurns = 10;

/** Creates a queue in which no request waits. */
export function createTurnQueue({
  clock,
  afterTurn = run => setImmediate(run),
}: TurnQueueOptions): TurnQueue {
  const waiting: Waiting[] = [];
  let averagePassedMs = 0;
  let turnStartMs = 0;
  /** Time since a request began, or since the queue was empty. */
  let passedMs = 0;
  let hasAccepted = false;
  let readingTurns = 0;

  function scheduleNext(): void {
    turnStartMs = clock.nowMs();
    afterTurn(startNext);
  }

  function startNext(): void {
    const onlyReads = hasAccepted && readingTurns < maxReadingTurns;
    hasAccepted = false;
    readingTurns = onlyReads ? readingTurns + 1 : 0;
    passedMs += Math.min(clock.nowMs() - turnStartMs, maxCountedTurnMs);
    if (onlyReads) return scheduleNext();
    averagePassedMs += (passedMs - averagePassedMs) * latestWeight;
    passedMs = 0;
    const first = waiting.shift();
    if (waiting.length > 0) scheduleNext();
    first?.start();
  }

  return {
    next: tier =>
      new Promise(start => {
        const index = waiting.findLastIndex(other => other.tier <= tier) + 1;
        waiting.splice(index, 0, {tier, start});
        if (waiting.length === 1) scheduleNext();
      }),
    waitMs: (tier = Infinity) => {
      const count = waiting.findLastIndex(other => other.tier <= tier) + 1;
      return count * averagePassedMs;
    },
    connectionAccepted: () => {
      hasAccepted = true;
    },
  };
}
