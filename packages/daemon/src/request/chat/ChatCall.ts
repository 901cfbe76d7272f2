/**
 * Serves one chat-completion call with as many attempts as it needs. After a
 * preemption or a fault the recovery policy decides whether to resume on the
 * same engine, continue on another from the received prefix, or restart.
 */
import type {ShardId, UpstreamId} from '@toucanrouter/common';
import {delayOrAbort, RouterError, toRequestId} from '@toucanrouter/common';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {Exchange} from '../Exchange.js';
import {abortError, classOf, permitError} from '../Exchange.js';
import type {GrantedUpstream, UpstreamAccess} from '../UpstreamAccess.js';
import {
  acquireUpstream,
  hasOtherUnpaused,
  refuseForPauses,
  returnIfUnusable,
} from '../UpstreamAccess.js';
import {runAttempt} from './ChatAttempt.js';
import {
  canContinueElsewhere,
  discardResponse,
  excludeRejecting,
  hasUpstreamToGoOn,
  mayHedge,
  otherVersionIds,
  recordFailedCopy,
  recover,
  reserveRetry,
  toCallerError,
  toRejectionError,
} from './ChatRecovery.js';
import type {ChatRequest} from './ChatRequest.js';
import type {ChatState, FinishedAttempt} from './ChatState.js';
import type {AttemptStart} from './Transcript.js';
import {createTranscript} from './Transcript.js';

/** Limit of the wait for a permit once tokens were received; in effect none. */
const startedPermitTimeoutMs = 24 * 60 * 60 * 1_000;

/**
 * Cost of a prompt token relative to a generated one. Engines process a prompt
 * in parallel, so that a token of it costs about a tenth.
 */
const promptTokenCostFactor = 0.1;

/** Delay before a call that ran already requests a permit again. */
const startedRetryDelayMs = 500;

/** Serves the call; resolves when the response is complete or has failed. */
export async function serveChat(
  access: UpstreamAccess,
  exchange: Exchange,
  request: ChatRequest,
  shardId: ShardId,
): Promise<Result<void, RouterError>> {
  const state: ChatState = {
    access,
    exchange,
    request,
    shardId,
    transcript: createTranscript(
      `chatcmpl-${exchange.requestId}`,
      request.wantsUsage || !request.streamed,
    ),
    excluded: new Set(),
    permitsRequested: 0,
    faults: 0,
    breaks: [],
    tokensBeforeAttempt: 0,
    lastUpstreamId: undefined,
    origin: undefined,
    mayHaveRun: false,
    winner: undefined,
    hedgeRunning: false,
    reserved: undefined,
    retryReservation: undefined,
  };
  access.retryBudget.recordRequest(access.clock.nowMs());
  try {
    return await runAttempts(state);
  } finally {
    state.reserved?.permit.release({outcome: 'unused', wastedTokens: 0});
    state.retryReservation?.close();
  }
}

async function runAttempts(
  state: ChatState,
): Promise<Result<void, RouterError>> {
  const {exchange} = state;
  let start: AttemptStart = 'fresh';
  for (;;) {
    const granted = await acquireAttempt(state, start);
    if (granted.isErr()) {
      if (exchange.signal.aborted || hasUpstreamToGoOn(state)) {
        return err(permitError(exchange, granted.error));
      }
      if (!discardResponse(state)) return err(versionGoneError(state));
      start = 'fresh';
      continue;
    }
    state.tokensBeforeAttempt = state.transcript.tokens;
    const finished = await runWithHedge(state, granted.value, start);
    if (finished.end.kind === 'complete') return finishResponse(state);
    if (exchange.signal.aborted) return err(abortError(exchange, true));
    excludeRejecting(state, finished);
    const refusal = refuseUnstarted(state);
    if (refusal !== undefined) {
      return err(toRejectionError(finished) ?? refusal);
    }
    const decision = await recover(state, finished);
    if (decision.kind === 'fail') {
      return err(toCallerError(state, decision, finished));
    }
    start = decision.kind === 'restart' ? 'fresh' : decision.kind;
  }
}

function versionGoneError({origin}: ChatState): RouterError {
  const version = origin?.softwareVersion ?? 'not named';
  const message = `no upstream is left that may go on with the response (software version: ${version})`;
  return new RouterError('answer_incomplete', message);
}

/** Returns the refusal of a call that has not run and would wait too long. */
function refuseUnstarted(state: ChatState): RouterError | undefined {
  if (state.mayHaveRun || state.reserved !== undefined) return undefined;
  return refuseForPauses(state.access, state.exchange, state.shardId, {
    exclude: [...state.excluded],
    hedge: false,
  });
}

