/**
 * The holder's side of the permit exchange: requests permits from the scheduler
 * of a shard, holds those that were granted, reports their progress, and moves
 * to the next scheduler when the current one has failed or is leaving.
 */
import type {
  AcquireRequest,
  AnnouncedPermit,
  Clock,
  InstanceId,
  PermitId,
  PermitOutcome,
  PreemptReason,
  ProgressSample,
  RequestId,
  SchedulerEffect,
  ShardId,
  Undo,
  UpstreamId,
} from '@toucanrouter/common';
import {RouterError} from '@toucanrouter/common';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {RateStatement} from '@toucanrouter/policy';
import type {SchedulerPort} from './SchedulerHost.js';
import {
  progressIntervalMs,
  progressTickMs,
  rateReportIntervalMs,
  acquireResendIntervalMs,
  stalledAfterMs,
} from './SchedulingConstants.js';

/** How a job ended, as its holder reports it. */
export interface JobEnd {
  readonly outcome: PermitOutcome;
  readonly wastedTokens: number;
  /** Whether a request was sent; by default, unless the permit is unused. */
  readonly reachedUpstream?: boolean;
}

/** Permission to run one job on one upstream. */
export interface Permit {
  readonly permitId: PermitId;
  readonly upstreamId: UpstreamId;
  /** The rate to which the upstream limits all instances, if it does. */
  readonly limitPerS?: number;
  /** Records new tokens; the response of a plain call counts as one token. */
  recordTokens(count: number): void;
  /** Called when the scheduler preempts the job. */
  onPreempt: ((reason: PreemptReason) => void) | undefined;
  /** Called when the upstream is a straggler. */
  onSuspect: (() => void) | undefined;
  /** Releases the permit; only the first call has an effect. */
  release(end: JobEnd): void;
}

/** A request for a permit without the fields that the client fills in. */
export type PermitRequest = Omit<AcquireRequest, 'holder'>;

/** Dependencies of a permit client. */
export interface PermitClientOptions {
  readonly clock: Clock;
  readonly selfId: InstanceId;
  readonly ownerOf: (shardId: ShardId) => InstanceId;
  /** The port of a scheduler, on this instance or another. */
  readonly portOf: (scheduler: InstanceId) => SchedulerPort;
  /** The request rates that upstreams of a shard stated to this instance. */
  readonly statedRates?: (shardId: ShardId) => readonly RateStatement[];
}

/** Requests and holds the permits of one instance. */
export interface PermitClient {
  /** Resolves with a permit, a refusal, or `canceled` after an abort. */
  acquire(
    shardId: ShardId,
    request: PermitRequest,
    signal: AbortSignal,
  ): Promise<Result<Permit, RouterError>>;
  /** Handles a decision of a scheduler. */
  deliver(shardId: ShardId, from: InstanceId, effect: SchedulerEffect): void;
  /** Reports at once what upstreams of a shard stated. */
  reportRates(shardId: ShardId): void;
  /** Moves each shard whose owner has changed to its new scheduler. */
  refreshOwners(): void;
  counts(): {readonly pending: number; readonly held: number};
  start(): void;
  close(): void;
}

interface PendingRequest {
  readonly request: AcquireRequest;
  sentAtMs: number;
  complete(result: Result<Permit, RouterError>): void;
}

interface HeldPermit extends Permit {
  readonly request: AcquireRequest;
  readonly grantedAtMs: number;
  /** Schedulers that count this permit and must receive its release. */
  readonly schedulerIds: Set<InstanceId>;
  tokens: number;
  firstTokenMs: number | undefined;
  lastTokenAtMs: number;
  reportedAtMs: number;
  reportedTokens: number;
}

interface ShardState {
  readonly shardId: ShardId;
  schedulerId: InstanceId;
  readonly pending: Map<RequestId, PendingRequest>;
  readonly held: Map<PermitId, HeldPermit>;
  ratesReportedAtMs: number;
}

