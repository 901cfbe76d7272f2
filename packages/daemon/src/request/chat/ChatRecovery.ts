/**
 * Recovery of a chat-completion call after an attempt that ended early.
 */
import type {UpstreamId} from '@toucanrouter/common';
import {errorResponseFor, RouterError, shardOf} from '@toucanrouter/common';
import type {RecoveryDecision} from '@toucanrouter/policy';
import {decideRecovery, maxAttempts} from '@toucanrouter/policy';
import type {GrantedUpstream} from '../UpstreamAccess.js';
import {hasOtherUnpaused, hasOtherUpstream} from '../UpstreamAccess.js';
import {isPauseRequest} from './ChatAttempt.js';
import type {ChatState, FinishedAttempt} from './ChatState.js';
import {findOtherVersions} from './ResponseVersion.js';

/**
 * Returns the number of engines that ended while they ran the call. It waits to
 * know only when they may be too many, so that other recoveries are not delayed.
 */
async function countCrashes({breaks}: ChatState): Promise<number> {
  if (breaks.length < maxAttempts) return 0;
  const crashed = await Promise.all(breaks);
  return crashed.filter(Boolean).length;
}

/** Decides on the next attempt and records the upstreams to exclude from it. */
export async function recover(
  state: ChatState,
  finished: FinishedAttempt,
): Promise<RecoveryDecision> {
  const {access, exchange, transcript} = state;
  const {granted, preempted} = finished;
  const crashes = await countCrashes(state);
  const nowMs = access.clock.nowMs();
  const upstreamId = granted.upstream.id;
  const asksForPause = isPauseRequest(access, granted, finished.end);
  const staysUsable = preempted || asksForPause;
  state.lastUpstreamId = upstreamId;
  if (!preempted) {
    // A response that progresses between faults completes in the end, so only
    // faults without progress count up, and engines that end under the call.
    const progressed = transcript.tokens > state.tokensBeforeAttempt;
    state.faults = progressed ? 1 : state.faults + 1;
  }
  const started = transcript.tokens > 0;
  const decision = decideRecovery(
    {
      endReason: endReasonOf(finished),
      idempotent: true,
      attempts: Math.max(state.faults, crashes),
      nowMs,
      deadlineAtMs: started ? Infinity : exchange.deadlineAtMs,
      // The role event carries no token, but it must not be relayed twice.
      receivedTokens: exchange.response.started
        ? Math.max(1, transcript.tokens)
        : transcript.tokens,
      relayed: exchange.response.started,
      resumable: transcript.lastEventId !== undefined,
      sameUpstreamUsable: isSameUsable(state, granted),
      resumeFailed: finished.start === 'resume' && !preempted && !asksForPause,
      continuable:
        transcript.prefix() !== undefined &&
        hasUpstreamToGoOn(state, staysUsable ? undefined : upstreamId),
      otherUpstreamUsable:
        state.reserved !== undefined ||
        hasOtherUpstream(access, state.shardId, upstreamId),
    },
    () => spendRetry(state, nowMs),
  );
  if (decision.kind === 'continue' || decision.kind === 'restart') {
    if (!staysUsable) state.excluded.add(upstreamId);
  }
  if (decision.kind === 'restart') {
    exchange.stats.wastedTokens += transcript.tokens;
    state.origin = undefined;
  }
  return decision;
}

/**
 * Excludes an upstream that rejected the call. One that asks for a pause is
 * kept away by the pause, and may be used after it.
 */
export function excludeRejecting(
  {access, excluded}: ChatState,
  {end, granted, preempted}: FinishedAttempt,
): void {
  if (preempted || end.kind !== 'rejected') return;
  if (!isPauseRequest(access, granted, end)) excluded.add(granted.upstream.id);
}

/**
 * Returns whether the upstream of an attempt may be used again. If it pauses,
 * another upstream is preferred to the wait, as far as the call can move.
 */
function isSameUsable(state: ChatState, {upstream}: GrantedUpstream): boolean {
  const {access, excluded, shardId} = state;
  const listed = access.directory.find(upstream.id);
  if (listed === undefined || excluded.has(upstream.id)) return false;
  if (listed.leaving) return false;
  if (otherVersionIds(state).includes(upstream.id)) return false;
  return (
    access.pausedUpstreams.remainingMs(listed) <= 0 ||
    !canContinueElsewhere(state) ||
    !hasOtherUnpaused(access, shardId, upstream.id, otherVersionIds(state))
  );
}

