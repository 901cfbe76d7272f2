/**
 * Runs the schedulers of the shards for which this instance receives requests.
 * It accepts requests whether or not it owns the shard: each holder picks the
 * scheduler from its own view of the fleet, and it does no harm if two
 * schedulers serve one shard for a short time.
 */
import type {
  AcquireRequest,
  AnnouncedPermit,
  Clock,
  InstanceId,
  PermitId,
  PermitRelease,
  ProgressSample,
  RequestId,
  SchedulerEffect,
  ServiceClass,
  ShardId,
  ShardSnapshot,
  Undo,
  UpstreamInfo,
} from '@toucanrouter/common';
import type {
  RateStatement,
  RateStatus,
  ShardScheduler,
} from '@toucanrouter/policy';
import {
  idleShardTimeoutMs,
  holderTimeoutMs,
  unreportedPermitTimeoutMs,
  schedulerTickMs,
  shardWarmUpMs,
} from './SchedulingConstants.js';

/** Messages from holders to the scheduler of a shard. */
export interface SchedulerPort {
  acquire(shardId: ShardId, request: AcquireRequest): void;
  cancel(shardId: ShardId, holder: InstanceId, requestId: RequestId): void;
  progress(
    shardId: ShardId,
    holder: InstanceId,
    samples: readonly ProgressSample[],
  ): void;
  release(shardId: ShardId, release: PermitRelease): void;
  announce(
    shardId: ShardId,
    holder: InstanceId,
    permits: readonly AnnouncedPermit[],
  ): void;
  /** Passes on the request rates that upstreams stated to an instance. */
  receiveRates(
    shardId: ShardId,
    from: InstanceId,
    statements: readonly RateStatement[],
  ): void;
}

/** Dependencies of a scheduler host. */
export interface SchedulerHostOptions {
  readonly clock: Clock;
  readonly selfId: InstanceId;
  readonly createScheduler: (shardId: ShardId) => ShardScheduler;
  /** Returns whether this instance owns a shard. */
  readonly isOwned: (shardId: ShardId) => boolean;
  readonly upstreamsOf: (shardId: ShardId) => readonly UpstreamInfo[];
  readonly classes: () => readonly ServiceClass[];
  readonly deliver: (shardId: ShardId, effect: SchedulerEffect) => void;
  /** Time since a holder's last heartbeat; undefined if there was none. */
  readonly heartbeatAgeMs: (holder: InstanceId) => number | undefined;
}

/** The schedulers that run on one instance. */
export interface SchedulerHost extends SchedulerPort {
  /** Creates the schedulers of owned shards ahead of their first request. */
  warmUp(shardIds: readonly ShardId[]): void;
  refreshUpstreams(): void;
  refreshClasses(): void;
  snapshots(): readonly ShardSnapshot[];
  /** The request rates that the schedulers on this instance keep. */
  rateStatus(): RateStatus;
  start(): void;
  close(): void;
}

interface PermitRecord {
  readonly holder: InstanceId;
  reportedAtMs: number;
}

interface HostedShard {
  readonly shardId: ShardId;
  readonly scheduler: ShardScheduler;
  readonly permits: Map<PermitId, PermitRecord>;
  /** Time of each holder's first message; its heartbeats may start later. */
  readonly holders: Map<InstanceId, number>;
  /** Requests deferred until the warm-up ends; undefined afterwards. */
  deferred: AcquireRequest[] | undefined;
  readonly warmUpEndsAtMs: number;
  lastUsedAtMs: number;
}