/** Creates a client without permits. */
export function createPermitClient(options: PermitClientOptions): PermitClient {
  const {clock, selfId} = options;
  const shards = new Map<ShardId, ShardState>();
  const undos: Undo[] = [];

  function ensureShard(shardId: ShardId): ShardState {
    let shard = shards.get(shardId);
    if (shard === undefined) {
      const schedulerId = options.ownerOf(shardId);
      shard = {
        shardId,
        schedulerId,
        pending: new Map(),
        held: new Map(),
        ratesReportedAtMs: -Infinity,
      };
      shards.set(shardId, shard);
    }
    return shard;
  }

  function acquire(
    shardId: ShardId,
    permitRequest: PermitRequest,
    signal: AbortSignal,
  ): Promise<Result<Permit, RouterError>> {
    if (signal.aborted) return Promise.resolve(err(canceledError()));
    refreshOwner(ensureShard(shardId));
    const shard = ensureShard(shardId);
    const request: AcquireRequest = {...permitRequest, holder: selfId};
    return new Promise(resolve => {
      const onAbort = () => {
        if (!shard.pending.has(request.requestId)) return;
        portFor(shard).cancel(shardId, selfId, request.requestId);
        complete(err(canceledError()));
      };
      const complete = (result: Result<Permit, RouterError>) => {
        shard.pending.delete(request.requestId);
        signal.removeEventListener('abort', onAbort);
        resolve(result);
      };
      signal.addEventListener('abort', onAbort);
      const sentAtMs = clock.nowMs();
      shard.pending.set(request.requestId, {request, sentAtMs, complete});
      reportRatesIfDue(shard);
      portFor(shard).acquire(shardId, request);
    });
  }

  /**
   * Reports stated rates, ahead of requests: a scheduler must know of a rate
   * before it grants a permit to a holder that was told of it.
   */
  function reportRatesIfDue(shard: ShardState): void {
    const nowMs = clock.nowMs();
    if (nowMs - shard.ratesReportedAtMs < rateReportIntervalMs) return;
    const statements = options.statedRates?.(shard.shardId) ?? [];
    if (statements.length === 0) return;
    shard.ratesReportedAtMs = nowMs;
    portFor(shard).receiveRates(shard.shardId, selfId, statements);
  }

  function portFor(shard: ShardState): SchedulerPort {
    return options.portOf(shard.schedulerId);
  }

  function deliver(
    shardId: ShardId,
    from: InstanceId,
    effect: SchedulerEffect,
  ): void {
    const shard = ensureShard(shardId);
    switch (effect.kind) {
      case 'grant':
        grant(shard, from, effect);
        break;
      case 'refuse':
        refuse(shard, from, effect);
        break;
      case 'preempt':
        shard.held.get(effect.permitId)?.onPreempt?.(effect.reason);
        break;
      case 'suspect':
        shard.held.get(effect.permitId)?.onSuspect?.();
        break;
    }
  }

  function grant(
    shard: ShardState,
    from: InstanceId,
    effect: Extract<SchedulerEffect, {kind: 'grant'}>,
  ): void {
    if (shard.held.has(effect.permitId)) return;
    const pending = shard.pending.get(effect.requestId);
    const isCurrent =
      from === shard.schedulerId && pending?.request.attempt === effect.attempt;
    if (pending === undefined || !isCurrent) {
      releaseUnused(shard, from, effect.permitId);
      return;
    }
    const permit = createHeldPermit(shard, from, effect, pending.request);
    shard.held.set(permit.permitId, permit);
    pending.complete(ok(permit));
  }

  function releaseUnused(
    shard: ShardState,
    to: InstanceId,
    permitId: PermitId,
  ): void {
    options.portOf(to).release(shard.shardId, {
      permitId,
      outcome: 'unused',
      tokens: 0,
      wastedTokens: 0,
      serviceMs: 0,
    });
  }

  function refuse(
    shard: ShardState,
    from: InstanceId,
    effect: Extract<SchedulerEffect, {kind: 'refuse'}>,
  ): void {
    const pending = shard.pending.get(effect.requestId);
    if (pending === undefined || from !== shard.schedulerId) return;
    if (pending.request.attempt !== effect.attempt) return;
    const {error, retryAfterMs} = effect;
    const message = refusalMessages[error];
    pending.complete(err(new RouterError(error, message, {retryAfterMs})));
  }

  function createHeldPermit(
    shard: ShardState,
    from: InstanceId,
    effect: Extract<SchedulerEffect, {kind: 'grant'}>,
    request: AcquireRequest,
  ): HeldPermit {
    const grantedAtMs = clock.nowMs();
    const permit: HeldPermit = {
      permitId: effect.permitId,
      upstreamId: effect.upstreamId,
      limitPerS: effect.limitPerS,
      request,
      grantedAtMs,
      schedulerIds: new Set([from]),
      tokens: 0,
      firstTokenMs: undefined,
      lastTokenAtMs: grantedAtMs,
      reportedAtMs: grantedAtMs,
      reportedTokens: 0,
      onPreempt: undefined,
      onSuspect: undefined,
      recordTokens: count => recordTokens(permit, count),
      release: end => release(shard, permit, end),
    };
    return permit;
  }

  function recordTokens(permit: HeldPermit, count: number): void {
    const nowMs = clock.nowMs();
    permit.tokens += count;
    permit.firstTokenMs ??= nowMs - permit.grantedAtMs;
    permit.lastTokenAtMs = nowMs;
  }

  function release(shard: ShardState, permit: HeldPermit, end: JobEnd): void {
    if (!shard.held.delete(permit.permitId)) return;
    const {firstTokenMs, grantedAtMs, permitId, tokens} = permit;
    for (const schedulerId of permit.schedulerIds) {
      options.portOf(schedulerId).release(shard.shardId, {
        permitId,
        outcome: end.outcome,
        tokens,
        wastedTokens: end.wastedTokens,
        firstTokenMs,
        tokenGapMs: meanTokenGapMs(permit),
        serviceMs: clock.nowMs() - grantedAtMs,
        reachedUpstream: end.reachedUpstream,
      });
    }
  }

  function refreshOwner(shard: ShardState): void {
    const ownerId = options.ownerOf(shard.shardId);
    if (ownerId === shard.schedulerId) return;
    const previous = portFor(shard);
    for (const {request} of shard.pending.values()) {
      previous.cancel(shard.shardId, selfId, request.requestId);
    }
    shard.schedulerId = ownerId;
    shard.ratesReportedAtMs = -Infinity;
    const next = portFor(shard);
    next.announce(
      shard.shardId,
      selfId,
      [...shard.held.values()].map(toAnnouncedPermit),
    );
    for (const permit of shard.held.values()) permit.schedulerIds.add(ownerId);
    reportRatesIfDue(shard);
    for (const pending of [...shard.pending.values()]) resend(shard, pending);
  }

  function resend(shard: ShardState, pending: PendingRequest): void {
    reportRatesIfDue(shard);
    pending.sentAtMs = clock.nowMs();
    portFor(shard).acquire(shard.shardId, pending.request);
  }

  function tick(): void {
    const nowMs = clock.nowMs();
    for (const shard of [...shards.values()]) {
      reportProgress(shard, nowMs);
      for (const pending of [...shard.pending.values()]) {
        if (nowMs - pending.sentAtMs >= acquireResendIntervalMs) {
          resend(shard, pending);
        }
      }
      if (shard.held.size === 0 && shard.pending.size === 0) {
        shards.delete(shard.shardId);
      }
    }
  }

  function reportProgress(shard: ShardState, nowMs: number): void {
    const samples: ProgressSample[] = [];
    for (const permit of shard.held.values()) {
      if (isReportDue(permit, nowMs)) samples.push(takeSample(permit, nowMs));
    }
    if (samples.length === 0) return;
    portFor(shard).progress(shard.shardId, selfId, samples);
  }

  return {
    acquire,
    deliver,
    reportRates: shardId => {
      const shard = ensureShard(shardId);
      refreshOwner(shard);
      shard.ratesReportedAtMs = -Infinity;
      reportRatesIfDue(shard);
    },
    refreshOwners: () => {
      for (const shard of [...shards.values()]) refreshOwner(shard);
    },
    counts: () => {
      let pending = 0;
      let held = 0;
      for (const shard of shards.values()) {
        pending += shard.pending.size;
        held += shard.held.size;
      }
      return {pending, held};
    },
    start: () => {
      undos.push(clock.every(progressTickMs, tick));
    },
    close: () => {
      for (const undo of undos) undo();
    },
  };
}