/** Returns whether another upstream can serve the rest, or the call afresh. */
export function canContinueElsewhere({
  exchange,
  transcript,
}: ChatState): boolean {
  return !exchange.response.started || transcript.prefix() !== undefined;
}

/** Returns the upstreams of versions that may not go on with the response. */
export function otherVersionIds({
  access,
  origin,
  shardId,
}: ChatState): readonly UpstreamId[] {
  const listed = access.directory
    .all()
    .filter(upstream => shardOf(upstream) === shardId);
  return findOtherVersions(origin, listed).map(({id}) => id);
}

/**
 * Returns whether an upstream in service, other than `exceptId`, may go on with
 * the response. Only the version decides: where versions do not differ, a call
 * waits for an upstream.
 */
export function hasUpstreamToGoOn(
  state: ChatState,
  exceptId?: UpstreamId,
): boolean {
  const {access, excluded, shardId} = state;
  const otherIds = otherVersionIds(state);
  if (otherIds.length === 0) return true;
  return access.directory
    .inShard(shardId)
    .some(
      ({id, leaving}) =>
        id !== exceptId &&
        !leaving &&
        !excluded.has(id) &&
        !otherIds.includes(id),
    );
}

/**
 * Forgets a response that no upstream may go on with, so that the call begins
 * afresh. Returns false if the caller has received part of it.
 */
export function discardResponse(state: ChatState): boolean {
  const {exchange, transcript} = state;
  if (exchange.response.started) return false;
  exchange.stats.wastedTokens += transcript.tokens;
  state.origin = undefined;
  return true;
}

/**
 * Sets a retry aside before a running attempt may be given up, so that the call
 * does not fail for lack of one. Returns false if there is none.
 */
export function reserveRetry(state: ChatState): boolean {
  const {clock, retryBudget} = state.access;
  state.retryReservation ??= retryBudget.reserve(clock.nowMs());
  return state.retryReservation !== undefined;
}

function spendRetry(state: ChatState, nowMs: number): boolean {
  const {access, retryReservation} = state;
  if (retryReservation === undefined) return access.retryBudget.tryRetry(nowMs);
  state.retryReservation = undefined;
  return retryReservation.spend(nowMs);
}

const failedEndKinds: ReadonlySet<string> = new Set([
  'broken',
  'ended',
  'rejected',
]);

/** Attempts that fail together when an attempt and its hedge both fail. */
const attemptsWithHedge = 2;

/** Returns whether a hedge that fails keeps the call within its attempts. */
export function mayHedge(state: ChatState): boolean {
  return state.faults + attemptsWithHedge <= maxAttempts;
}

/** Counts an attempt that failed beside the one on whose end `recover` decides. */
export function recordFailedCopy(
  state: ChatState,
  {end, granted}: FinishedAttempt,
): void {
  if (!failedEndKinds.has(end.kind)) return;
  state.faults += 1;
  if (isPauseRequest(state.access, granted, end)) return;
  state.excluded.add(granted.upstream.id);
}

function endReasonOf(
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

/** Returns the error of a call that is not retried. */
export function toCallerError(
  {mayHaveRun}: Pick<ChatState, 'mayHaveRun'>,
  decision: Extract<RecoveryDecision, {kind: 'fail'}>,
  finished: FinishedAttempt,
): RouterError {
  const {end} = finished;
  const rejection = mayHaveRun ? undefined : toRejectionError(finished);
  if (rejection !== undefined) return rejection;
  const reason =
    end.kind === 'broken'
      ? end.error.message
      : 'the response ended before its end marker';
  const claimsNotRun = errorResponseFor(decision.error).runStatus === 'not_run';
  const kind = mayHaveRun && claimsNotRun ? 'upstream_failed' : decision.error;
  return new RouterError(kind, reason);
}

/** Returns the error of an attempt that the engine rejected as invalid. */
export function toRejectionError({
  end,
}: FinishedAttempt): RouterError | undefined {
  if (end.kind !== 'rejected' || !isCallerError(end.status)) return undefined;
  const detail = end.body.toString('utf8');
  const message = `the engine refused the request: ${detail}`;
  return new RouterError('bad_request', message);
}

function isCallerError(status: number): boolean {
  return status === 400 || status === 413 || status === 422;
}
