/**
 * Decides whether and how an entry instance continues a request whose attempt
 * on an upstream ended early.
 */
import type {ErrorKind} from '@toucanrouter/common';

/** Why an attempt ended without a complete response. */
export type AttemptEndReason =
  /** The connection failed before the upstream received anything. */
  | 'not_sent'
  /** The upstream refused the request and did not run it. */
  | 'refused'
  /** The connection or the stream was interrupted. */
  | 'broken'
  /** The response failed the check of its id, end marker or length. */
  | 'invalid'
  /** The scheduler preempted the permit. */
  | 'preempted';

/** State of a request at the end of an attempt. */
export interface RecoveryState {
  readonly endReason: AttemptEndReason;
  readonly idempotent: boolean;
  /** Attempts made so far, without those that ended by preemption. */
  readonly attempts: number;
  readonly nowMs: number;
  readonly deadlineAtMs: number;
  /** Tokens received in all attempts, from which the next one can continue. */
  readonly receivedTokens: number;
  /** True once any byte of the response has been relayed to the caller. */
  readonly relayed: boolean;
  /** True when the engine resumes streams and the last event id is known. */
  readonly resumable: boolean;
  /** True when the same upstream is in service and not a straggler. */
  readonly sameUpstreamUsable: boolean;
  /** True when the last attempt was a resume that failed. */
  readonly resumeFailed: boolean;
  /** True when another engine can continue the prefix, which is plain text. */
  readonly continuable: boolean;
  /** True when another upstream is in service. */
  readonly otherUpstreamUsable: boolean;
}

/** The next step of a request; only `fail` ends it. */
export type RecoveryDecision =
  | {readonly kind: 'resume'}
  | {readonly kind: 'continue'}
  | {readonly kind: 'restart'}
  | {readonly kind: 'fail'; readonly error: ErrorKind};

/** Failed attempts after which a request fails; preemptions do not count. */
export const maxAttempts = 3;

type NextAttempt = Exclude<RecoveryDecision, {readonly kind: 'fail'}>;

function canReuseTokens(state: RecoveryState): boolean {
  // A response that failed its check must not be continued.
  return state.receivedTokens > 0 && state.endReason !== 'invalid';
}

function nextAttempt(state: RecoveryState): NextAttempt | undefined {
  const reusesTokens = canReuseTokens(state);
  const sameUsable = state.sameUpstreamUsable && !state.resumeFailed;
  const anyUsable = state.otherUpstreamUsable || state.sameUpstreamUsable;
  if (reusesTokens && state.resumable && sameUsable) return {kind: 'resume'};
  if (reusesTokens && state.continuable && anyUsable) return {kind: 'continue'};
  // Bytes that were relayed to the caller cannot be withdrawn.
  if (!state.relayed && anyUsable) return {kind: 'restart'};
  return undefined;
}

function neverRan(state: RecoveryState): boolean {
  const didNotRun =
    state.endReason === 'not_sent' || state.endReason === 'refused';
  return didNotRun && state.attempts <= 1 && state.receivedTokens === 0;
}

function failureKind(state: RecoveryState): ErrorKind {
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

function mayAttemptAgain(state: RecoveryState): boolean {
  if (!state.idempotent || state.nowMs >= state.deadlineAtMs) return false;
  return state.endReason === 'preempted' || state.attempts < maxAttempts;
}

/**
 * Decides on the next attempt. `tryRetry` spends one retry of the budget and is
 * called only when an attempt would follow. An attempt after a preemption is no
 * retry and spends no budget.
 */
export function decideRecovery(
  state: RecoveryState,
  tryRetry: () => boolean,
): RecoveryDecision {
  const next = mayAttemptAgain(state) ? nextAttempt(state) : undefined;
  const affordable =
    next !== undefined && (state.endReason === 'preempted' || tryRetry());
  if (next !== undefined && affordable) return next;
  return {kind: 'fail', error: failureKind(state)};
}
