/**
 * What upstreams say about themselves in the heads of their responses: that they
 * leave, which the registry keeps, or that they want no further request for some
 * time. Until then this instance sends them none. A pause belongs to one process
 * of the upstream, so it outlasts changes of its entry, but not a restart.
 */
import type {Clock} from '@toucanrouter/common';
import type {Logger} from '@toucanrouter/logging';
import type {UpstreamProcess} from '@toucanrouter/policy';
import {createUpstreamPauses} from '@toucanrouter/policy';
import type {UpstreamResponse} from '../request/Dialect.js';
import type {UpstreamEntry} from './UpstreamEntry.js';
import {processKeyOf} from './UpstreamEntry.js';

/** The parts of a response head that notices depend on. */
export type NoticeHead = Pick<
  UpstreamResponse,
  'leaving' | 'misdirected' | 'retryAfter' | 'status'
>;

/** Receives the response heads of upstreams, and tells which ones pause. */
export interface UpstreamNotices {
  /**
   * Handles the head of a response to a request that was sent to `entry`.
   * Returns true if it rejects the request and asks for a pause.
   */
  receive(entry: UpstreamEntry, requestId: string, head: NoticeHead): boolean;
  /** Time until the upstream accepts requests; 0 if it does not pause. */
  pauseRemainingMs(entry: UpstreamEntry): number;
  /** Ends the pauses of processes that the one of `entry` has replaced. */
  upstreamAdded(entry: UpstreamEntry): void;
  /** Returns the number of upstreams that pause now. */
  pausedCount(): number;
  close(): void;
}

/** Options of {@link createUpstreamNotices}. */
export interface UpstreamNoticesOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Called for each response in which an upstream announces that it leaves. */
  readonly onLeaving: (entry: UpstreamEntry, requestId: string) => void;
  /** Called for each response that rejects a request for lack of capacity. */
  readonly onRefused: (entry: UpstreamEntry, asksForPause: boolean) => void;
}

/** A pause whose end was not logged yet. */
interface OpenPause {
  readonly entry: UpstreamEntry;
  /** The request whose response asked for the pause. */
  readonly requestId: string;
  readonly startedAtMs: number;
  cancelEnd: () => void;
}

type PauseEnd = 'a new process runs' | 'its time has passed';

const serviceUnavailableStatus = 503;

function processOf({id, startedAtMs}: UpstreamEntry): UpstreamProcess {
  return {id, start: startedAtMs};
}

/** True if `next` is another process of the upstream, or at its address. */
function replaces(next: UpstreamEntry, previous: UpstreamEntry): boolean {
  return next.id === previous.id
    ? next.startedAtMs !== previous.startedAtMs
    : next.host === previous.host && next.port === previous.port;
}

/** Creates the receiver of an instance. */
export function createUpstreamNotices(
  options: UpstreamNoticesOptions,
): UpstreamNotices {
  const {clock, logger} = options;
  const pauses = createUpstreamPauses();
  const openPauses = new Map<string, OpenPause>();

  const pauseRemainingMs = (entry: UpstreamEntry) =>
    pauses.remainingMs(processOf(entry), clock.nowMs());

  function fieldsOf({id, service}: UpstreamEntry, requestId: string) {
    return {upstream: id, service, requestId};
  }

  function endPause(pause: OpenPause, reason: PauseEnd): void {
    pause.cancelEnd();
    openPauses.delete(processKeyOf(pause.entry));
    logger.info('upstream pause ended', {
      ...fieldsOf(pause.entry, pause.requestId),
      reason,
      pausedMs: Math.round(clock.nowMs() - pause.startedAtMs),
    });
  }

  /** The pause may have been extended, or the timer may be early. */
  function scheduleEnd(pause: OpenPause): void {
    const remainingMs = pauseRemainingMs(pause.entry);
    if (remainingMs <= 0) endPause(pause, 'its time has passed');
    else {
      pause.cancelEnd = clock.after(remainingMs, () => scheduleEnd(pause));
    }
  }

  function beginPause(
    entry: UpstreamEntry,
    requestId: string,
    delayMs: number,
  ): void {
    const previous = openPauses.get(processKeyOf(entry));
    if (previous !== undefined) endPause(previous, 'its time has passed');
    logger.info('upstream pause began', {
      ...fieldsOf(entry, requestId),
      delayMs,
    });
    const pause: OpenPause = {
      entry,
      requestId,
      startedAtMs: clock.nowMs(),
      cancelEnd: () => undefined,
    };
    openPauses.set(processKeyOf(entry), pause);
    scheduleEnd(pause);
  }

  return {
    receive: (entry, requestId, head) => {
      const {leaving, misdirected, retryAfter, status} = head;
      // Another process responded at the address.
      if (misdirected) return false;
      if (leaving) options.onLeaving(entry, requestId);
      if (status !== serviceUnavailableStatus) return false;
      const {delayMs = 0, problem} = retryAfter;
      options.onRefused(entry, delayMs > 0);
      if (problem !== undefined) {
        logger.warn('an upstream sent an unusable Retry-After', {
          ...fieldsOf(entry, requestId),
          problem,
        });
      }
      if (delayMs <= 0) return false;
      const nowMs = clock.nowMs();
      const change = pauses.request(processOf(entry), delayMs, nowMs);
      if (change === 'began') beginPause(entry, requestId, delayMs);
      return true;
    },
    pauseRemainingMs,
    upstreamAdded: entry => {
      for (const pause of [...openPauses.values()]) {
        if (replaces(entry, pause.entry)) endPause(pause, 'a new process runs');
      }
    },
    pausedCount: () => openPauses.size,
    close: () => {
      for (const {cancelEnd} of openPauses.values()) cancelEnd();
      openPauses.clear();
    },
  };
}
