/**
 * The pauses that upstreams asked this instance for when they rejected a
 * request. Until its end a paused upstream gets no request. A later incarnation
 * does not pause; an instance list that shows an earlier one ends nothing.
 */
import type {
  Clock,
  RequestId,
  Undo,
  UpstreamId,
  UpstreamInfo,
} from '@toucanrouter/common';
import {readRetryAfter} from '@toucanrouter/common';
import type {Logger} from '@toucanrouter/logging';
import type {UpstreamProcess} from '@toucanrouter/policy';
import {createUpstreamPauses} from '@toucanrouter/policy';
import type {UpstreamDirectory} from '../fleet/UpstreamDirectory.js';

/** Requests that upstreams rejected for lack of capacity. */
export interface RefusalCounts {
  readonly withPause: number;
  readonly withoutPause: number;
}

/** Options of {@link createPausedUpstreams}. */
export interface PausedUpstreamsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly directory: UpstreamDirectory;
}

/** The upstreams that pause for this instance. */
export interface PausedUpstreams {
  /**
   * Handles a rejection for lack of capacity with the value of its
   * `Retry-After` header.
   */
  recordRefusal(
    upstream: UpstreamInfo,
    requestId: RequestId,
    retryAfter: string | readonly string[] | undefined,
  ): void;
  /** Time until the pause ends; 0 if there is none. */
  remainingMs(upstream: UpstreamInfo): number;
  /** Returns the number of upstreams that pause now. */
  count(): number;
  refusalCounts(): RefusalCounts;
  close(): void;
}

interface Watch {
  readonly upstream: UpstreamInfo;
  /** The first request that was rejected. */
  readonly requestId: RequestId;
  cancelTimer: Undo;
}

function toProcess({id, incarnation}: UpstreamInfo): UpstreamProcess {
  return {id, start: incarnation};
}

function keyOf({id, incarnation}: UpstreamInfo): string {
  return `${incarnation}/${id}`;
}

/** Creates a record without pauses. */
export function createPausedUpstreams(
  options: PausedUpstreamsOptions,
): PausedUpstreams {
  const {clock, directory, logger} = options;
  const pauses = createUpstreamPauses();
  const watches = new Map<string, Watch>();
  let withPause = 0;
  let withoutPause = 0;

  function end(watch: Watch, reason: 'over' | 'replaced'): void {
    watch.cancelTimer();
    watches.delete(keyOf(watch.upstream));
    const {requestId, upstream} = watch;
    const fields = {upstream: upstream.id, requestId, reason};
    logger.info('the pause of an upstream has ended', fields);
  }

  function endWhenOver(watch: Watch): void {
    const process = toProcess(watch.upstream);
    const remainingMs = pauses.remainingMs(process, clock.nowMs());
    if (remainingMs <= 0) return end(watch, 'over');
    // The pause was extended.
    watch.cancelTimer = clock.after(remainingMs, () => endWhenOver(watch));
  }

  function begin(
    upstream: UpstreamInfo,
    requestId: RequestId,
    delayMs: number,
  ): void {
    const ended = watches.get(keyOf(upstream));
    if (ended !== undefined) end(ended, 'over');
    const fields = {upstream: upstream.id, requestId, delayMs};
    logger.info('an upstream asks for a pause', fields);
    const watch: Watch = {
      upstream,
      requestId,
      cancelTimer: clock.after(delayMs, () => endWhenOver(watch)),
    };
    watches.set(keyOf(upstream), watch);
  }

  function isReplaced({id, incarnation}: UpstreamInfo): boolean {
    const listed = directory.find(id);
    return listed !== undefined && listed.incarnation > incarnation;
  }

  const undoHandler = directory.registerChangeHandler(() => {
    for (const watch of [...watches.values()]) {
      if (isReplaced(watch.upstream)) end(watch, 'replaced');
    }
  });

  function remainingOf(id: UpstreamId, incarnation: number): number {
    const nowMs = clock.nowMs();
    // A lagging list may show an incarnation that has been replaced.
    const remainingMs = pauses
      .paused(nowMs)
      .filter(({id: pausedId, start}) => pausedId === id && start !== undefined)
      .filter(({start = 0}) => start >= incarnation)
      .map(process => pauses.remainingMs(process, nowMs));
    return Math.max(0, ...remainingMs);
  }

  return {
    recordRefusal: (upstream, requestId, retryAfter) => {
      const {delayMs = 0, problem} = readRetryAfter(retryAfter);
      if (problem !== undefined) {
        const fields = {upstream: upstream.id, requestId, problem};
        logger.warn('an upstream sent an unusable Retry-After', fields);
      }
      if (delayMs > 0) withPause += 1;
      else withoutPause += 1;
      const process = toProcess(upstream);
      const change = pauses.request(process, delayMs, clock.nowMs());
      if (change === 'began') begin(upstream, requestId, delayMs);
    },
    remainingMs: ({id, incarnation}) => remainingOf(id, incarnation),
    count: () => watches.size,
    refusalCounts: () => ({withPause, withoutPause}),
    close: () => {
      undoHandler();
      for (const {cancelTimer} of watches.values()) cancelTimer();
      watches.clear();
    },
  };
}
