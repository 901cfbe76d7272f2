/**
 * Serves one chat-completion call through as many attempts as it takes: after
 * a preemption or a fault it resumes on the same engine, continues on another
 * from the received prefix, or starts again, as the recovery policy decides.
 */
import type {
  RouterError as RouterErrorType,
  ShardId,
  UpstreamId,
} from '@toucanrouter/common';
import {RouterError, toRequestId} from '@toucanrouter/common';
import type {RecoveryDecision} from '@toucanrouter/policy';
import {decideRecovery} from '@toucanrouter/policy';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {JobEnd} from '../../scheduling/PermitClient.js';
import type {Exchange} from '../Exchange.js';
import {abortError, afterRefusal, classOf} from '../Exchange.js';
import type {GrantedUpstream, UpstreamAccess} from '../UpstreamAccess.js';
import {acquireUpstream, hasOtherUpstream} from '../UpstreamAccess.js';
import type {ChatRequest} from './ChatRequest.js';
import {toUpstreamBody} from './ChatRequest.js';
import type {AttemptEnd} from './EngineAttempt.js';
import {runEngineAttempt} from './EngineAttempt.js';
import type {ScannedEvents} from './SseScanner.js';
import type {AttemptStart, Transcript} from './Transcript.js';
import {createTranscript} from './Transcript.js';

/** Started work is waited for without a limit of the router's own. */
const startedWorkTimeoutMs = 24 * 60 * 60 * 1_000;

const promptTokenCost = 0.1;

/** Pause before a started job asks again after a refusal. */
const startedRetryMs = 500;

type EndKind = AttemptEnd['kind'] | 'complete' | 'lost_race' | 'preempted';

interface FinishedAttempt {
  readonly granted: GrantedUpstream;
  readonly start: AttemptStart;
  readonly end: AttemptEnd | {readonly kind: 'complete' | 'lost_race'};
  readonly preempted: boolean;
}

interface ChatState {
  readonly access: UpstreamAccess;
  readonly exchange: Exchange;
  readonly request: ChatRequest;
  readonly shardId: ShardId;
  readonly transcript: Transcript;
  readonly excluded: Set<UpstreamId>;
  permitsAsked: number;
  faults: number;
  lastUpstreamId: UpstreamId | undefined;
  /** Set while two attempts compete for the first events. */
  winner: GrantedUpstream | undefined;
}

/** Serves the call; resolves when the answer is complete or has failed. */
export async function serveChat(
  access: UpstreamAccess,
  exchange: Exchange,
  request: ChatRequest,
  shardId: ShardId,
): Promise<Result<void, RouterErrorType>> {
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
    lastUpstreamId: undefined,
    winner: undefined,
  };
  access.retryBudget.requested(access.clock.nowMs());
  let start: AttemptStart = 'fresh';
  for (;;) {
    const granted = await acquireNext(state, start);
    if (granted.isErr()) return err(afterRefusal(exchange, granted.error));
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
): Promise<Result<GrantedUpstream, RouterErrorType>> {
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
    if (granted.isOk() || !started || exchange.signal.aborted) return granted;
    // A caller that has part of an answer cannot be told that nothing ran.
    await sleep(state, granted.error.retryAfterMs ?? startedRetryMs);
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
  if (first.end.kind === 'complete') hedgeAbort.abort();
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
  return runAttempt(state, granted.value, 'fresh', abort, onWin);
}

async function runAttempt(
  state: ChatState,
  granted: GrantedUpstream,
  start: AttemptStart,
  abort: AbortController,
  onWin: () => void = () => undefined,
): Promise<FinishedAttempt> {
  const {access, exchange, transcript} = state;
  const {permit, upstream} = granted;
  exchange.figures.attempts += 1;
  permit.onPreempt = () => abort.abort('preempted');
  const resuming = start === 'resume' && upstream.id === state.lastUpstreamId;
  const effective = start === 'resume' && !resuming ? 'continue' : start;
  // Without a token there is no prefix, even if the first event was relayed.
  const prefix =
    effective === 'continue' && transcript.tokens > 0
      ? transcript.prefix()
      : undefined;
  const end = await runEngineAttempt({
    dispatcher: access.dispatcher,
    address: upstream.address,
    requestId: exchange.requestId,
    body: toUpstreamBody(state.request, classOf(exchange).tier, prefix),
    lastEventId: resuming ? transcript.lastEventId : undefined,
    signal: AbortSignal.any([exchange.signal, abort.signal]),
    onEvents: events => {
      if (state.winner === undefined) {
        state.winner = granted;
        transcript.begin(effective);
        onWin();
      }
      if (state.winner !== granted) {
        abort.abort('lost_race');
        return Promise.resolve(ok(undefined));
      }
      return relayEvents(state, granted, events);
    },
  });
  const preempted = abort.signal.reason === 'preempted';
  const kind = endKind(state, granted, end, preempted);
  permit.release(jobEnd(state, kind));
  if (kind === 'complete' || kind === 'lost_race') {
    return {granted, start: effective, end: {kind}, preempted};
  }
  return {granted, start: effective, end, preempted};
}

async function relayEvents(
  state: ChatState,
  granted: GrantedUpstream,
  events: ScannedEvents,
): Promise<Result<void, RouterErrorType>> {
  const {access, exchange, transcript} = state;
  const tokensBefore = transcript.tokens;
  const taken = transcript.take(events);
  if (taken.isErr()) return err(taken.error);
  const newTokens = transcript.tokens - tokensBefore;
  if (newTokens > 0) {
    granted.permit.countTokens(newTokens);
    access.hedgeBudget.worked(newTokens);
    noteTokens(state, newTokens);
  }
  if (!state.request.streamed || taken.value.length === 0) return ok(undefined);
  if (!exchange.response.started) exchange.response.startStream();
  await exchange.response.write(taken.value);
  return ok(undefined);
}

function noteTokens(state: ChatState, newTokens: number): void {
  const {figures, arrivedAtMs} = state.exchange;
  const sinceArrivalMs = state.access.clock.nowMs() - arrivedAtMs;
  figures.firstTokenMs ??= sinceArrivalMs;
  figures.tokens += newTokens;
  if (figures.tokens > 1) {
    const streamedMs = sinceArrivalMs - figures.firstTokenMs;
    figures.tokenGapMs = streamedMs / (figures.tokens - 1);
  }
}

function endKind(
  state: ChatState,
  granted: GrantedUpstream,
  end: AttemptEnd,
  preempted: boolean,
): EndKind {
  const lost = state.winner !== undefined && state.winner !== granted;
  if (lost) return 'lost_race';
  if (state.transcript.complete) return 'complete';
  return preempted ? 'preempted' : end.kind;
}

function jobEnd(state: ChatState, kind: EndKind): JobEnd {
  const {tokens} = state.transcript;
  switch (kind) {
    case 'complete':
      return {outcome: 'completed', wastedTokens: 0};
    case 'preempted':
      return {outcome: 'preempted', wastedTokens: 0};
    case 'lost_race':
      return {outcome: 'canceled', wastedTokens: 0};
    case 'aborted':
      return {outcome: 'canceled', wastedTokens: tokens};
    default:
      return {outcome: 'failed', wastedTokens: 0};
  }
}

function recover(
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
    state.faults += 1;
    if (finished.end.kind === 'rejected') state.excluded.add(upstreamId);
  }
  const started = transcript.tokens > 0;
  const decision = decideRecovery(
    {
      end: recoveryEnd(finished),
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

function failure(
  decision: Extract<RecoveryDecision, {kind: 'fail'}>,
  finished: FinishedAttempt,
): RouterErrorType {
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
