/**
 * A simulated entry instance: it acquires permits, runs attempts on the fake
 * engines, reports their progress, and decides on retries and hedges.
 */
import type {
  AcquireRequest,
  InstanceId,
  PermitOutcome,
  PermitRelease,
  ProgressSample,
  RequestId,
  ResumePoint,
  SchedulerEffect,
  UpstreamId,
} from '@toucanrouter/common';
import {
  toClassId,
  toRequestId,
  toUpstreamId,
  toWorkspaceId,
} from '@toucanrouter/common';
import type {RecoveryDecision} from '@toucanrouter/policy';
import {
  createHedgeBudget,
  createLengthModel,
  createRetryBudget,
  decideRecovery,
} from '@toucanrouter/policy';
import type {Arrival} from './Arrivals.js';
import type {EventLoop} from './EventLoop.js';
import type {Attempt, Exchange, ExchangeOutcome} from './Exchange.js';
import {createAttempt, createExchange} from './Exchange.js';
import type {FakeEngine} from './FakeEngine.js';
import type {SimulatedScheduler} from './FifoScheduler.js';

/** Options of an entry. */
export interface EntryOptions {
  readonly id: InstanceId;
  readonly loop: EventLoop;
  readonly engines: ReadonlyMap<UpstreamId, FakeEngine>;
  /** Calls the scheduler; its effects arrive later through `onEffect`. */
  readonly send: (
    call: (
      scheduler: SimulatedScheduler,
      nowMs: number,
    ) => readonly SchedulerEffect[],
  ) => void;
  /** Whether tokens received at this time count as goodput. */
  readonly isMeasured: (nowMs: number) => boolean;
}

export interface Entry {
  handleArrival(arrival: Arrival): Exchange;
  onEffect(effect: SchedulerEffect): void;
  reportProgress(): void;
}

/**
 * Share of the context that misses the prefix cache when a job resumes on the
 * engine that it ran on before.
 */
const resumePrefillShare = 0.1;

/** Expected output of a hedge while no lengths have been observed. */
const defaultHedgeTokens = 100;