/** Creates a host without shards. */
export function createSchedulerHost(
  options: SchedulerHostOptions,
): SchedulerHost {
  const {clock, selfId} = options;
  const shards = new Map<ShardId, HostedShard>();
  const undos: Undo[] = [];
  let removedHeldBackCount = 0;

  function ensureShard(shardId: ShardId): HostedShard {
    const nowMs = clock.nowMs();
    let shard = shards.get(shardId);
    if (shard === undefined) {
      shard = {
        shardId,
        scheduler: options.createScheduler(shardId),
        permits: new Map(),
        holders: new Map(),
        deferred: [],
        warmUpEndsAtMs: nowMs + shardWarmUpMs,
        lastUsedAtMs: nowMs,
      };
      shards.set(shardId, shard);
      shard.scheduler.setClasses(options.classes(), nowMs);
      shard.scheduler.setUpstreams(options.upstreamsOf(shardId), nowMs);
    }
    shard.lastUsedAtMs = nowMs;
    return shard;
  }

  function trackHolder(shard: HostedShard, holder: InstanceId): void {
    if (!shard.holders.has(holder)) shard.holders.set(holder, clock.nowMs());
  }

  function apply(
    shard: HostedShard,
    effects: readonly SchedulerEffect[],
  ): void {
    for (const effect of effects) {
      if (effect.kind === 'grant') {
        const {holder} = effect;
        const reportedAtMs = clock.nowMs();
        shard.permits.set(effect.permitId, {holder, reportedAtMs});
      }
      options.deliver(shard.shardId, effect);
    }
  }

  function acquire(shardId: ShardId, request: AcquireRequest): void {
    const shard = ensureShard(shardId);
    trackHolder(shard, request.holder);
    if (shard.deferred !== undefined) shard.deferred.push(request);
    else apply(shard, shard.scheduler.acquire(request, clock.nowMs()));
  }

  function cancel(
    shardId: ShardId,
    _holder: InstanceId,
    requestId: RequestId,
  ): void {
    const shard = shards.get(shardId);
    if (shard === undefined) return;
    shard.deferred = shard.deferred?.filter(r => r.requestId !== requestId);
    apply(shard, shard.scheduler.cancel(requestId, clock.nowMs()));
  }

  function progress(
    shardId: ShardId,
    holder: InstanceId,
    samples: readonly ProgressSample[],
  ): void {
    const shard = ensureShard(shardId);
    trackHolder(shard, holder);
    const nowMs = clock.nowMs();
    const knownSamples = samples.filter(sample => {
      const record = shard.permits.get(sample.permitId);
      if (record !== undefined) record.reportedAtMs = nowMs;
      return record !== undefined;
    });
    apply(shard, shard.scheduler.progress(knownSamples, nowMs));
  }

  function release(shardId: ShardId, permitRelease: PermitRelease): void {
    const shard = shards.get(shardId);
    if (shard === undefined) return;
    shard.permits.delete(permitRelease.permitId);
    apply(shard, shard.scheduler.release(permitRelease, clock.nowMs()));
  }

  function announce(
    shardId: ShardId,
    holder: InstanceId,
    permits: readonly AnnouncedPermit[],
  ): void {
    const shard = ensureShard(shardId);
    trackHolder(shard, holder);
    const nowMs = clock.nowMs();
    const announcedIds = new Set(permits.map(permit => permit.permitId));
    for (const [permitId, record] of [...shard.permits]) {
      if (record.holder === holder && !announcedIds.has(permitId)) {
        reclaimPermit(shard, permitId);
      }
    }
    for (const {permitId} of permits) {
      shard.permits.set(permitId, {holder, reportedAtMs: nowMs});
    }
    apply(shard, shard.scheduler.adopt(permits, nowMs));
  }

  function receiveRates(
    shardId: ShardId,
    from: InstanceId,
    statements: readonly RateStatement[],
  ): void {
    const shard = ensureShard(shardId);
    const nowMs = clock.nowMs();
    apply(shard, shard.scheduler.receiveRates(from, statements, nowMs));
  }

  function rateStatus(): RateStatus {
    const nowMs = clock.nowMs();
    const all = [...shards.values()].map(({scheduler}) =>
      scheduler.rateStatus(nowMs),
    );
    return {
      limits: all.flatMap(({limits}) => limits),
      heldBackCount:
        removedHeldBackCount +
        all.reduce((count, {heldBackCount}) => count + heldBackCount, 0),
    };
  }

  function removeShard({scheduler, shardId}: HostedShard): void {
    removedHeldBackCount += scheduler.rateStatus(clock.nowMs()).heldBackCount;
    shards.delete(shardId);
  }

  function reclaimPermit(shard: HostedShard, permitId: PermitId): void {
    release(shard.shardId, {
      permitId,
      outcome: 'canceled',
      tokens: 0,
      wastedTokens: 0,
      serviceMs: 0,
    });
  }

  function expireHolders(shard: HostedShard, nowMs: number): void {
    for (const [holder, seenAtMs] of [...shard.holders]) {
      if (holder === selfId) continue;
      const ageMs = options.heartbeatAgeMs(holder) ?? nowMs - seenAtMs;
      if (ageMs <= holderTimeoutMs) continue;
      shard.holders.delete(holder);
      for (const [permitId, record] of [...shard.permits]) {
        if (record.holder === holder) shard.permits.delete(permitId);
      }
      apply(shard, shard.scheduler.dropHolder(holder, nowMs));
    }
  }

  function reclaimUnreportedPermits(shard: HostedShard, nowMs: number): void {
    for (const [permitId, record] of [...shard.permits]) {
      if (nowMs - record.reportedAtMs > unreportedPermitTimeoutMs) {
        reclaimPermit(shard, permitId);
      }
    }
  }

  function finishWarmUp(shard: HostedShard, nowMs: number): void {
    if (shard.deferred === undefined || nowMs < shard.warmUpEndsAtMs) return;
    const requests = shard.deferred;
    shard.deferred = undefined;
    for (const request of requests) {
      apply(shard, shard.scheduler.acquire(request, nowMs));
    }
  }

  function isIdle(shard: HostedShard, nowMs: number): boolean {
    return (
      !options.isOwned(shard.shardId) &&
      shard.permits.size === 0 &&
      nowMs - shard.lastUsedAtMs > idleShardTimeoutMs
    );
  }

  function tick(): void {
    const nowMs = clock.nowMs();
    for (const shard of [...shards.values()]) {
      finishWarmUp(shard, nowMs);
      expireHolders(shard, nowMs);
      reclaimUnreportedPermits(shard, nowMs);
      apply(shard, shard.scheduler.tick(nowMs));
      if (isIdle(shard, nowMs)) removeShard(shard);
    }
  }

  return {
    acquire,
    cancel,
    progress,
    release,
    announce,
    receiveRates,
    rateStatus,
    warmUp: shardIds => {
      for (const shardId of shardIds) {
        if (!shards.has(shardId) && options.isOwned(shardId))
          ensureShard(shardId);
      }
    },
    refreshUpstreams: () => {
      const nowMs = clock.nowMs();
      for (const shard of shards.values()) {
        const upstreams = options.upstreamsOf(shard.shardId);
        apply(shard, shard.scheduler.setUpstreams(upstreams, nowMs));
      }
    },
    refreshClasses: () => {
      const nowMs = clock.nowMs();
      for (const shard of shards.values()) {
        apply(shard, shard.scheduler.setClasses(options.classes(), nowMs));
      }
    },
    snapshots: () =>
      [...shards.values()].map(shard =>
        shard.scheduler.snapshot(clock.nowMs()),
      ),
    start: () => {
      undos.push(clock.every(schedulerTickMs, tick));
    },
    close: () => {
      for (const undo of undos) undo();
    },
  };
}
