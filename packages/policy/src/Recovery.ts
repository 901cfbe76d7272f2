/**
 * Decides what an entry instance does with a request whose upstream attempt
 * ended early.
 */
import type {ErrorKind} from '@toucanrouter/common';

/** Why an attempt ended without a complete answer. */
export type AttemptEnd =
  /** The connection could not be made; the upstream saw nothing. */
  | 'not_sent'
  /** The upstream refused the request and did not run it. */
  | 'refused'
  /** The connection or the stream broke. */
  | 'broken'
  /** The answer failed its check of id, end marker or length. */
  | 'invalid'
  /** The scheduler took the permit back. */
  | 'preempted';

/** A request at the end of an attempt. */
export interface RecoveryState {
  readonly endReason: AttemptEnd;
  readonly idempotent: boolean;
  /** Attempts made so far; those ended by preemption do not count. */
  readonly attempts: number;
  readonly nowMs: number;
  readonly deadlineAtMs: number;
  /** Tokens received in all attempts that the next one can build on. */
  readonly receivedTokens: number;
  /** True once any byte of the answer has been passed on to the caller. */
  readonly relayed: boolean;
  /** The engine resumes streams and the id of the last event is known. */
  readonly resumable: boolean;
  /** The same upstream may be used again: in service and not a straggler. */
  readonly sameUpstreamUsable: boolean;
  /** The last attempt was itself a resume that failed. */
  readonly resumeFailed: boolean;
  /** The received prefix is plain text that another engine can continue. */
  readonly continuable: boolean;
  /** Another upstream is in service. */
  readonly otherUpstreamUsable: boolean;
}

/** What to do next. Only the last one ends the request. */
export type RecoveryDecision =
  | {readonly kind: 'resume'}
  | {readonly kind: 'continue'}
  | {readonly kind: 'restart'}
  | {readonly kind: 'fail'; readonly error: ErrorKind};

/** Attempts of one request that are lost to faults, at most. */
export const maxAttempts = 3;

type NextAttempt = Exclude<RecoveryDecision, {readonly kind: 'fail'}>;

function maySalvage(state: RecoveryState): boolean {
  // A prefix that failed its check must not be built on.
  return state.receivedTokens > 0 && state.endReason !== 'invalid';
}

function nextAttempt(state: RecoveryState): NextAttempt | undefined {
  const salvage = maySalvage(state);
  const sameUsable = state.sameUpstreamUsable && !state.resumeFailed;
  const anyUsable = state.otherUpstreamUsable || state.sameUpstreamUsable;
  if (salvage && state.resumable && sameUsable) return {kind: 'resume'};
  if (salvage && state.continuable && anyUsable) return {kind: 'continue'};
  // Bytes that the caller has seen cannot be taken back.
  if (!state.relayed && anyUsable) return {kind: 'restart'};
  return undefined;
}

function neverRan(state: RecoveryState): boolean {
  const didNotRun =
    state.endReason === 'not_sent' || state.endReason === 'refused';
  return didNotRun && state.attempts <= 1 && state.receivedTokens === 0;
}

function failure(state: RecoveryState): ErrorKind {
  if (neverRan(state)) {
    return state.nowMs >= state.deadlineAtMs
      ? 'deadline_exceeded'
      : 'no_upstream';
  }
  if (!state.idempotent) return 'outcome_unknown';
  return state.receivedTokens > 0 || state.endReason === 'invalid'
    ? 'answer_incomplete'
    : 'upstream_failed';
}

function isAllowed(state: RecoveryState): boolean {
  if (!state.idempotent || state.nowMs >= state.deadlineAtMs) return false;
  return state.endReason === 'preempted' || state.attempts < maxAttempts;
}

/**
 * Decides on the next attempt. `tryRetry` takes one retry from the budget and
 * is called only when an attempt would follow; an attempt after preemption is
 * no retry and needs no budget.
 */
export function decideRecovery(
  state: RecoveryState,
  tryRetry: () => boolean,
): RecoveryDecision {
  const next = isAllowed(state) ? nextAttempt(state) : undefined;
  const affordable =
    next !== undefined && (state.endReason === 'preempted' || tryRetry());
  if (next !== undefined && affordable) return next;
  return {kind: 'fail', error: failure(state)};
}