/** Creates an entry that has no requests. */
export function createEntry(options: EntryOptions): Entry {
  const {loop} = options;
  const exchanges = new Map<RequestId, Exchange>();
  const activeExchanges = new Set<Exchange>();
  const retryBudget = createRetryBudget();
  const hedgeBudget = createHedgeBudget();
  const lengths = createLengthModel();

  function requestIdOf(exchange: Exchange): RequestId {
    return toRequestId(`r${exchange.arrival.index}`);
  }

  function deadlineAtMsOf({arrival}: Exchange): number {
    return arrival.atMs + arrival.spec.timeoutMs;
  }

  function acquire(
    exchange: Exchange,
    details: Partial<Pick<AcquireRequest, 'exclude' | 'hedge' | 'resume'>>,
  ): void {
    const {arrival} = exchange;
    exchange.acquireCount += 1;
    if (!details.hedge) exchange.queuedAtMs = loop.nowMs();
    const request: AcquireRequest = {
      requestId: requestIdOf(exchange),
      holder: options.id,
      classId: toClassId(arrival.spec.id),
      workspaceId: toWorkspaceId(`w${arrival.workspace}`),
      fallbackTier: arrival.spec.tier,
      arrivedAtMs: arrival.atMs,
      deadlineAtMs: deadlineAtMsOf(exchange),
      attempt: exchange.acquireCount,
      idempotent: true,
      promptTokens: arrival.promptTokens,
      exclude: [],
      hedge: false,
      ...details,
    };
    options.send((scheduler, nowMs) => scheduler.acquire(request, nowMs));
  }

  function release(attempt: Attempt, outcome: PermitOutcome, wasted = 0): void {
    const gaps = attempt.tokens - 1;
    const decodeMs =
      attempt.lastTokenAtMs - attempt.startedAtMs - (attempt.firstTokenMs ?? 0);
    const permitRelease: PermitRelease = {
      permitId: attempt.permitId,
      outcome,
      tokens: attempt.tokens,
      wastedTokens: wasted,
      firstTokenMs: attempt.firstTokenMs,
      tokenGapMs: gaps > 0 ? decodeMs / gaps : undefined,
      serviceMs: loop.nowMs() - attempt.startedAtMs,
    };
    options.send((scheduler, nowMs) => scheduler.release(permitRelease, nowMs));
  }

  function cancelAttempt(
    exchange: Exchange,
    attempt: Attempt,
    outcome: PermitOutcome,
    wasted = 0,
  ): void {
    attempt.handle?.cancel();
    exchange.attempts.delete(attempt.permitId);
    exchange.wastedTokens += wasted;
    release(attempt, outcome, wasted);
  }

  function recordQueueingDelay(exchange: Exchange): void {
    if (exchange.queuedAtMs === undefined) return;
    const queueingDelayMs = loop.nowMs() - exchange.queuedAtMs;
    exchange.maxQueueingDelayMs = Math.max(
      exchange.maxQueueingDelayMs,
      queueingDelayMs,
    );
    exchange.firstQueueingDelayMs ??= queueingDelayMs;
    exchange.queuedAtMs = undefined;
  }

  function finish(exchange: Exchange, outcome: ExchangeOutcome): void {
    recordQueueingDelay(exchange);
    exchange.outcome = outcome;
    activeExchanges.delete(exchange);
    // A partial response is of no use to the caller.
    if (outcome !== 'completed')
      exchange.wastedTokens += exchange.receivedTokens;
    cancelAllAttempts(exchange);
  }

  function onDeadline(exchange: Exchange): void {
    if (exchange.outcome !== undefined) return;
    const id = requestIdOf(exchange);
    options.send((scheduler, nowMs) => scheduler.cancel(id, nowMs));
    finish(exchange, 'timed_out');
  }

  function handleArrival(arrival: Arrival): Exchange {
    const exchange = createExchange(arrival);
    exchanges.set(requestIdOf(exchange), exchange);
    activeExchanges.add(exchange);
    retryBudget.recordRequest(loop.nowMs());
    loop.after(arrival.spec.timeoutMs, () => onDeadline(exchange));
    acquire(exchange, {});
    return exchange;
  }

  function otherAttemptsOf(exchange: Exchange, attempt: Attempt): Attempt[] {
    return [...exchange.attempts.values()].filter(other => other !== attempt);
  }

  function onFirstToken(exchange: Exchange, attempt: Attempt): void {
    const nowMs = loop.nowMs();
    attempt.firstTokenMs = nowMs - attempt.startedAtMs;
    exchange.firstTokenAtMs ??= nowMs;
    // The first attempt to deliver a token wins; the others are canceled.
    for (const other of otherAttemptsOf(exchange, attempt)) {
      cancelAttempt(exchange, other, 'canceled');
    }
  }

  function onToken(exchange: Exchange, attempt: Attempt): void {
    const nowMs = loop.nowMs();
    if (attempt.tokens === 0) onFirstToken(exchange, attempt);
    attempt.tokens += 1;
    attempt.lastTokenAtMs = nowMs;
    exchange.receivedTokens += 1;
    exchange.lastTokenAtMs = nowMs;
    if (options.isMeasured(nowMs)) exchange.measuredTokens += 1;
    hedgeBudget.recordWork(1);
  }

  function onDone(exchange: Exchange, attempt: Attempt): void {
    const {spec, workspace} = exchange.arrival;
    const classId = toClassId(spec.id);
    const workspaceId = toWorkspaceId(`w${workspace}`);
    lengths.observe(classId, workspaceId, exchange.receivedTokens);
    exchange.attempts.delete(attempt.permitId);
    release(attempt, 'completed');
    finish(exchange, 'completed');
  }

  function decideAttemptRecovery(
    exchange: Exchange,
    attempt: Attempt,
  ): RecoveryDecision {
    const nowMs = loop.nowMs();
    const wasRefused = attempt.tokens === 0;
    return decideRecovery(
      {
        endReason: wasRefused ? 'refused' : 'broken',
        idempotent: true,
        attempts: exchange.failedAttempts,
        nowMs,
        deadlineAtMs: deadlineAtMsOf(exchange),
        receivedTokens: exchange.receivedTokens,
        relayed: exchange.receivedTokens > 0,
        resumable: false,
        sameUpstreamUsable: false,
        resumeFailed: false,
        continuable: true,
        otherUpstreamUsable: true,
      },
      () => retryBudget.tryRetry(nowMs),
    );
  }

  function resumePoint(
    exchange: Exchange,
    upstreamId: UpstreamId,
  ): ResumePoint | undefined {
    const tokens = exchange.receivedTokens;
    return tokens === 0 ? undefined : {upstreamId, tokens};
  }

  function onAttemptFailed(exchange: Exchange, attempt: Attempt): void {
    cancelAttempt(exchange, attempt, 'failed');
    if (exchange.attempts.size > 0) return;
    exchange.failedAttempts += 1;
    const decision = decideAttemptRecovery(exchange, attempt);
    if (decision.kind === 'fail') {
      finish(exchange, 'failed');
      return;
    }
    const {upstreamId} = attempt;
    const resume = resumePoint(exchange, upstreamId);
    acquire(exchange, {exclude: [upstreamId], resume});
  }

  function uncachedTokens(exchange: Exchange, upstreamId: UpstreamId): number {
    const {promptTokens} = exchange.arrival;
    const contextTokens = promptTokens + exchange.receivedTokens;
    const previousUpstreamId = previousUpstreams.get(exchange);
    const isResume =
      exchange.receivedTokens > 0 && previousUpstreamId === upstreamId;
    return isResume
      ? Math.ceil(contextTokens * resumePrefillShare)
      : contextTokens;
  }

  const previousUpstreams = new WeakMap<Exchange, UpstreamId>();

  function startAttempt(exchange: Exchange, attempt: Attempt): void {
    const {arrival, receivedTokens} = exchange;
    const engine = options.engines.get(attempt.upstreamId);
    const prefill = uncachedTokens(exchange, attempt.upstreamId);
    previousUpstreams.set(exchange, attempt.upstreamId);
    exchange.attempts.set(attempt.permitId, attempt);
    attempt.handle = engine?.start({
      priority: arrival.spec.tier,
      prefillTokens: prefill,
      contextTokens: arrival.promptTokens + receivedTokens,
      outputTokens: arrival.outputTokens - receivedTokens,
      onToken: () => onToken(exchange, attempt),
      onDone: () => onDone(exchange, attempt),
      onFailed: () => onAttemptFailed(exchange, attempt),
    });
  }

  function cancelAllAttempts(exchange: Exchange): void {
    for (const attempt of [...exchange.attempts.values()]) {
      cancelAttempt(exchange, attempt, 'canceled');
    }
  }

  function onGrant(
    exchange: Exchange,
    effect: Extract<SchedulerEffect, {kind: 'grant'}>,
  ): void {
    const hedge = effect.attempt === exchange.hedgeAttempt;
    const {permitId, upstreamId} = effect;
    const attempt = createAttempt(permitId, upstreamId, hedge, loop.nowMs());
    const isLateHedge = hedge && exchange.attempts.size === 0;
    if (exchange.outcome !== undefined || isLateHedge) {
      release(attempt, 'unused');
      return;
    }
    if (!hedge) recordQueueingDelay(exchange);
    // The hedge resumes the response after the received tokens, so the original
    // attempt must not deliver more.
    if (hedge && exchange.receivedTokens > 0) cancelAllAttempts(exchange);
    startAttempt(exchange, attempt);
  }

  function onPreempt(
    exchange: Exchange,
    effect: Extract<SchedulerEffect, {kind: 'preempt'}>,
  ): void {
    const attempt = exchange.attempts.get(effect.permitId);
    if (attempt === undefined) return;
    cancelAttempt(exchange, attempt, 'preempted');
    if (exchange.attempts.size > 0 || exchange.outcome !== undefined) return;
    acquire(exchange, {resume: resumePoint(exchange, attempt.upstreamId)});
  }

  /** Estimates the additional tokens that a hedge on another engine costs. */
  function estimateHedgeTokens(exchange: Exchange): number {
    if (exchange.receivedTokens > 0) return exchange.receivedTokens;
    const {spec, workspace} = exchange.arrival;
    const classId = toClassId(spec.id);
    const workspaceId = toWorkspaceId(`w${workspace}`);
    return lengths.quantile(classId, workspaceId, 0.5) ?? defaultHedgeTokens;
  }

  function onSuspect(
    exchange: Exchange,
    effect: Extract<SchedulerEffect, {kind: 'suspect'}>,
  ): void {
    const attempt = exchange.attempts.get(effect.permitId);
    const isHedged = exchange.hedgeAttempt !== undefined;
    if (attempt === undefined || isHedged) return;
    const expectedTokens = estimateHedgeTokens(exchange);
    if (!hedgeBudget.tryHedge(expectedTokens)) return;
    exchange.hedgeAttempt = exchange.acquireCount + 1;
    const {upstreamId} = attempt;
    const resume = resumePoint(exchange, upstreamId);
    acquire(exchange, {hedge: true, exclude: [upstreamId], resume});
  }

  function onRefuse(
    exchange: Exchange,
    effect: Extract<SchedulerEffect, {kind: 'refuse'}>,
  ): void {
    if (exchange.outcome !== undefined) return;
    if (effect.attempt === exchange.hedgeAttempt) return;
    finish(exchange, 'refused');
  }

  function onEffect(effect: SchedulerEffect): void {
    const exchange = exchanges.get(effect.requestId);
    if (exchange === undefined) return;
    switch (effect.kind) {
      case 'grant':
        return onGrant(exchange, effect);
      case 'refuse':
        return onRefuse(exchange, effect);
      case 'preempt':
        return onPreempt(exchange, effect);
      case 'suspect':
        return onSuspect(exchange, effect);
    }
  }

  function createProgressSample(attempt: Attempt): ProgressSample {
    return {
      permitId: attempt.permitId,
      tokens: attempt.tokens,
      firstTokenMs: attempt.firstTokenMs,
      sinceLastTokenMs: loop.nowMs() - attempt.lastTokenAtMs,
    };
  }

  function reportProgress(): void {
    const samples: ProgressSample[] = [];
    for (const exchange of activeExchanges) {
      for (const attempt of exchange.attempts.values()) {
        samples.push(createProgressSample(attempt));
      }
    }
    if (samples.length === 0) return;
    options.send((scheduler, nowMs) => scheduler.progress(samples, nowMs));
  }

  return {handleArrival, onEffect, reportProgress};
}

/** Returns the id of the engine with an index. */
export function engineId(index: number): UpstreamId {
  return toUpstreamId(`engine${index}`);
}
