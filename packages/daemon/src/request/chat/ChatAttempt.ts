/**
 * One attempt to serve a chat-completion call: adds the engine's stream to the
 * transcript and relays it to the caller.
 */
import type {RouterError} from '@toucanrouter/common';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {JobEnd} from '../../scheduling/PermitClient.js';
import {classOf} from '../Exchange.js';
import {receiveHead, serviceUnavailableStatus} from '../ResponseHeads.js';
import type {GrantedUpstream, UpstreamAccess} from '../UpstreamAccess.js';
import {toUpstreamBody} from './ChatRequest.js';
import type {ChatState, FinishedAttempt} from './ChatState.js';
import type {AttemptEnd} from './EngineAttempt.js';
import {runEngineAttempt} from './EngineAttempt.js';
import type {ScannedEvents} from './SseScanner.js';
import type {AttemptStart} from './Transcript.js';

type EndKind = AttemptEnd['kind'] | 'complete' | 'lost_race' | 'preempted';

/**
 * Runs one attempt and releases its permit. `onWin` is called when the attempt
 * delivers events before any competing one.
 */
export async function runAttempt(
  state: ChatState,
  granted: GrantedUpstream,
  start: AttemptStart,
  abort: AbortController,
  onWin: () => void = () => undefined,
): Promise<FinishedAttempt> {
  const {access, exchange, transcript} = state;
  const {permit, upstream} = granted;
  exchange.stats.attempts += 1;
  permit.onPreempt = () => abort.abort('preempted');
  const resuming = start === 'resume' && upstream.id === state.lastUpstreamId;
  const effectiveStart = start === 'resume' && !resuming ? 'continue' : start;
  // Without a token there is no prefix, even if the role event was relayed.
  const prefix =
    effectiveStart === 'continue' && transcript.tokens > 0
      ? transcript.prefix()
      : undefined;
  const {requestId} = exchange;
  const sentAtMs = access.clock.nowMs();
  const end = await runEngineAttempt({
    dispatcher: access.dispatcher,
    responseBuffers: access.responseBuffers,
    address: upstream.address,
    requestId,
    body: toUpstreamBody(state.request, classOf(exchange).tier, prefix),
    lastEventId: resuming ? transcript.lastEventId : undefined,
    signal: AbortSignal.any([exchange.signal, abort.signal]),
    onHead: head => receiveHead(access, {upstream, requestId, sentAtMs}, head),
    onEvents: events => {
      if (state.winner === undefined) {
        state.winner = granted;
        transcript.begin(effectiveStart);
        if (effectiveStart === 'fresh') state.origin = upstream;
        onWin();
      }
      if (state.winner !== granted) {
        abort.abort('lost_race');
        return Promise.resolve(ok(undefined));
      }
      return relayEvents(state, granted, events);
    },
  });
  state.mayHaveRun ||= end.kind !== 'rejected';
  const preempted = abort.signal.reason === 'preempted';
  const kind = endKindOf(state, granted, end, preempted);
  const {sharedSegments} = state.request;
  if (kind === 'complete') {
    access.promptGuard.answered(upstream, sharedSegments);
  } else if (closedByEngine(end)) {
    state.breaks.push(
      access.promptGuard.connectionBroke(upstream, requestId, sharedSegments),
    );
  }
  const asksForPause = isPauseRequest(access, granted, end);
  permit.release(
    asksForPause
      ? // A pause is neither a fault nor slowness of the upstream.
        {outcome: 'unused', wastedTokens: 0, reachedUpstream: true}
      : {...toJobEnd(state, kind), reachedUpstream: reachedEngine(end)},
  );
  if (kind === 'complete' || kind === 'lost_race') {
    return {granted, start: effectiveStart, end: {kind}, preempted};
  }
  return {granted, start: effectiveStart, end, preempted};
}

/** Returns whether an engine rejected an attempt because it pauses. */
export function isPauseRequest(
  {pausedUpstreams}: UpstreamAccess,
  {upstream}: GrantedUpstream,
  end: FinishedAttempt['end'],
): boolean {
  return (
    end.kind === 'rejected' &&
    end.status === serviceUnavailableStatus &&
    pausedUpstreams.remainingMs(upstream) > 0
  );
}

/** Returns whether a request was sent, as far as is known. */
function reachedEngine(end: AttemptEnd): boolean {
  return end.kind !== 'broken' || end.connected;
}

/** Returns whether the engine may have ended while the request ran there. */
function closedByEngine(end: AttemptEnd): boolean {
  if (end.kind === 'broken') {
    return end.connected && end.error.kind === 'upstream_failed';
  }
  return end.kind === 'ended';
}

async function relayEvents(
  state: ChatState,
  granted: GrantedUpstream,
  events: ScannedEvents,
): Promise<Result<void, RouterError>> {
  const {access, exchange, transcript} = state;
  const tokensBefore = transcript.tokens;
  const bytes = transcript.receive(events);
  if (bytes.isErr()) return err(bytes.error);
  const newTokens = transcript.tokens - tokensBefore;
  if (newTokens > 0) {
    access.promptGuard.tokensReceived(granted.upstream);
    granted.permit.recordTokens(newTokens);
    access.hedgeBudget.recordWork(newTokens);
    recordTokens(state, newTokens);
  }
  if (!state.request.streamed || bytes.value.length === 0) return ok(undefined);
  if (!exchange.response.started) exchange.response.startStream();
  await exchange.response.write(bytes.value);
  return ok(undefined);
}

function recordTokens(state: ChatState, newTokens: number): void {
  const {stats, arrivedAtMs} = state.exchange;
  const sinceArrivalMs = state.access.clock.nowMs() - arrivedAtMs;
  stats.firstTokenMs ??= sinceArrivalMs;
  stats.tokens += newTokens;
  if (stats.tokens > 1) {
    const streamedMs = sinceArrivalMs - stats.firstTokenMs;
    stats.tokenGapMs = streamedMs / (stats.tokens - 1);
  }
}

function endKindOf(
  state: ChatState,
  granted: GrantedUpstream,
  end: AttemptEnd,
  preempted: boolean,
): EndKind {
  const lostRace = state.winner !== undefined && state.winner !== granted;
  if (lostRace) return end.kind === 'broken' ? 'broken' : 'lost_race';
  if (state.transcript.complete) return 'complete';
  return preempted ? 'preempted' : end.kind;
}

function toJobEnd(state: ChatState, kind: EndKind): JobEnd {
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