/** Waits for the end of a pause if only the paused engine has the stream. */
async function waitForSameEngine(
  state: ChatState,
  start: AttemptStart,
): Promise<void> {
  const {access, exchange, lastUpstreamId} = state;
  if (start !== 'resume' || canContinueElsewhere(state)) return;
  for (;;) {
    const upstream = lastUpstreamId && access.directory.find(lastUpstreamId);
    if (upstream === undefined || exchange.signal.aborted) return;
    const remainingMs = access.pausedUpstreams.remainingMs(upstream);
    if (remainingMs <= 0) return;
    await delayOrAbort(access.clock, remainingMs, exchange.signal);
  }
}

/**
 * Returns the other upstreams if only the last one has the stream and its rate
 * may let the call wait: they could not continue it.
 */
function otherThanSameEngine(
  state: ChatState,
  start: AttemptStart,
): readonly UpstreamId[] {
  const {access, lastUpstreamId, shardId} = state;
  if (start !== 'resume' || canContinueElsewhere(state)) return [];
  const upstream = lastUpstreamId && access.directory.find(lastUpstreamId);
  if (upstream === undefined || upstream.leaving) return [];
  if (!access.limitedUpstreams.isLimited(upstream)) return [];
  return access.directory
    .inShard(shardId)
    .filter(({id}) => id !== upstream.id)
    .map(({id}) => id);
}

async function acquireAttempt(
  state: ChatState,
  start: AttemptStart,
): Promise<Result<GrantedUpstream, RouterError>> {
  const {access, exchange, reserved, transcript} = state;
  state.reserved = undefined;
  if (
    reserved !== undefined &&
    !returnIfUnusable(access, reserved) &&
    !returnIfOtherVersion(state, reserved)
  ) {
    return ok(reserved);
  }
  const nextAttempt = () => ++state.permitsRequested;
  await waitForSameEngine(state, start);
  for (;;) {
    if (!hasUpstreamToGoOn(state)) return err(versionGoneError(state));
    const started = transcript.tokens > 0;
    const refusal = access.promptGuard.check(state.request.sharedSegments);
    if (refusal !== undefined) return err(refusal);
    const fields = {
      attempt: nextAttempt(),
      hedge: false,
      exclude: [
        ...state.excluded,
        ...otherVersionIds(state),
        ...otherThanSameEngine(state, start),
      ],
      promptTokens: state.request.promptTokens + transcript.tokens,
      prefixHash: state.request.prefixHash,
      resume:
        state.lastUpstreamId !== undefined && start !== 'fresh'
          ? {upstreamId: state.lastUpstreamId, tokens: transcript.tokens}
          : undefined,
      ...(started
        ? {deadlineAtMs: access.clock.nowMs() + startedPermitTimeoutMs}
        : {}),
    };
    const granted = await acquireUpstream(
      access,
      exchange,
      state.shardId,
      fields,
      nextAttempt,
    );
    if (granted.isOk()) {
      // Its entry may have changed while the permit was on its way.
      if (returnIfOtherVersion(state, granted.value)) continue;
      return passGuard(state, granted.value);
    }
    const attempted = exchange.stats.attempts > 0;
    if (!attempted || exchange.signal.aborted) return granted;
    const delayMs = granted.error.retryAfterMs ?? startedRetryDelayMs;
    const exceedsDeadline =
      access.clock.nowMs() + delayMs >= exchange.deadlineAtMs;
    if (!started && exceedsDeadline) return granted;
    // After an attempt the refusal may not be returned as "not run", so the
    // permit is requested again.
    await delayOrAbort(access.clock, delayMs, exchange.signal);
  }
}

/**
 * Returns the permit unused if its upstream runs another version than the one
 * that began the response.
 */
function returnIfOtherVersion(
  state: ChatState,
  {permit, upstream}: GrantedUpstream,
): boolean {
  if (!otherVersionIds(state).includes(upstream.id)) return false;
  permit.release({outcome: 'unused', wastedTokens: 0});
  return true;
}

/**
 * Returns the permit unused if the prompt was quarantined while the call waited
 * for it.
 */
function passGuard(
  {access, request}: ChatState,
  granted: GrantedUpstream,
): Result<GrantedUpstream, RouterError> {
  const refusal = access.promptGuard.tryPass(request.sharedSegments);
  if (refusal === undefined) return ok(granted);
  granted.permit.release({outcome: 'unused', wastedTokens: 0});
  return err(refusal);
}

/**
 * Runs one attempt. If its upstream becomes a straggler, the call is moved to
 * another upstream or hedged, within the hedge budget.
 */
