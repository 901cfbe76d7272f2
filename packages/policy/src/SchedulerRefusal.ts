/**
 * Refusal of queued requests, with the error kind and a Retry-After value.
 */
import type {RefusalKind, SchedulerEffect, Tier} from '@toucanrouter/common';
import {liveUpstreams} from './Placement.js';
import {attemptKey} from './Queue.js';
import type {SchedulerState} from './SchedulerState.js';
import {tierOf} from './SchedulerState.js';
import type {QueuedRequest} from './SchedulerTypes.js';
import {estimateWaitMs} from './SchedulerWait.js';

/**
 * Returns a delay based on the estimated wait. Jitter of up to the same length
 * is added, so that refused callers do not retry at the same time.
 */
function retryAfterMs(
  state: SchedulerState,
  tier: Tier,
  nowMs: number,
): number {
  const {retryAfterMinMs, retryAfterMaxMs} = state.parameters;
  const waitMs = estimateWaitMs(state, tier, nowMs) ?? 0;
  const shortestMs = Math.min(
    Math.max(waitMs, retryAfterMinMs),
    retryAfterMaxMs / 2,
  );
  return Math.round(shortestMs * (1 + state.options.random.next()));
}

/** Refuses a queued request and records the response for its attempt. */
export function refuse(
  state: SchedulerState,
  entry: QueuedRequest,
  error: RefusalKind,
  nowMs: number,
): void {
  const {request} = entry;
  const effect: SchedulerEffect = {
    kind: 'refuse',
    holder: request.holder,
    requestId: request.requestId,
    attempt: request.attempt,
    error,
    retryAfterMs: retryAfterMs(state, tierOf(state, request), nowMs),
  };
  state.queue.remove(entry);
  state.endedAttempts.set(attemptKey(request), effect);
  state.counters.refused += 1;
  state.effects.push(effect);
}

/** Refuses requests whose deadline has passed. */
export function refuseExpired(state: SchedulerState, nowMs: number): void {
  for (const entry of state.queue.entries()) {
    if (entry.request.deadlineAtMs > nowMs) continue;
    refuse(state, entry, 'deadline_exceeded', nowMs);
  }
}

/** Refuses requests that no live upstream may serve. */
export function refuseUnplaceable(state: SchedulerState, nowMs: number): void {
  const live = liveUpstreams(state.tracker);
  for (const entry of state.queue.entries()) {
    const {exclude} = entry.request;
    if (live.some(id => !exclude.includes(id))) continue;
    refuse(state, entry, 'no_upstream', nowMs);
  }
}
