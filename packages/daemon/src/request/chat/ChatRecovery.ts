/**
 * What follows when an attempt to serve a chat-completion call has ended early.
 */
import {RouterError} from '@toucanrouter/common';
import type {RecoveryDecision} from '@toucanrouter/policy';
import {decideRecovery} from '@toucanrouter/policy';
import {hasOtherUpstream} from '../UpstreamAccess.js';
import type {ChatState, FinishedAttempt} from './ChatState.js';

/** Decides on the next attempt and notes what it must avoid. */
export function recover(
  state: ChatState,
  finished: FinishedAttempt,
): RecoveryDecision {
  const {access, exchange, transcript} = state;
  const {granted, preempted} = finished;
  const nowMs = access.clock.nowMs();
  const upstreamId = granted.upstream.id;
  const current = access.directory.find(upstreamId);
  state.lastUpstreamId = upstreamId;
  if (!preempted) {
    // An answer that goes on between faults comes to its end.
    const progressed = transcript.tokens > state.tokensBefore;
    state.faults = progressed ? 1 : state.faults + 1;
    if (finished.end.kind === 'rejected') state.excluded.add(upstreamId);
  }
  const started = transcript.tokens > 0;
  const decision = decideRecovery(
    {
      endReason: recoveryEnd(finished),
      idempotent: true,
      attempts: state.faults,
      nowMs,
      deadlineAtMs: started ? Infinity : exchange.deadlineAtMs,
      // The first event carries no token, yet it cannot be relayed twice.
      receivedTokens: exchange.response.started
        ? Math.max(1, transcript.tokens)
        : transcript.tokens,
      relayed: exchange.response.started,
      resumable: transcript.lastEventId !== undefined,
      sameUpstreamUsable:
        current !== undefined && !state.excluded.has(upstreamId),
      resumeFailed: finished.start === 'resume' && !preempted,
      continuable: transcript.prefix() !== undefined,
      otherUpstreamUsable: hasOtherUpstream(access, state.shardId, upstreamId),
    },
    () => access.retryBudget.tryRetry(nowMs),
  );
  if (decision.kind === 'continue' || decision.kind === 'restart') {
    if (!preempted) state.excluded.add(upstreamId);
  }
  if (decision.kind === 'restart') {
    exchange.figures.wastedTokens += transcript.tokens;
  }
  return decision;
}

function recoveryEnd(
  finished: FinishedAttempt,
): 'broken' | 'invalid' | 'not_sent' | 'preempted' | 'refused' {
  if (finished.preempted) return 'preempted';
  const {end} = finished;
  if (end.kind === 'rejected') return 'refused';
  if (end.kind === 'broken' && end.error.kind === 'answer_incomplete') {
    return 'invalid';
  }
  return 'broken';
}

/** The error of a call that is not tried again. */
export function failure(
  decision: Extract<RecoveryDecision, {kind: 'fail'}>,
  finished: FinishedAttempt,
): RouterError {
  const {end} = finished;
  if (end.kind === 'rejected' && isCallerFault(end.status)) {
    const detail = end.body.toString('utf8');
    const message = `the engine refused the request: ${detail}`;
    return new RouterError('bad_request', message);
  }
  const reason =
    end.kind === 'broken'
      ? end.error.message
      : 'the answer stopped before its end marker';
  return new RouterError(decision.error, reason);
}

function isCallerFault(status: number): boolean {
  return status === 400 || status === 413 || status === 422;
}
