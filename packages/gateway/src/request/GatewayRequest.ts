/**
 * Serves one request: admits it, sends it to an upstream, passes the answer
 * on, and repeats or continues it elsewhere as far as its class allows.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ErrorKind, UpstreamId} from '@toucanrouter/common';
import {errorResponseFor, RouterError} from '@toucanrouter/common';
import {pickService} from '../config/RouteTable.js';
import type {Choice} from '../upstreams/UpstreamChoice.js';
import {placementPart} from '../upstreams/PromptHomes.js';
import type {Admitted} from './Admission.js';
import {admit} from './Admission.js';
import type {Attempt, AttemptEnd, SilenceBound} from './Attempt.js';
import {outcomeOf, startAttempt} from './Attempt.js';
import {readBody} from './CallerBody.js';
import type {CallerReply} from './CallerReply.js';
import {createCallerReply} from './CallerReply.js';
import type {CallerRequest} from './Dialect.js';
import type {GatewayContext} from './GatewayContext.js';
import type {RequestProgress} from './RepeatRules.js';
import {createRequestPlacement} from './RequestPlacement.js';
import {nextStep, stepWithoutRepeat} from './RepeatRules.js';
import {upstreamRank} from './UpstreamRank.js';
import {returnDelayMs} from './RetryAfter.js';

/**
 * The upstream ends at the time that it is told; its own answer is let through
 * for this long before the router answers in its place.
 */
const timeoutSlackMs = 100;
/** An idle connection older than this may be stale. */
const maxIdleUnrepeatableMs = 1_500;
const maxIdleRepeatableMs = 5_000;
/** Silence on a request that may be repeated, in target latencies. */
const silentTargets = 3;
const minSilenceMs = 400;
/** Silence between events, in target gaps. */
const silentGaps = 3;
const minGapSilenceMs = 700;
const shutdownReturnMs = 50;

/** Serves a request from its head to the end of its answer. */
export async function serveRequest(
  context: GatewayContext,
  message: IncomingMessage,
  response: ServerResponse,
  closing: () => boolean,
): Promise<void> {
  const request = context.dialect.readRequest(message);
  const reply = createCallerReply({response, closing});
  const call = createCall(context, request, reply);
  response.once('close', call.callerClosed);
  if (context.refusing()) {
    call.fail('shutting_down', 'the instance is stopping', shutdownReturnMs);
    return;
  }
  const admitted = await admit(context, request);
  if (admitted.isErr()) {
    call.failWith(admitted.error);
    return;
  }
  call.admitted(admitted.value);
  const body = await readBody(message, admitted.value.config.limits);
  if (body.isErr()) call.failWith(body.error);
  else await call.run(admitted.value, body.value);
}

interface Call {
  callerClosed(): void;
  admitted(admitted: Admitted): void;
  run(admitted: Admitted, body: Buffer): Promise<void>;
  fail(kind: ErrorKind, reason: string, retryAfterMs?: number): void;
  failWith(error: RouterError): void;
}

