/**
 * Serves one request: admits it, sends it to an upstream and passes the response
 * on. A failed attempt is retried or resumed on another upstream as far as the
 * request's class allows.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {
  ErrorKind,
  UpstreamId,
  OpenRequestShare,
  WorkspaceId,
} from '@toucanrouter/common';
import {
  answerReserveFor,
  errorResponseFor,
  RouterError,
} from '@toucanrouter/common';
import type {RetryBudget, RetryReservation} from '@toucanrouter/policy';
import type {GatewayRoute} from '../config/GatewayConfig.js';
import type {Choice} from '../upstreams/UpstreamChoice.js';
import type {AdmittedRequest} from './Admission.js';
import {admit} from './Admission.js';
import type {Attempt, AttemptResult} from './Attempt.js';
import {outcomeOf, startAttempt} from './Attempt.js';
import type {
  AttemptObserver,
  AttemptRace,
  EndedAttempt,
} from './AttemptRace.js';
import {startAttemptRace} from './AttemptRace.js';
import type {CallerBody} from './CallerBody.js';
import {openCallerBody} from './CallerBody.js';
import type {CallerResponse, ConnectionClosing} from './CallerResponse.js';
import {createCallerResponse} from './CallerResponse.js';
import type {CallerRequest} from './Dialect.js';
import type {GatewayContext} from './GatewayContext.js';
import type {OpenRequest, RequestStage} from './OpenRequest.js';
import type {BlockedPrompt} from './PromptGuard.js';
import type {RequestProgress} from './RetryDecision.js';
import type {RequestPlacement, SendDelay} from './RequestPlacement.js';
import {createRequestPlacement} from './RequestPlacement.js';
import type {ResponseStream} from './ResponseStream.js';
import {createResponseStream} from './ResponseStream.js';
import {nextStep, stepWithoutRetry} from './RetryDecision.js';
import {upstreamPriority} from './UpstreamPriority.js';
import {pausedRetryDelayMs, retryDelayMs} from './RetryAfter.js';
import {createUpstreamUse} from './UpstreamUse.js';
import type {StallLimits} from './StallWatch.js';

/**
 * Time after the timeout of a route during which the upstream's own response is
 * still passed on, if the caller waits longer. An upstream that was sent the
 * deadline responds when it expires.
 */
const timeoutGraceMs = 100;
/** Shorter, because a request lost on a stale connection cannot be retried. */
const maxIdleNonRetryableMs = 1_500;
const maxIdleRetryableMs = 5_000;
/** Time until the first response after which an attempt has stalled, in targets. */
const firstResponseTargets = 3;
/** The same, as a multiple of the time that was expected. */
const expectedResponseFactor = 3;
const minFirstResponseLimitMs = 400;
/** Time between events after which an attempt has stalled, in target gaps. */
const betweenEventsGaps = 3;
const minBetweenEventsLimitMs = 700;
const shutdownRetryAfterMs = 50;
/** Open requests usually make room within this time. */
const openRequestsRetryAfterMs = 500;
const openRequestsReason = 'the memory for open requests is in use';
/**
 * Time over which requests that waited for the end of a pause are spread, in
 * target latencies.
 */
const pauseSpreadTargets = 0.2;
/** A request that waits for its turn looks again after this time at the latest. */
const maxTurnStepMs = 100;

/** Serves a request from its head to the end of its response. */
export async function serveRequest(
  context: GatewayContext,
  message: IncomingMessage,
  response: ServerResponse,
  share: OpenRequestShare | undefined,
  connectionClosing: ConnectionClosing,
  onOpened: (open: OpenRequest) => void,
): Promise<void> {
  const request = context.dialect.readRequest(message);
  const callerResponse = createCallerResponse({response, ...connectionClosing});
  const handler = createRequestHandler(context, request, callerResponse, {
    isBodyUnbounded: message.headers['transfer-encoding'] !== undefined,
  });
  onOpened(handler);
  response.once('close', handler.onCallerClosed);
  if (share === undefined) {
    handler.fail('overloaded', openRequestsReason, openRequestsRetryAfterMs);
    return;
  }
  if (context.isDraining()) {
    share.refused();
    response.once('close', share.close);
    handler.fail(
      'shutting_down',
      'the instance is stopping',
      shutdownRetryAfterMs,
    );
    return;
  }
  const admitted = await admitUnderShare(context, request, response, share);
  if (admitted.isErr()) {
    share.refused();
    handler.failWith(admitted.error);
    return;
  }
  handler.onAdmitted(admitted.value);
  if (!handler.tryAdmitLoad(admitted.value, share)) return;
  await handler.receive(admitted.value, message);
}

