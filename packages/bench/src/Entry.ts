/**
 * An entry instance of a run: asks for permits, runs attempts on the fake
 * engines, reports their progress, and applies the entry-side decisions.
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
import type {Attempt, Exchange, ExchangeEnd} from './Exchange.js';
import {createAttempt, createExchange} from './Exchange.js';
import type {FakeEngine} from './FakeEngine.js';
import type {SimulatedScheduler} from './FifoScheduler.js';

/** What an entry works with. */
export interface EntryOptions {
  readonly id: InstanceId;
  readonly loop: EventLoop;
  readonly engines: ReadonlyMap<UpstreamId, FakeEngine>;
  /** Calls the scheduler; the effects come back through `onEffect`. */
  readonly send: (
    call: (
      scheduler: SimulatedScheduler,
      nowMs: number,
    ) => readonly SchedulerEffect[],
  ) => void;
  /** Tokens received in this period count as goodput. */
  readonly isMeasured: (nowMs: number) => boolean;
}

/** One entry instance. */
export interface Entry {
  arrive(arrival: Arrival): Exchange;
  onEffect(effect: SchedulerEffect): void;
  reportProgress(): void;
}

/** Share of a prompt that an engine processes again when a job resumes there. */
const resumePrefillShare = 0.1;

/** Expected length of a second copy before lengths are known. */
const unknownHedgeTokens = 100;