function createCall(
  context: GatewayContext,
  request: CallerRequest,
  reply: CallerReply,
): Call {
  const {clock, config, configAge, logger, random} = context;
  const arrivedAtMs = clock.nowMs();
  const upstreams: UpstreamId[] = [];
  let admittedAs: Admitted | undefined;
  let deadlineMs = Infinity;
  let attempt: Attempt | undefined;
  let sentAtMs = arrivedAtMs;
  let chosen: Choice | undefined;
  let firstAnswerMs: number | undefined;
  let eventCount = 0;
  let longestPauseMs = 0;
  let lastEventAtMs = 0;
  let recorded = false;
  let callerLeft = false;
  let cancelTimeout = (): void => undefined;
  const progress = {
    upstreamsUsed: 0,
    unsentCount: 0,
    misdirectedCount: 0,
    mayHaveRun: false,
    answerBegun: false,
    lastEventId: request.resumeAfterId,
  };

  const remainingMs = () => deadlineMs - clock.nowMs();

  function record(
    outcome: ErrorKind | 'served',
    status: number,
    reason?: string,
  ): void {
    if (recorded) return;
    recorded = true;
    cancelTimeout();
    context.onEnded({
      requestId: request.requestId,
      classId: admittedAs?.route.classId,
      tier: admittedAs?.tier,
      promptTokens: request.prompt?.promptTokens,
      workspaceId: admittedAs?.workspace?.workspaceId,
      outcome,
      status,
      upstreams,
      expectedMs: chosen?.expectedMs,
      tokensToRead: chosen?.tokensToRead,
      homeRank: chosen?.homeRank,
      firstAnswerMs,
      longestPauseMs,
      totalMs: clock.nowMs() - arrivedAtMs,
      targetLatencyMs: admittedAs?.route.targetLatencyMs,
      configVersion: config.current()?.version ?? 0,
      configAgeMs: Math.round(configAge.ageMs()),
      reason,
    });
  }

  function failWith(error: RouterError): void {
    if (recorded) return;
    reply.error(error, request.requestId);
    record(error.kind, errorResponseFor(error.kind).status, error.message);
  }

  function fail(kind: ErrorKind, reason: string, retryAfterMs?: number): void {
    failWith(new RouterError(kind, reason, {retryAfterMs}));
  }

  function refuse(kind: ErrorKind, reason: string, busyMs = 0): void {
    const notRun = kind === 'overloaded' || kind === 'no_upstream';
    if (!notRun || admittedAs === undefined) return fail(kind, reason);
    const delayMs = returnDelayMs({
      tier: admittedAs.tier,
      targetLatencyMs: admittedAs.route.targetLatencyMs,
      busyMs,
      remainingMs: remainingMs(),
      random,
    });
    fail(kind, reason, delayMs);
  }

  function breakOff(kind: ErrorKind, reason: string): void {
    reply.breakOff();
    record(kind, 0, reason);
  }

  function timedOut(): void {
    if (recorded) return;
    const mayHaveRun = progress.mayHaveRun || attempt?.wasSent() === true;
    const reason = `not answered within ${Math.round(deadlineMs - arrivedAtMs)} ms`;
    if (reply.begun) breakOff('answer_timeout', reason);
    else if (mayHaveRun) fail('answer_timeout', reason);
    else refuse('overloaded', reason);
    attempt?.cancel(reason);
  }

  function silenceBound({route}: Admitted): SilenceBound | undefined {
    if (route.repeat === 'never') return undefined;
    return {
      firstAnswerMs: Math.max(
        minSilenceMs,
        route.targetLatencyMs * silentTargets,
      ),
      betweenEventsMs: Math.max(
        minGapSilenceMs,
        (route.targetGapMs ?? 0) * silentGaps,
      ),
    };
  }

  function send(choice: Choice, admitted: Admitted, body: Buffer): Attempt {
    const {route, workspace} = admitted;
    const {entry} = choice.candidate;
    const part = request.prompt && placementPart(request.prompt);
    if (part !== undefined) context.homes.sent(part, entry.id, clock.nowMs());
    upstreams.push(entry.id);
    sentAtMs = clock.nowMs();
    return startAttempt({
      clock,
      connections: context.connections,
      dialect: context.dialect,
      choice,
      requestId: request.requestId,
      method: request.method,
      target: request.target,
      headers: context.dialect.upstreamHeaders(request, {
        upstreamId: entry.id,
        remainingMs: remainingMs(),
        workspaceId: workspace?.workspaceId,
        rank: upstreamRank(admitted.tier, route.tier),
        resumeAfterId: progress.lastEventId,
      }),
      body,
      streams: route.streams,
      maxIdleMs:
        route.repeat === 'never' ? maxIdleUnrepeatableMs : maxIdleRepeatableMs,
      silence: silenceBound(admitted),
      receiver: {
        events: (answer, {bytes, count}) => {
          const nowMs = clock.nowMs();
          firstAnswerMs ??= nowMs - arrivedAtMs;
          if (eventCount > 0) {
            const pauseMs = nowMs - lastEventAtMs;
            longestPauseMs = Math.max(longestPauseMs, pauseMs);
            context.lengths.eventGap(route.classId, pauseMs / count);
          }
          lastEventAtMs = nowMs;
          eventCount += count;
          if (!reply.begun) reply.begin(answer.status, answer.headers);
          progress.answerBegun = true;
          return reply.write(bytes);
        },
        onDrain: reply.onDrain,
      },
    });
  }

  function noteEnd(choice: Choice, end: AttemptEnd, ended: Attempt): void {
    const {condition, entry} = choice.candidate;
    progress.lastEventId = ended.lastEventId() ?? progress.lastEventId;
    if (end.kind === 'unsent') progress.unsentCount += 1;
    else if (end.kind === 'misdirected') progress.misdirectedCount += 1;
    else progress.upstreamsUsed += 1;
    progress.mayHaveRun ||= end.kind === 'broken' || end.kind === 'answered';
    if (callerLeft || recorded) return;
    if (end.kind === 'misdirected') context.registry.displaced(entry.id);
    else condition.outcome(outcomeOf(end), clock.nowMs());
  }

  function passOn(end: AttemptEnd): void {
    if (end.kind === 'answered') {
      firstAnswerMs ??= clock.nowMs() - arrivedAtMs;
      reply.whole(end.answer.status, end.answer.headers, end.body);
      record('served', end.answer.status);
      return;
    }
    // A stream that is resumed after its last event has no further events.
    if (end.kind === 'streamed')
      reply.begin(end.answer.status, end.answer.headers);
    reply.end();
    if (admittedAs !== undefined) {
      const {classId} = admittedAs.route;
      const durationMs = clock.nowMs() - sentAtMs;
      context.lengths.completed(classId, eventCount, durationMs);
    }
    record('served', 200);
  }

  function currentProgress({route}: Admitted): RequestProgress {
    return {
      ...progress,
      repeat: route.repeat,
      maxUpstreams: route.maxUpstreams,
      remainingMs: remainingMs(),
    };
  }

  async function run(admitted: Admitted, body: Buffer): Promise<void> {
    const service = pickService(admitted.route, random);
    if (service === undefined) return refuse('no_upstream', 'no service');
    const placement = createRequestPlacement({
      context,
      request,
      admitted,
      service,
    });
    const budget = context.retryBudget(service);
    budget.recordRequest(clock.nowMs());
    while (!recorded && !callerLeft) {
      const choice = placement.choose(upstreams);
      if (choice === undefined) {
        const kind = progress.mayHaveRun ? 'upstream_failed' : 'no_upstream';
        const reason = `no further upstream of ${service}`;
        return reply.begun ? breakOff(kind, reason) : refuse(kind, reason);
      }
      chosen = choice;
      const overload =
        progress.upstreamsUsed > 0
          ? undefined
          : placement.overload(choice, remainingMs());
      if (overload !== undefined) {
        return refuse('overloaded', overload, choice.expectedMs);
      }
      const unregister =
        request.prompt &&
        context.division(service).registerRequest(request.prompt);
      attempt = send(choice, admitted, body);
      const end = await attempt.end;
      unregister?.();
      noteEnd(choice, end, attempt);
      if (recorded || callerLeft) return;
      const progressNow = currentProgress(admitted);
      const wanted = nextStep(end, progressNow);
      const reason = 'reason' in end ? end.reason : end.kind;
      if (wanted.step === 'pass_on') return passOn(end);
      const affordable =
        wanted.step === 'repeat' &&
        (!wanted.costsBudget || budget.tryRetry(clock.nowMs()));
      logger.info('attempt did not serve the request', {
        requestId: request.requestId,
        upstream: choice.candidate.entry.id,
        ended: end.kind,
        reason,
        next: wanted.step,
        affordable,
        remainingMs: Math.round(remainingMs()),
      });
      if (affordable) continue;
      const last =
        wanted.step === 'repeat' ? stepWithoutRepeat(end, progressNow) : wanted;
      if (last.step === 'pass_on') return passOn(end);
      if (last.step === 'break_off') return breakOff(last.error, reason);
      return refuse(last.error, reason);
    }
  }

  return {
    callerClosed: () => {
      if (recorded) return;
      callerLeft = true;
      attempt?.cancel('the caller left');
      record('canceled', 0, 'the caller left');
    },
    admitted: admitted => {
      admittedAs = admitted;
      const waitsMs = Math.min(
        request.waitsMs ?? Infinity,
        admitted.route.timeoutMs,
      );
      deadlineMs = arrivedAtMs + waitsMs;
      const boundMs = remainingMs() + timeoutSlackMs;
      cancelTimeout = clock.after(Math.max(0, boundMs), timedOut);
    },
    run,
    fail,
    failWith,
  };
}