/**
 * Admits a request and frees its share once its response is closed, but not
 * before: a request that waits for the configuration holds memory also after its
 * caller has left.
 */
async function admitUnderShare(
  context: GatewayContext,
  request: CallerRequest,
  response: ServerResponse,
  share: OpenRequestShare,
): ReturnType<typeof admit> {
  let isClosed = false;
  response.once('close', () => {
    isClosed = true;
  });
  try {
    return await admit(context, request);
  } finally {
    if (isClosed) share.close();
    else response.once('close', share.close);
  }
}

/** Serves one request; its outcome is recorded once. */
interface RequestHandler extends OpenRequest {
  onCallerClosed(): void;
  onAdmitted(admitted: AdmittedRequest): void;
  /** Refuses the request if the instance lacks the time or the heap for it. */
  tryAdmitLoad(admitted: AdmittedRequest, share: OpenRequestShare): boolean;
  /** Reads the body and forwards the request. */
  receive(admitted: AdmittedRequest, message: IncomingMessage): Promise<void>;
  fail(kind: ErrorKind, reason: string, retryAfterMs?: number): void;
  failWith(error: RouterError): void;
}

/** True if the upstream that was chosen did not receive the request. */
function isUnreceived({kind}: AttemptResult): boolean {
  return kind === 'unsent' || kind === 'withdrawn' || kind === 'misdirected';
}

