/**
 * Refusals: which request is refused, with which error, and when its caller
 * should try again.
 */
import type {RefuseKind, SchedulerEffect} from '@toucanrouter/common';
import {liveUpstreams} from './Placement.js';
import {attemptKey} from './Queue.js';
import type {SchedulerState} from './SchedulerState.js';
import {tierOf} from './SchedulerState.js';
import type {QueuedRequest} from './SchedulerTypes.js';

/** Delay that is spread over a range as wide as itself. */
function retryAfterMs(state: SchedulerState): number {
  const {retryAfterMinMs, retryAfterMaxMs} = state.parameters;
  const spreadMs = retryAfterMinMs * (1 + state.options.random.next());
  return Math.round(Math.min(spreadMs, retryAfterMaxMs));
}

/** Refuses a waiting request. */
export function refuse(
  state: SchedulerState,
  entry: QueuedRequest,
  error: RefuseKind,
): void {
  const {request} = entry;
  const effect: SchedulerEffect = {
    kind: 'refuse',
    holder: request.holder,
    requestId: request.requestId,
    attempt: request.attempt,
    error,
    retryAfterMs: retryAfterMs(state),
  };
  state.queue.remove(entry);
  state.endedAttempts.set(attemptKey(request), effect);
  state.counters.refused += 1;
  state.effects.push(effect);
}

/** Refuses requests whose callers no longer want the answer. */
export function refuseExpired(state: SchedulerState, nowMs: number): void {
  for (const entry of state.queue.entries()) {
    if (entry.request.deadlineAtMs > nowMs) continue;
    refuse(state, entry, 'deadline_exceeded');
  }
}

/** Refuses requests that no live upstream may serve. */
export function refuseUnplaceable(state: SchedulerState): void {
  const live = liveUpstreams(state.tracker);
  for (const entry of state.queue.entries()) {
    const {exclude} = entry.request;
    if (live.some(id => !exclude.includes(id))) continue;
    refuse(state, entry, 'no_upstream');
  }
}

/** Refuses the newest requests of the lowest tier until the queue fits. */
export function refuseOverflow(state: SchedulerState): void {
  while (state.queue.size > state.parameters.maxQueued) {
    const victim = newestOfLowestTier(state);
    if (victim === undefined) return;
    refuse(state, victim, 'overloaded');
  }
}

function newestOfLowestTier(state: SchedulerState): QueuedRequest | undefined {
  let victim: QueuedRequest | undefined;
  for (const entry of state.queue.entries()) {
    if (victim === undefined || evictedBefore(state, entry, victim)) {
      victim = entry;
    }
  }
  return victim;
}

function evictedBefore(
  state: SchedulerState,
  a: QueuedRequest,
  b: QueuedRequest,
): boolean {
  const tierDifference = tierOf(state, a.request) - tierOf(state, b.request);
  if (tierDifference !== 0) return tierDifference > 0;
  return a.order > b.order;
}