const refusalMessages = {
  deadline_exceeded:
    'the request could not be started within the caller timeout',
  no_upstream: 'no upstream is available for this request',
  overloaded: 'capacity is taken by requests of the same or a higher priority',
  shutting_down: 'the instance is shutting down',
} as const;

function canceledError(): RouterError {
  return new RouterError('canceled', 'the request was canceled');
}

function meanTokenGapMs(permit: HeldPermit): number | undefined {
  if (permit.firstTokenMs === undefined || permit.tokens < 2) return undefined;
  const firstAtMs = permit.grantedAtMs + permit.firstTokenMs;
  return (permit.lastTokenAtMs - firstAtMs) / (permit.tokens - 1);
}

function isReportDue(permit: HeldPermit, nowMs: number): boolean {
  const hasNewFirstToken = permit.tokens > 0 && permit.reportedTokens === 0;
  return (
    hasNewFirstToken ||
    nowMs - permit.lastTokenAtMs >= stalledAfterMs ||
    nowMs - permit.reportedAtMs >= progressIntervalMs
  );
}

function takeSample(permit: HeldPermit, nowMs: number): ProgressSample {
  const newTokens = permit.tokens - permit.reportedTokens;
  const elapsedMs = permit.lastTokenAtMs - permit.reportedAtMs;
  const hasGap = permit.reportedTokens > 0 && newTokens > 0;
  permit.reportedAtMs = nowMs;
  permit.reportedTokens = permit.tokens;
  return {
    permitId: permit.permitId,
    tokens: permit.tokens,
    firstTokenMs: permit.firstTokenMs,
    sinceLastTokenMs: nowMs - permit.lastTokenAtMs,
    tokenGapMs: hasGap ? Math.max(0, elapsedMs) / newTokens : undefined,
  };
}

function toAnnouncedPermit(permit: HeldPermit): AnnouncedPermit {
  const {request} = permit;
  return {
    permitId: permit.permitId,
    requestId: request.requestId,
    holder: request.holder,
    classId: request.classId,
    workspaceId: request.workspaceId,
    fallbackTier: request.fallbackTier,
    upstreamId: permit.upstreamId,
    idempotent: request.idempotent,
    tokens: permit.tokens,
    grantedAtMs: permit.grantedAtMs,
    arrivedAtMs: request.arrivedAtMs,
  };
}