function createRequestHandler(
  context: GatewayContext,
  request: CallerRequest,
  callerResponse: CallerResponse,
  {isBodyUnbounded}: {readonly isBodyUnbounded: boolean},
): RequestHandler {
  const {clock, config, configAge, knowledge, logger, random} = context;
  const arrivedAtMs = clock.nowMs();
  /**
   * A request waits unread for up to the delay of the event loop. Its caller
   * counts from when it was sent, so deadlines assume the longest wait.
   */
  const assumedSentAtMs = arrivedAtMs - context.loadControl.unreadMs();
  const upstreams: UpstreamId[] = [];
  /** Upstreams that are not chosen again, unless they are returnable. */
  const triedUpstreams = new Set<UpstreamId>();
  /** Upstreams that rejected the request and asked for a pause. */
  const pausingUpstreams = new Set<UpstreamId>();
  let admittedRequest: AdmittedRequest | undefined;
  let deadlineMs = Infinity;
  /**
   * When a response that has begun is cut. The wait that the deadline assumes is
   * an upper bound, and the response may still be complete in time.
   */
  let cutAtMs = Infinity;
  /** When a caller that has got no byte of a response gets its final answer. */
  let answerAtMs = Infinity;
  let attempts: AttemptRace | undefined;
  const sentAtMs = new Map<UpstreamId, number>();
  const stalledUpstreams = new Set<UpstreamId>();
  const upstreamUse = createUpstreamUse();
  /** Attempts whose last part was not passed on. */
  const withheldAttempts = new Set<Attempt>();
  let stream: ResponseStream | undefined;
  let returnReservation: RetryReservation | undefined;
  let lastChoice: Choice | undefined;
  let currentPlacement: RequestPlacement | undefined;
  let firstAnswerMs: number | undefined;
  let lastEventAtMs: number | undefined;
  let eventCount = 0;
  let longestPauseMs = 0;
  let quarantinedSegment: string | undefined;
  let recorded = false;
  let begun = false;
  let bodyRead = false;
  let bodyGivenUp = false;
  let callerBody: CallerBody | undefined;
  let unhedgedLogged = false;
  let callerDisconnected = false;
  let cancelTimeout = (): void => undefined;
  let endWait = (): void => undefined;
  const progress = {
    notSentCount: 0,
    misdirectedCount: 0,
    mayHaveRun: false,
    responseStarted: false,
    lastEventId: request.resumeAfterId,
  };

  const guarded = context.promptGuard.guard(request.requestId, request.prompt);

  const untilDeadlineMs = () => deadlineMs - clock.nowMs();
  /** Time in which a further attempt can still be of use. */
  const remainingMs = () =>
    callerResponse.started
      ? cutAtMs - clock.nowMs()
      : Math.min(deadlineMs, answerAtMs) - clock.nowMs();
  const openMs = () => clock.nowMs() - arrivedAtMs;
  const mayHaveRun = () => progress.mayHaveRun || attempts?.wasSent() === true;

  function stage(): RequestStage {
    if (callerResponse.started) return 'response_started';
    if (mayHaveRun()) return 'sent';
    return bodyRead ? 'body_read' : 'head_read';
  }

  function record(
    outcome: ErrorKind | 'served',
    status: number,
    reason?: string,
  ): void {
    if (recorded) return;
    recorded = true;
    cancelTimeout();
    endWait();
    returnReservation?.close();
    stream?.close(outcome === 'served');
    currentPlacement?.leaveWaiting();
    callerBody?.close();
    context.onEnded({
      requestId: request.requestId,
      classId: admittedRequest?.route.classId,
      tier: admittedRequest?.tier,
      promptTokens: request.prompt?.promptTokens,
      workspaceId: admittedRequest?.workspace?.workspaceId,
      outcome,
      status,
      upstreams,
      expectedMs: lastChoice?.expectedMs,
      tokensToRead: lastChoice?.uncachedPromptTokens,
      homeRank: lastChoice?.preferenceRank,
      firstAnswerMs,
      longestPauseMs,
      totalMs: openMs(),
      targetLatencyMs: admittedRequest?.route.targetLatencyMs,
      configVersion: config.current()?.version ?? 0,
      configAgeMs: Math.round(configAge.ageMs()),
      reason,
      quarantinedSegment,
    });
  }

  /** True if nothing more is to be read behind responses that are not sent. */
  function isWaitingInCrowd(): boolean {
    return callerResponse.isWaiting() && context.openRequestLimit.isCrowded();
  }

  function failWith(error: RouterError): void {
    if (recorded) return;
    // A caller that stalls would keep its connection for as long as it likes, and
    // one whose body has no length could send bytes without end.
    const closes =
      (!bodyRead && (bodyGivenUp || isBodyUnbounded)) || isWaitingInCrowd();
    callerResponse.sendError(error, request.requestId, closes);
    record(error.kind, errorResponseFor(error.kind).status, error.message);
  }

  function fail(kind: ErrorKind, reason: string, retryAfterMs?: number): void {
    failWith(new RouterError(kind, reason, {retryAfterMs}));
  }

  function refuse(kind: ErrorKind, reason: string, backlogMs = 0): void {
    const notRun = kind === 'overloaded' || kind === 'no_upstream';
    if (!notRun || admittedRequest === undefined) return fail(kind, reason);
    const {tier, route} = admittedRequest;
    const options = {tier, targetLatencyMs: route.targetLatencyMs, random};
    const sendDelay = currentPlacement?.sendDelay(() => true);
    const delayMs =
      currentPlacement !== undefined && sendDelay !== undefined
        ? pausedRetryDelayMs(currentPlacement.returnDelayMs(sendDelay), options)
        : retryDelayMs({
            ...options,
            backlogMs,
            remainingMs: untilDeadlineMs(),
          });
    fail(kind, reason, delayMs);
  }

  function refuseBlocked({remainingMs: blockedMs, segmentId}: BlockedPrompt) {
    quarantinedSegment = segmentId;
    const reason = `the prompt segment ${segmentId} crashes upstreams`;
    if (callerResponse.started) abortResponse('answer_incomplete', reason);
    else if (progress.mayHaveRun) fail('upstream_failed', reason);
    else fail('prompt_quarantined', reason, blockedMs);
  }

  function abortResponse(kind: ErrorKind, reason: string): void {
    callerResponse.abort();
    record(kind, 0, reason);
  }

  /** Gives its final answer to a caller that has got no byte of a response. */
  function onAnswerDue(): void {
    if (recorded) return;
    if (callerResponse.started) {
      const leftMs = cutAtMs - clock.nowMs() + timeoutGraceMs;
      cancelTimeout = clock.after(Math.max(0, leftMs), onDeadline);
      return;
    }
    const reason = `no response within ${Math.round(openMs())} ms`;
    if (mayHaveRun()) fail('answer_timeout', reason);
    else refuse('overloaded', reason);
    attempts?.cancel(reason);
  }

  function onDeadline(): void {
    if (recorded) return;
    const reason = `no complete response within ${Math.round(openMs())} ms`;
    abortResponse('answer_timeout', reason);
    attempts?.cancel(reason);
  }

  function betweenEventsLimitMs({targetGapMs}: GatewayRoute): number {
    return Math.max(
      minBetweenEventsLimitMs,
      (targetGapMs ?? 0) * betweenEventsGaps,
    );
  }

  function stallLimitsFor(
    {route}: AdmittedRequest,
    choice: Choice,
  ): StallLimits {
    return {
      firstEventMs: Math.max(
        minFirstResponseLimitMs,
        route.targetLatencyMs * firstResponseTargets,
        choice.expectedMs * expectedResponseFactor,
      ),
      betweenEventsMs: betweenEventsLimitMs(route),
    };
  }

  /** True for an upstream that was not used yet if the class allows one more. */
  function isUnused({route}: AdmittedRequest, id: UpstreamId): boolean {
    return upstreamUse.count() < route.maxUpstreams && !triedUpstreams.has(id);
  }

  /**
   * Chooses an upstream for the next attempt: one that was not used yet if the
   * class allows one more, else one that was given up without a failure.
   */
  function chooseNext(
    admitted: AdmittedRequest,
    placement: RequestPlacement,
  ): Choice | undefined {
    const returnable = upstreamUse.returnable();
    return (
      placement.choose(id => isUnused(admitted, id)) ??
      placement.choose(id => returnable.includes(id))
    );
  }

  /**
   * Latest time at which an attempt is worth waiting for: its response begins
   * within the target latency, or a stream goes on before it counts as stalled.
   */
  function latestStartMs(
    {route}: AdmittedRequest,
    placement: RequestPlacement,
  ): number {
    const beginMs =
      progress.responseStarted && lastEventAtMs !== undefined
        ? lastEventAtMs + betweenEventsLimitMs(route)
        : arrivedAtMs + route.targetLatencyMs;
    return Math.min(beginMs, deadlineMs) - placement.unqueuedResponseMs();
  }

  /** True for an upstream that the next attempt may use. */
  function mayUseNext(admitted: AdmittedRequest, id: UpstreamId): boolean {
    return isUnused(admitted, id) || upstreamUse.returnable().includes(id);
  }

  /**
   * Waits until an upstream takes the request again, or for a part of that time.
   * Returns false at once if that is too late.
   */
  async function waitToSend(
    admitted: AdmittedRequest,
    placement: RequestPlacement,
    {cause, delayMs}: SendDelay,
  ): Promise<boolean> {
    const slackMs =
      latestStartMs(admitted, placement) - clock.nowMs() - delayMs;
    if (slackMs < 0) return false;
    const spreadMs = admitted.route.targetLatencyMs * pauseSpreadTargets;
    let waitMs = delayMs + random.next() * Math.min(slackMs, spreadMs);
    if (cause === 'rate_limit') {
      placement.joinWaiting(id => mayUseNext(admitted, id));
      waitMs = Math.min(delayMs, maxTurnStepMs);
    }
    await new Promise<void>(resolve => {
      const cancel = clock.after(waitMs, resolve);
      endWait = () => {
        cancel();
        resolve();
      };
    });
    return true;
  }

  function refuseWithoutUpstream(placement: RequestPlacement): void {
    const kind = progress.mayHaveRun ? 'upstream_failed' : 'no_upstream';
    const version = stream?.version();
    const group =
      `service ${placement.service}` +
      (version === undefined ? '' : ` at software version ${version}`);
    const reason = {
      none: `no other upstream available for ${group}`,
      pause: `all upstreams of ${group} pause`,
      rate_limit: `no turn at the upstreams of ${group}, which limit their request rate`,
    }[placement.sendDelay(() => true)?.cause ?? 'none'];
    if (callerResponse.started) abortResponse(kind, reason);
    else refuse(kind, reason);
  }

  /**
   * Spends a retry on an attempt beside a stalled one. A further one is reserved
   * for a stream: if the stalled attempt is given up and the other one fails, the
   * request must not fail for lack of a retry.
   */
  function tryHedge({route}: AdmittedRequest, budget: RetryBudget): boolean {
    const nowMs = clock.nowMs();
    if (route.retryPolicy !== 'resume') return budget.tryRetry(nowMs);
    const reservation = returnReservation ?? budget.reserve(nowMs);
    if (reservation === undefined) return false;
    if (budget.tryRetry(nowMs)) {
      returnReservation = reservation;
      return true;
    }
    if (reservation !== returnReservation) reservation.close();
    return false;
  }

  function tryRetry(budget: RetryBudget): boolean {
    if (returnReservation === undefined) return budget.tryRetry(clock.nowMs());
    const spent = returnReservation.spend(clock.nowMs());
    returnReservation = undefined;
    return spent;
  }

  /** Logs once for each request why its stalled attempt stays alone. */
  function logUnhedged(stalled: Choice, reason: string): undefined {
    if (unhedgedLogged) return;
    unhedgedLogged = true;
    logger.info('attempt has stalled; no other upstream is asked', {
      requestId: request.requestId,
      stalled: stalled.candidate.entry.id,
      upstreamVersion: stalled.candidate.entry.softwareVersion,
      reason,
      remainingMs: Math.round(remainingMs()),
    });
  }

  /**
   * Chooses an upstream to ask beside a stalled one, if the class and the budget
   * allow it and one is left that should respond within the limit.
   */
  function chooseBesideStalled(
    admitted: AdmittedRequest,
    placement: RequestPlacement,
    stalled: Choice,
    lastEventId: string | undefined,
  ): Choice | undefined {
    const decision = nextStep(
      {kind: 'broken', reason: 'stalled'},
      {
        ...snapshotProgress(admitted),
        mayHaveRun: true,
        lastEventId: lastEventId ?? progress.lastEventId,
      },
    );
    if (decision.step !== 'repeat') {
      return logUnhedged(stalled, 'the class allows no further attempt');
    }
    if (guarded.tryPass() !== undefined) {
      return logUnhedged(stalled, 'a segment of the prompt is blocked');
    }
    const next = chooseNext(admitted, placement);
    if (next === undefined) {
      return logUnhedged(stalled, 'no other upstream is available');
    }
    const {firstEventMs} = stallLimitsFor(admitted, stalled);
    if (next.expectedMs >= firstEventMs) {
      return logUnhedged(stalled, 'the other upstream is expected to stall');
    }
    const budget = context.retryBudget(placement.service);
    if (!tryHedge(admitted, budget)) {
      return logUnhedged(stalled, 'the retry budget is exhausted');
    }
    progress.lastEventId = lastEventId ?? progress.lastEventId;
    // The registry shows a replaced upstream before its first event is passed on.
    void stream?.verify(next.candidate.entry, remainingMs());
    logger.info('attempt has stalled; another upstream is asked as well', {
      requestId: request.requestId,
      stalled: stalled.candidate.entry.id,
      upstream: next.candidate.entry.id,
      upstreamVersion: next.candidate.entry.softwareVersion,
      lastEventId,
      remainingMs: Math.round(remainingMs()),
    });
    return next;
  }

  function startUpstreamAttempt(
    choice: Choice,
    admitted: AdmittedRequest,
    body: Buffer,
    placement: RequestPlacement,
    responseStream: ResponseStream,
    observer: AttemptObserver,
  ): Attempt {
    const {route, workspace} = admitted;
    const {entry, health} = choice.candidate;
    upstreams.push(entry.id);
    triedUpstreams.add(entry.id);
    upstreamUse.attemptStarted(entry.id);
    stalledUpstreams.delete(entry.id);
    lastChoice = choice;
    const guardedAttempt = guarded.startAttempt(entry);
    const streamAttempt = responseStream.startAttempt(entry);
    const sending = context.upstreamRates.startSending(entry, admitted.tier);
    sentAtMs.set(entry.id, clock.nowMs());
    const recordEnd = placement.recordSent(choice);
    const attempt = startAttempt({
      clock,
      connections: context.connections,
      responseBuffers: context.responseBuffers,
      dialect: context.dialect,
      choice,
      requestId: request.requestId,
      method: request.method,
      target: request.target,
      headers: context.dialect.upstreamHeaders(request, {
        upstreamId: entry.id,
        // A stream that has begun goes on until the deadline.
        remainingMs: route.streams ? untilDeadlineMs() : remainingMs(),
        workspaceId: workspace?.workspaceId,
        requestPriority: upstreamPriority(admitted.tier, route.tier),
        resumeAfterId: progress.lastEventId,
      }),
      body,
      streams: route.streams,
      passedOnEventId: progress.responseStarted
        ? progress.lastEventId
        : undefined,
      maxIdleMs:
        route.retryPolicy === 'never'
          ? maxIdleNonRetryableMs
          : maxIdleRetryableMs,
      stallLimits: stallLimitsFor(admitted, choice),
      withdrawalReason: () =>
        context.upstreamNotices.pauseRemainingMs(entry) > 0
          ? 'the upstream asked for a pause'
          : (responseStream.withdrawalReason(entry) ??
            sending.withdrawalReason()),
      onResponseHead: (head, requestSentAtMs) => {
        const {upstreamNotices, upstreamRates} = context;
        upstreamRates.receive(entry, request.requestId, head, requestSentAtMs);
        if (upstreamNotices.receive(entry, request.requestId, head)) {
          pausingUpstreams.add(entry.id);
        }
      },
      onStalled: lastEventId => {
        if (route.retryPolicy !== 'never' && !stalledUpstreams.has(entry.id)) {
          stalledUpstreams.add(entry.id);
          health.recordOutcome('silent', clock.nowMs());
        }
        observer.onStalled(lastEventId);
      },
      onFirstResponse: observedMs => {
        placement.recordFirstResponse(choice, observedMs);
        recordBegun(workspace?.workspaceId);
      },
      receiver: {
        events: (response, {bytes, count}, gapMs) => {
          const refusalReason = streamAttempt.refusalReason();
          if (refusalReason !== undefined) {
            withheldAttempts.add(attempt);
            attempt.cancel(refusalReason);
            return true;
          }
          if (count > 0) {
            observer.onProgress();
            guardedAttempt.partReceived();
          }
          firstAnswerMs ??= clock.nowMs() - arrivedAtMs;
          lastEventAtMs = clock.nowMs();
          if (gapMs !== undefined) {
            const perEventMs = gapMs / count;
            const {responseStats} = knowledge;
            longestPauseMs = Math.max(longestPauseMs, gapMs);
            responseStats.recordEventGap(route.classId, perEventMs);
            knowledge.engineModel(entry.service).observeEventGap(perEventMs);
          }
          eventCount += count;
          if (!callerResponse.started)
            callerResponse.start(response.status, response.headers);
          progress.responseStarted = true;
          return callerResponse.write(bytes);
        },
        onDrain: callerResponse.onDrain,
      },
    });
    void attempt.result.then(result => {
      recordEnd();
      if (isUnreceived(result) || !attempt.wasSent()) sending.notReceived();
      if (!attempt.wasCanceled()) guardedAttempt.ended(result);
    });
    return attempt;
  }

  function recordResult({
    choice,
    result,
    attempt,
    superseded,
  }: EndedAttempt): void {
    const {health, entry} = choice.candidate;
    const isWithheld = withheldAttempts.has(attempt);
    if (!isWithheld) {
      progress.lastEventId = attempt.lastEventId() ?? progress.lastEventId;
    }
    if (result.kind === 'withdrawn') triedUpstreams.delete(entry.id);
    if (isUnreceived(result)) {
      upstreamUse.attemptNotReceived(entry.id);
    } else if (superseded) {
      upstreamUse.attemptSuperseded(entry.id);
    }
    if (result.kind === 'unsent') progress.notSentCount += 1;
    if (result.kind === 'misdirected') progress.misdirectedCount += 1;
    progress.mayHaveRun ||=
      result.kind === 'broken' || result.kind === 'answered';
    if (callerDisconnected || recorded || superseded || isWithheld) return;
    // A stall has been recorded as the failure of this attempt.
    if (result.kind === 'broken' && stalledUpstreams.has(entry.id)) return;
    if (result.kind === 'withdrawn') return;
    if (result.kind === 'misdirected')
      context.registry.addressReassigned(entry.id);
    else if (pausingUpstreams.has(entry.id))
      health.recordOutcome('refused', clock.nowMs());
    else health.recordOutcome(outcomeOf(result), clock.nowMs());
  }

  function logDiscarded({choice, result, superseded}: EndedAttempt): void {
    logger.info('attempt ended while another one goes on', {
      requestId: request.requestId,
      upstream: choice.candidate.entry.id,
      upstreamVersion: choice.candidate.entry.softwareVersion,
      ended: result.kind,
      reason: 'reason' in result ? result.reason : result.kind,
      superseded,
    });
  }

  /** A request that several upstreams began counts once. */
  function recordBegun(workspaceId: WorkspaceId | undefined): void {
    if (begun || workspaceId === undefined) return;
    begun = true;
    context.onBegun(workspaceId);
  }

  /** Counts a response until its caller has read it. */
  function holdUntilSent(bytes: number): void {
    const buffered = context.responseBuffers.open(() => {
      logger.info('response is cut; its caller reads too slowly', {
        requestId: request.requestId,
        bytes,
      });
      callerResponse.abort();
    });
    callerResponse.onClosed(() => buffered.close());
    buffered.sending();
    buffered.resize(bytes);
  }

  function passOnResult(result: AttemptResult): void {
    if (result.kind === 'answered') {
      firstAnswerMs ??= clock.nowMs() - arrivedAtMs;
      holdUntilSent(result.body.length);
      callerResponse.send(
        result.response.status,
        result.response.headers,
        result.body,
      );
      record('served', result.response.status);
      return;
    }
    // A stream that is resumed after its last event has no events, so its head
    // has not been sent yet.
    if (result.kind === 'streamed')
      callerResponse.start(result.response.status, result.response.headers);
    callerResponse.end();
    if (admittedRequest !== undefined) {
      const {classId} = admittedRequest.route;
      const sent = lastChoice && sentAtMs.get(lastChoice.candidate.entry.id);
      const durationMs = clock.nowMs() - (sent ?? arrivedAtMs);
      knowledge.responseStats.recordCompleted(classId, eventCount, durationMs);
    }
    record('served', 200);
  }

  function snapshotProgress({route}: AdmittedRequest): RequestProgress {
    return {
      ...progress,
      upstreamsUsed: upstreamUse.count(),
      canReturn: upstreamUse.returnable().length > 0,
      retryPolicy: route.retryPolicy,
      maxUpstreams: route.maxUpstreams,
      remainingMs: remainingMs(),
    };
  }

  /** Gives up the request for others that need its memory. */
  function giveUpBody(reason: string): void {
    bodyGivenUp = true;
    refuse('overloaded', reason);
    attempts?.cancel(reason);
  }

  async function receive(
    admitted: AdmittedRequest,
    message: IncomingMessage,
  ): Promise<void> {
    if (recorded) return;
    callerBody = openCallerBody(message, {
      limits: admitted.config.limits,
      memory: context.requestBodies,
      tier: admitted.tier,
      canGiveUp: () => !recorded && !callerResponse.started && !mayHaveRun(),
      onGivenUp: giveUpBody,
    });
    const body = await callerBody.received;
    if (recorded) return;
    if (body.isErr()) {
      const {kind, message: reason} = body.error;
      if (kind === 'overloaded') refuse(kind, reason);
      else failWith(body.error);
      return;
    }
    await context.turnQueue.next(admitted.tier);
    if (!recorded) await forward(admitted, body.value);
  }

  async function forward(
    admitted: AdmittedRequest,
    body: Buffer,
  ): Promise<void> {
    bodyRead = true;
    const responseStream = createResponseStream(context, request, admitted);
    stream = responseStream;
    const place = await responseStream.place(remainingMs());
    if (recorded || callerDisconnected) return;
    if (place.kind === 'unknown') {
      const reason = `it is not known which software version began the stream: ${place.reason}`;
      return refuse('no_upstream', reason);
    }
    const {service} = place;
    if (service === undefined)
      return refuse('no_upstream', 'the route has no target service');
    const {config: configInForce, route, tier} = admitted;
    const placed = createRequestPlacement(context, {
      prompt: request.prompt,
      route,
      tier,
      service,
      servesModels: configInForce.services.get(service)?.servesModels === true,
      leastUrgent: route.tier >= configInForce.leastUrgentTier(service),
      mayServe: responseStream.mayServe,
      isPreferred: responseStream.isPreferred,
    });
    currentPlacement = placed;
    context.retryBudget(service).recordRequest(clock.nowMs());
    context.upstreamRates.recordDemand(service, tier);
    while (!recorded && !callerDisconnected) {
      const sendDelay = placed.sendDelay(id => mayUseNext(admitted, id));
      if (sendDelay !== undefined) {
        // The request, the quarantine and the upstreams may change meanwhile.
        if (await waitToSend(admitted, placed, sendDelay)) continue;
        return refuseWithoutUpstream(placed);
      }
      const blocked = guarded.tryPass();
      if (blocked !== undefined) return refuseBlocked(blocked);
      const choice = chooseNext(admitted, placed);
      if (choice === undefined) {
        return refuseWithoutUpstream(placed);
      }
      placed.leaveWaiting();
      lastChoice = choice;
      if (upstreams.length === 0) placed.recordOffered(choice);
      const overloadReason =
        upstreamUse.count() > 0
          ? undefined
          : placed.overloadReason(choice, remainingMs());
      if (overloadReason !== undefined) {
        return refuse('overloaded', overloadReason, choice.expectedMs);
      }
      const {entry} = choice.candidate;
      if (!(await responseStream.verify(entry, remainingMs()))) continue;
      if (recorded || callerDisconnected) return;
      attempts = startAttemptRace({
        choice,
        start: (next, observer) =>
          startUpstreamAttempt(
            next,
            admitted,
            body,
            placed,
            responseStream,
            observer,
          ),
        chooseAnother: lastEventId =>
          chooseBesideStalled(admitted, placed, choice, lastEventId),
        // A failure is not final while another attempt runs.
        isFinal: result =>
          nextStep(result, {...snapshotProgress(admitted), canReturn: true})
            .step === 'pass_on',
        onDiscarded: discarded => {
          recordResult(discarded);
          logDiscarded(discarded);
        },
      });
      const ended = await attempts.ended;
      const {result} = ended;
      lastChoice = ended.choice;
      recordResult(ended);
      if (recorded || callerDisconnected) return;
      const progressNow = snapshotProgress(admitted);
      const decision = nextStep(result, progressNow);
      const reason = 'reason' in result ? result.reason : result.kind;
      if (decision.step === 'pass_on') return passOnResult(result);
      const affordable =
        decision.step === 'repeat' &&
        (!decision.costsBudget || tryRetry(context.retryBudget(service)));
      logger.info('attempt did not serve the request', {
        requestId: request.requestId,
        upstream: ended.choice.candidate.entry.id,
        upstreamVersion: ended.choice.candidate.entry.softwareVersion,
        ended: result.kind,
        reason,
        next: decision.step,
        affordable,
        remainingMs: Math.round(remainingMs()),
      });
      if (affordable) continue;
      const finalStep =
        decision.step === 'repeat'
          ? stepWithoutRetry(result, progressNow)
          : decision;
      if (finalStep.step === 'pass_on') return passOnResult(result);
      if (finalStep.step === 'break_off')
        return abortResponse(finalStep.error, reason);
      return refuse(finalStep.error, reason);
    }
  }

  /** Ends the request when the instance can serve it no longer. */
  function endForStop(reason: string): void {
    if (recorded || callerResponse.started) return;
    if (mayHaveRun()) fail('answer_incomplete', reason);
    else fail('shutting_down', reason, shutdownRetryAfterMs);
    attempts?.cancel(reason);
  }

  return {
    requestId: request.requestId,
    stage,
    openMs,
    end: endForStop,
    breakOff: reason => {
      abortResponse('answer_incomplete', reason);
      attempts?.cancel(reason);
    },
    onCallerClosed: () => {
      if (recorded) return;
      callerDisconnected = true;
      attempts?.cancel('the caller left');
      record('canceled', 0, 'the caller left');
    },
    onAdmitted: admitted => {
      if (recorded) return;
      admittedRequest = admitted;
      const {timeoutMs} = admitted.route;
      const callerLimitMs = request.callerTimeoutMs ?? Infinity;
      const limitMs = Math.min(callerLimitMs, timeoutMs);
      deadlineMs = assumedSentAtMs + limitMs;
      cutAtMs = arrivedAtMs + limitMs;
      answerAtMs =
        assumedSentAtMs +
        Math.min(
          timeoutMs + timeoutGraceMs,
          callerLimitMs - answerReserveFor(callerLimitMs),
        );
      const untilAnswerMs = answerAtMs - clock.nowMs();
      cancelTimeout = clock.after(Math.max(0, untilAnswerMs), onAnswerDue);
    },
    receive,
    tryAdmitLoad: ({route, tier}, share) => {
      const {loadControl} = context;
      const callerLimitMs = request.callerTimeoutMs ?? Infinity;
      const limitMs = Math.min(callerLimitMs, route.timeoutMs);
      const reason = loadControl.tryAdmit({tier, limitMs});
      if (reason !== undefined) {
        share.refused();
        refuse('overloaded', reason, loadControl.loopDelay.recentMaxMs());
        return false;
      }
      if (!share.tryAdmit(tier)) {
        refuse('overloaded', openRequestsReason);
        return false;
      }
      return true;
    },
    fail,
    failWith,
  };
}