async function runWithHedge(
  state: ChatState,
  granted: GrantedUpstream,
  start: AttemptStart,
): Promise<FinishedAttempt> {
  state.winner = undefined;
  state.hedgeRunning = false;
  const abort = new AbortController();
  let hedge: Promise<FinishedAttempt | undefined> | undefined;
  let move: Promise<void> | undefined;
  const hedgeAbort = new AbortController();
  granted.permit.onSuspect = () => {
    if (hedge !== undefined || move !== undefined) return;
    if (!classOf(state.exchange).idempotent) return;
    const {access, shardId} = state;
    const exclude = otherVersionIds(state);
    const {upstream} = granted;
    if (!hasOtherUnpaused(access, shardId, upstream.id, exclude)) return;
    if (state.transcript.tokens > 0) {
      // A later notification may find a free slot or more budget.
      move = moveToOtherUpstream(
        state,
        granted,
        abort,
        hedgeAbort.signal,
      ).finally(() => (move = undefined));
    } else if (
      mayHedge(state) &&
      reserveRetry(state) &&
      state.access.hedgeBudget.tryHedge(hedgeCost(state))
    ) {
      hedge = runHedge(state, granted, hedgeAbort, () => abort.abort());
    }
  };
  const first = await runAttempt(state, granted, start, abort);
  // A hedge that still waits for a permit would delay the next attempt.
  if (first.end.kind === 'complete' || !state.hedgeRunning) hedgeAbort.abort();
  await move;
  const second = await hedge;
  if (first.end.kind === 'complete' || second === undefined) return first;
  const [leading, other] =
    state.winner === second.granted ? [second, first] : [first, second];
  recordFailedCopy(state, other);
  return leading;
}

/**
 * Returns the extra work of a hedge or a move in generated tokens: the engine
 * processes the prompt and the received tokens once more.
 */
function hedgeCost(state: ChatState): number {
  const tokens = state.request.promptTokens + state.transcript.tokens;
  return Math.ceil(tokens * promptTokenCostFactor);
}

/**
 * Moves a call whose stream has begun once another upstream has a slot for it.
 * Until then the running attempt goes on, because its upstream may only pause.
 */
async function moveToOtherUpstream(
  state: ChatState,
  running: GrantedUpstream,
  abort: AbortController,
  withdrawn: AbortSignal,
): Promise<void> {
  const {access, exchange, request, transcript} = state;
  const cost = hedgeCost(state);
  if (abort.signal.aborted || !canContinueElsewhere(state)) return;
  if (!reserveRetry(state)) return;
  if (!access.hedgeBudget.tryHedge(cost)) return;
  const signal = AbortSignal.any([exchange.signal, abort.signal, withdrawn]);
  const granted = await acquireUpstream(
    access,
    exchange,
    state.shardId,
    {
      attempt: ++state.permitsRequested,
      hedge: true,
      exclude: [
        ...state.excluded,
        ...otherVersionIds(state),
        running.upstream.id,
      ],
      promptTokens: request.promptTokens + transcript.tokens,
      prefixHash: request.prefixHash,
      resume: {upstreamId: running.upstream.id, tokens: transcript.tokens},
      deadlineAtMs: access.clock.nowMs() + startedPermitTimeoutMs,
    },
    () => ++state.permitsRequested,
    signal,
  );
  if (granted.isOk() && !signal.aborted && canContinueElsewhere(state)) {
    // The suspect upstream is not excluded: the other one may reject the call.
    state.reserved = granted.value;
    abort.abort('preempted');
    return;
  }
  access.hedgeBudget.adjustReservation(cost, 0);
  if (granted.isErr()) return;
  granted.value.permit.release({outcome: 'unused', wastedTokens: 0});
}

async function runHedge(
  state: ChatState,
  first: GrantedUpstream,
  abort: AbortController,
  onWin: () => void,
): Promise<FinishedAttempt | undefined> {
  const {access, exchange, request} = state;
  const signal = AbortSignal.any([exchange.signal, abort.signal]);
  const granted = await acquireUpstream(
    access,
    exchange,
    state.shardId,
    {
      requestId: toRequestId(`${exchange.requestId}~hedge`),
      attempt: state.permitsRequested,
      hedge: true,
      exclude: [
        ...state.excluded,
        ...otherVersionIds(state),
        first.upstream.id,
      ],
      promptTokens: request.promptTokens,
      prefixHash: request.prefixHash,
      resume: undefined,
    },
    () => ++state.permitsRequested,
    signal,
  );
  if (granted.isErr()) return undefined;
  if (passGuard(state, granted.value).isErr()) return undefined;
  if (state.winner !== undefined || signal.aborted) {
    granted.value.permit.release({outcome: 'unused', wastedTokens: 0});
    return undefined;
  }
  state.hedgeRunning = true;
  return runAttempt(state, granted.value, 'fresh', abort, onWin);
}

function finishResponse(state: ChatState): Result<void, RouterError> {
  const {exchange, request, transcript} = state;
  if (request.streamed) {
    exchange.response.endStream();
    return ok(undefined);
  }
  return transcript.toCompletion().map(completion => {
    const headers = {'content-type': 'application/json'};
    exchange.response.send(200, headers, Buffer.from(completion));
  });
}