/** Creates an entry without requests. */
export function createEntry(options: EntryOptions): Entry {
  const {loop} = options;
  const all = new Map<RequestId, Exchange>();
  const active = new Set<Exchange>();
  const retries = createRetryBudget();
  const hedges = createHedgeBudget();
  const lengths = createLengthModel();

  function idOf(exchange: Exchange): RequestId {
    return toRequestId(`r${exchange.arrival.index}`);
  }

  function deadlineOf({arrival}: Exchange): number {
    return arrival.atMs + arrival.spec.timeoutMs;
  }

  function acquire(
    exchange: Exchange,
    details: Partial<Pick<AcquireRequest, 'exclude' | 'hedge' | 'resume'>>,
  ): void {
    const {arrival} = exchange;
    exchange.asked += 1;
    if (!details.hedge) exchange.waitingSinceMs = loop.nowMs();
    const request: AcquireRequest = {
      requestId: idOf(exchange),
      holder: options.id,
      classId: toClassId(arrival.spec.id),
      workspaceId: toWorkspaceId(`w${arrival.workspace}`),
      fallbackTier: arrival.spec.tier,
      arrivedAtMs: arrival.atMs,
      deadlineAtMs: deadlineOf(exchange),
      attempt: exchange.asked,
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
    const message: PermitRelease = {
      permitId: attempt.permitId,
      outcome,
      tokens: attempt.tokens,
      wastedTokens: wasted,
      firstTokenMs: attempt.firstTokenMs,
      tokenGapMs: gaps > 0 ? decodeMs / gaps : undefined,
      serviceMs: loop.nowMs() - attempt.startedAtMs,
    };
    options.send((scheduler, nowMs) => scheduler.release(message, nowMs));
  }

  function drop(
    exchange: Exchange,
    attempt: Attempt,
    outcome: PermitOutcome,
    wasted = 0,
  ): void {
    attempt.handle?.cancel();
    exchange.attempts.delete(attempt.permitId);
    exchange.wasted += wasted;
    release(attempt, outcome, wasted);
  }

  function endWait(exchange: Exchange): void {
    if (exchange.waitingSinceMs === undefined) return;
    const waitMs = loop.nowMs() - exchange.waitingSinceMs;
    exchange.longestWaitMs = Math.max(exchange.longestWaitMs, waitMs);
    exchange.firstWaitMs ??= waitMs;
    exchange.waitingSinceMs = undefined;
  }

  function finish(exchange: Exchange, end: ExchangeEnd): void {
    endWait(exchange);
    exchange.end = end;
    active.delete(exchange);
    // The answer so far is of no use to a caller that gets no end.
    if (end !== 'completed') exchange.wasted += exchange.received;
    dropAll(exchange);
  }

  function onDeadline(exchange: Exchange): void {
    if (exchange.end !== undefined) return;
    const id = idOf(exchange);
    options.send((scheduler, nowMs) => scheduler.cancel(id, nowMs));
    finish(exchange, 'timed_out');
  }

  function arrive(arrival: Arrival): Exchange {
    const exchange = createExchange(arrival);
    all.set(idOf(exchange), exchange);
    active.add(exchange);
    retries.recordRequest(loop.nowMs());
    loop.after(arrival.spec.timeoutMs, () => onDeadline(exchange));
    acquire(exchange, {});
    return exchange;
  }

  function otherAttempts(exchange: Exchange, attempt: Attempt): Attempt[] {
    return [...exchange.attempts.values()].filter(other => other !== attempt);
  }

  function onFirstToken(exchange: Exchange, attempt: Attempt): void {
    const nowMs = loop.nowMs();
    attempt.firstTokenMs = nowMs - attempt.startedAtMs;
    exchange.firstTokenAtMs ??= nowMs;
    // The copy that delivers first goes on; it continues from what is there.
    for (const other of otherAttempts(exchange, attempt)) {
      drop(exchange, other, 'canceled');
    }
  }

  function onToken(exchange: Exchange, attempt: Attempt): void {
    const nowMs = loop.nowMs();
    if (attempt.tokens === 0) onFirstToken(exchange, attempt);
    attempt.tokens += 1;
    attempt.lastTokenAtMs = nowMs;
    exchange.received += 1;
    exchange.lastTokenAtMs = nowMs;
    if (options.isMeasured(nowMs)) exchange.receivedInWindow += 1;
    hedges.recordWork(1);
  }

  function onDone(exchange: Exchange, attempt: Attempt): void {
    const {spec, workspace} = exchange.arrival;
    const classId = toClassId(spec.id);
    const workspaceId = toWorkspaceId(`w${workspace}`);
    lengths.observe(classId, workspaceId, exchange.received);
    exchange.attempts.delete(attempt.permitId);
    release(attempt, 'completed');
    finish(exchange, 'completed');
  }

  function recover(exchange: Exchange, attempt: Attempt): RecoveryDecision {
    const nowMs = loop.nowMs();
    const wasRefused = attempt.tokens === 0;
    return decideRecovery(
      {
        endReason: wasRefused ? 'refused' : 'broken',
        idempotent: true,
        attempts: exchange.lost,
        nowMs,
        deadlineAtMs: deadlineOf(exchange),
        receivedTokens: exchange.received,
        relayed: exchange.received > 0,
        resumable: false,
        sameUpstreamUsable: false,
        resumeFailed: false,
        continuable: true,
        otherUpstreamUsable: true,
      },
      () => retries.tryRetry(nowMs),
    );
  }

  function resumePoint(
    exchange: Exchange,
    upstreamId: UpstreamId,
  ): ResumePoint | undefined {
    const tokens = exchange.received;
    return tokens === 0 ? undefined : {upstreamId, tokens};
  }

  function onBroken(exchange: Exchange, attempt: Attempt): void {
    drop(exchange, attempt, 'failed');
    if (exchange.attempts.size > 0) return;
    exchange.lost += 1;
    const decision = recover(exchange, attempt);
    if (decision.kind === 'fail') {
      finish(exchange, 'failed');
      return;
    }
    const {upstreamId} = attempt;
    const resume = resumePoint(exchange, upstreamId);
    acquire(exchange, {exclude: [upstreamId], resume});
  }

  function prefillTokens(exchange: Exchange, upstreamId: UpstreamId): number {
    const {promptTokens} = exchange.arrival;
    const context = promptTokens + exchange.received;
    const last = lastUpstream.get(exchange);
    const isResume = exchange.received > 0 && last === upstreamId;
    return isResume ? Math.ceil(context * resumePrefillShare) : context;
  }

  const lastUpstream = new WeakMap<Exchange, UpstreamId>();

  function startAttempt(exchange: Exchange, attempt: Attempt): void {
    const {arrival, received} = exchange;
    const engine = options.engines.get(attempt.upstreamId);
    const prefill = prefillTokens(exchange, attempt.upstreamId);
    lastUpstream.set(exchange, attempt.upstreamId);
    exchange.attempts.set(attempt.permitId, attempt);
    attempt.handle = engine?.start({
      priority: arrival.spec.tier,
      prefillTokens: prefill,
      contextTokens: arrival.promptTokens + received,
      outputTokens: arrival.outputTokens - received,
      onToken: () => onToken(exchange, attempt),
      onDone: () => onDone(exchange, attempt),
      onBroken: () => onBroken(exchange, attempt),
    });
  }

  function dropAll(exchange: Exchange): void {
    for (const attempt of [...exchange.attempts.values()]) {
      drop(exchange, attempt, 'canceled');
    }
  }

  function onGrant(
    exchange: Exchange,
    effect: Extract<SchedulerEffect, {kind: 'grant'}>,
  ): void {
    const hedge = effect.attempt === exchange.hedgeAskedAttempt;
    const {permitId, upstreamId} = effect;
    const attempt = createAttempt(permitId, upstreamId, hedge, loop.nowMs());
    const isLateHedge = hedge && exchange.attempts.size === 0;
    if (exchange.end !== undefined || isLateHedge) {
      release(attempt, 'unused');
      return;
    }
    if (!hedge) endWait(exchange);
    // A copy of a job that has begun continues it, so the original must stop.
    if (hedge && exchange.received > 0) dropAll(exchange);
    startAttempt(exchange, attempt);
  }

  function onPreempt(
    exchange: Exchange,
    effect: Extract<SchedulerEffect, {kind: 'preempt'}>,
  ): void {
    const attempt = exchange.attempts.get(effect.permitId);
    if (attempt === undefined) return;
    drop(exchange, attempt, 'preempted');
    if (exchange.attempts.size > 0 || exchange.end !== undefined) return;
    acquire(exchange, {resume: resumePoint(exchange, attempt.upstreamId)});
  }

  /** Tokens that a copy on another engine processes in addition. */
  function hedgeCost(exchange: Exchange): number {
    if (exchange.received > 0) return exchange.received;
    const {spec, workspace} = exchange.arrival;
    const classId = toClassId(spec.id);
    const workspaceId = toWorkspaceId(`w${workspace}`);
    return lengths.quantile(classId, workspaceId, 0.5) ?? unknownHedgeTokens;
  }

  function onSuspect(
    exchange: Exchange,
    effect: Extract<SchedulerEffect, {kind: 'suspect'}>,
  ): void {
    const attempt = exchange.attempts.get(effect.permitId);
    const asked = exchange.hedgeAskedAttempt !== undefined;
    if (attempt === undefined || asked) return;
    const expected = hedgeCost(exchange);
    if (!hedges.tryHedge(expected)) return;
    exchange.hedgeAskedAttempt = exchange.asked + 1;
    const {upstreamId} = attempt;
    const resume = resumePoint(exchange, upstreamId);
    acquire(exchange, {hedge: true, exclude: [upstreamId], resume});
  }

  function onRefuse(
    exchange: Exchange,
    effect: Extract<SchedulerEffect, {kind: 'refuse'}>,
  ): void {
    if (exchange.end !== undefined) return;
    if (effect.attempt === exchange.hedgeAskedAttempt) return;
    finish(exchange, 'refused');
  }

  function onEffect(effect: SchedulerEffect): void {
    const exchange = all.get(effect.requestId);
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

  function sampleOf(attempt: Attempt): ProgressSample {
    return {
      permitId: attempt.permitId,
      tokens: attempt.tokens,
      firstTokenMs: attempt.firstTokenMs,
      sinceLastTokenMs: loop.nowMs() - attempt.lastTokenAtMs,
    };
  }

  function reportProgress(): void {
    const samples: ProgressSample[] = [];
    for (const exchange of active) {
      for (const attempt of exchange.attempts.values()) {
        samples.push(sampleOf(attempt));
      }
    }
    if (samples.length === 0) return;
    options.send((scheduler, nowMs) => scheduler.progress(samples, nowMs));
  }

  return {arrive, onEffect, reportProgress};
}

/** The id of an engine by its index. */
export function engineId(index: number): UpstreamId {
  return toUpstreamId(`engine${index}`);
}
