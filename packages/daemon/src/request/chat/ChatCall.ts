/**
 * Serves one chat-completion call through as many attempts as it takes: after
 * a preemption or a fault it resumes on the same engine, continues on another
 * from the received prefix, or starts again, as the recovery policy decides.
 */
import type {RouterError, ShardId} from '@toucanrouter/common';
import {toRequestId} from '@toucanrouter/common';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {Exchange} from '../Exchange.js';
import {abortError, afterRefusal, classOf} from '../Exchange.js';
import type {GrantedUpstream, UpstreamAccess} from '../UpstreamAccess.js';
import {acquireUpstream} from '../UpstreamAccess.js';
import {runAttempt} from './ChatAttempt.js';
import {failure, recover} from './ChatRecovery.js';
import type {ChatRequest} from './ChatRequest.js';
import type {ChatState, FinishedAttempt} from './ChatState.js';
import type {AttemptStart} from './Transcript.js';
import {createTranscript} from './Transcript.js';

/** Started work is waited for without a limit of the router's own. */
const startedWorkTimeoutMs = 24 * 60 * 60 * 1_000;

const promptTokenCost = 0.1;

/** Pause before a started job asks again after a refusal. */
const startedRetryMs = 500;

/** Serves the call; resolves when the answer is complete or has failed. */
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
    permitsAsked: 0,
    faults: 0,
    tokensBefore: 0,
    lastUpstreamId: undefined,
    winner: undefined,
    hedgeRunning: false,
  };
  access.retryBudget.recordRequest(access.clock.nowMs());
  let start: AttemptStart = 'fresh';
  for (;;) {
    const granted = await acquireNext(state, start);
    if (granted.isErr()) return err(afterRefusal(exchange, granted.error));
    state.tokensBefore = state.transcript.tokens;
    const finished = await runWithHedge(state, granted.value, start);
    if (finished.end.kind === 'complete') return ok(finishAnswer(state));
    if (exchange.signal.aborted) return err(abortError(exchange, true));
    const decision = recover(state, finished);
    if (decision.kind === 'fail') return err(failure(decision, finished));
    start = decision.kind === 'restart' ? 'fresh' : decision.kind;
  }
}

async function acquireNext(
  state: ChatState,
  start: AttemptStart,
): Promise<Result<GrantedUpstream, RouterError>> {
  const {access, exchange, transcript} = state;
  for (;;) {
    const started = transcript.tokens > 0;
    const granted = await acquireUpstream(access, exchange, state.shardId, {
      attempt: ++state.permitsAsked,
      hedge: false,
      exclude: [...state.excluded],
      promptTokens: state.request.promptTokens + transcript.tokens,
      prefixHash: state.request.prefixHash,
      resume:
        state.lastUpstreamId !== undefined && start !== 'fresh'
          ? {upstreamId: state.lastUpstreamId, tokens: transcript.tokens}
          : undefined,
      ...(started
        ? {deadlineAtMs: access.clock.nowMs() + startedWorkTimeoutMs}
        : {}),
    });
    const accepted = exchange.figures.attempts > 0;
    if (granted.isOk() || !accepted || exchange.signal.aborted) return granted;
    const delayMs = granted.error.retryAfterMs ?? startedRetryMs;
    const isLate = access.clock.nowMs() + delayMs >= exchange.deadlineAtMs;
    if (!started && isLate) return granted;
    // A request that ran once cannot be told that it did not, so it waits.
    await sleep(state, delayMs);
  }
}

function sleep(state: ChatState, delayMs: number): Promise<void> {
  const {access, exchange} = state;
  return new Promise(resolve => {
    const undo = access.clock.after(delayMs, resolve);
    exchange.signal.addEventListener(
      'abort',
      () => {
        undo();
        resolve();
      },
      {once: true},
    );
  });
}

/**
 * Runs one attempt and, when its upstream turns out to be a straggler, moves
 * the job or starts a second copy of it, within the hedge budget.
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
  const hedgeAbort = new AbortController();
  granted.permit.onSuspect = () => {
    if (hedge !== undefined || !classOf(state.exchange).idempotent) return;
    if (!state.access.hedgeBudget.tryHedge(hedgeCost(state))) return;
    if (state.transcript.tokens > 0) moveAway(state, granted, abort);
    else hedge = runHedge(state, granted, hedgeAbort, () => abort.abort());
  };
  const first = await runAttempt(state, granted, start, abort);
  // A second copy that still waits for a permit would delay the next attempt.
  if (first.end.kind === 'complete' || !state.hedgeRunning) hedgeAbort.abort();
  const second = await hedge;
  if (first.end.kind === 'complete' || second === undefined) return first;
  return state.winner === second.granted ? second : first;
}

/**
 * Extra work of a second copy or a move: the prompt and the received tokens
 * are processed once more. Engines process a prompt in parallel, so that a
 * token of it costs about a tenth of a generated one.
 */
function hedgeCost(state: ChatState): number {
  const tokens = state.request.promptTokens + state.transcript.tokens;
  return Math.ceil(tokens * promptTokenCost);
}

function moveAway(
  state: ChatState,
  granted: GrantedUpstream,
  abort: AbortController,
): void {
  state.excluded.add(granted.upstream.id);
  abort.abort('preempted');
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
      attempt: state.permitsAsked,
      hedge: true,
      exclude: [...state.excluded, first.upstream.id],
      promptTokens: request.promptTokens,
      prefixHash: request.prefixHash,
      resume: undefined,
    },
    signal,
  );
  if (granted.isErr()) return undefined;
  if (state.winner !== undefined || signal.aborted) {
    granted.value.permit.release({outcome: 'unused', wastedTokens: 0});
    return undefined;
  }
  state.hedgeRunning = true;
  return runAttempt(state, granted.value, 'fresh', abort, onWin);
}

function finishAnswer(state: ChatState): void {
  const {exchange, request, transcript} = state;
  if (request.streamed) {
    exchange.response.endStream();
    return;
  }
  const body = Buffer.from(transcript.toWhole());
  const headers = {'content-type': 'application/json'};
  exchange.response.sendWhole(200, headers, body);
}
