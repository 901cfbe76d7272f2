/**
 * The upstreams known to this instance. It combines the platform's instance
 * list, which lags behind, with the leaving upstreams that peers report and
 * with the operators' drains.
 */
import type {
  ShardId,
  Undo,
  UpstreamId,
  UpstreamInfo,
  UpstreamKind,
} from '@toucanrouter/common';
import {shardOf} from '@toucanrouter/common';
import {
  leavingUpstreamsPerHeartbeat,
  maxLeavingUpstreams,
} from './FleetConstants.js';

/** An incarnation of an upstream that accepts no new work. */
export interface LeavingUpstream {
  readonly upstreamId: UpstreamId;
  readonly incarnation: number;
}

/** Looks up known upstreams by id, by shard and by what they serve. */
export interface UpstreamDirectory {
  all(): readonly UpstreamInfo[];
  find(upstreamId: UpstreamId): UpstreamInfo | undefined;
  /** Returns the upstreams of a shard that operators have not drained. */
  inShard(shardId: ShardId): readonly UpstreamInfo[];
  /** Returns the shards of a model or service, those of `region` first. */
  shardsServing(kind: UpstreamKind, serves: string, region: string): ShardId[];
  /** Returns the shards that have upstreams in a region. */
  shardsIn(region: string): readonly ShardId[];
  /** Returns the latest leaving upstreams, as many as a heartbeat contains. */
  leaving(): readonly LeavingUpstream[];
  setListed(upstreams: readonly UpstreamInfo[]): void;
  markLeaving(leaving: LeavingUpstream): void;
  setDrained(upstreamIds: readonly UpstreamId[]): void;
  registerChangeHandler(handler: () => void): Undo;
}

function leavingKey({incarnation, upstreamId}: LeavingUpstream): string {
  return `${incarnation}/${upstreamId}`;
}

/** Creates an empty directory. */
export function createUpstreamDirectory(): UpstreamDirectory {
  let listed = new Map<UpstreamId, UpstreamInfo>();
  let drained = new Set<UpstreamId>();
  // Each incarnation stands for itself, so that a wrong report of one neither
  // affects another nor hides its report.
  const leavingIncarnations = new Map<string, LeavingUpstream>();
  const handlers = new Set<() => void>();

  function withLeaving(upstream: UpstreamInfo): UpstreamInfo {
    const {id, incarnation} = upstream;
    const key = leavingKey({upstreamId: id, incarnation});
    const leaving = upstream.leaving || leavingIncarnations.has(key);
    return leaving === upstream.leaving ? upstream : {...upstream, leaving};
  }

  function notifyHandlers(): void {
    for (const handler of handlers) handler();
  }

  function recordLeaving(leaving: LeavingUpstream): boolean {
    const key = leavingKey(leaving);
    if (leavingIncarnations.has(key)) return false;
    leavingIncarnations.set(key, leaving);
    if (leavingIncarnations.size > maxLeavingUpstreams) evictOldestLeaving();
    return true;
  }

  function evictOldestLeaving(): void {
    for (const key of leavingIncarnations.keys()) {
      leavingIncarnations.delete(key);
      return;
    }
  }

  function setListed(upstreams: readonly UpstreamInfo[]): void {
    for (const {id, incarnation, leaving} of upstreams) {
      if (leaving) recordLeaving({upstreamId: id, incarnation});
    }
    listed = new Map(
      upstreams.map(upstream => [upstream.id, withLeaving(upstream)]),
    );
    notifyHandlers();
  }

  function markLeaving(leaving: LeavingUpstream): void {
    if (!recordLeaving(leaving)) return;
    const upstream = listed.get(leaving.upstreamId);
    if (upstream === undefined) return;
    listed.set(upstream.id, withLeaving(upstream));
    notifyHandlers();
  }

  return {
    all: () => [...listed.values()],
    find: upstreamId => listed.get(upstreamId),
    inShard: shardId =>
      [...listed.values()].filter(
        upstream => shardOf(upstream) === shardId && !drained.has(upstream.id),
      ),
    shardsServing: (kind, serves, region) => {
      const shards = new Map<ShardId, boolean>();
      for (const upstream of listed.values()) {
        if (upstream.kind !== kind || upstream.serves !== serves) continue;
        shards.set(shardOf(upstream), upstream.region === region);
      }
      const sorted = [...shards].sort((a, b) => Number(b[1]) - Number(a[1]));
      return sorted.map(([shardId]) => shardId);
    },
    shardsIn: region => [
      ...new Set(
        [...listed.values()]
          .filter(upstream => upstream.region === region)
          .map(shardOf),
      ),
    ],
    leaving: () =>
      [...leavingIncarnations.values()].slice(-leavingUpstreamsPerHeartbeat),
    setListed,
    markLeaving,
    setDrained: upstreamIds => {
      drained = new Set(upstreamIds);
      notifyHandlers();
    },
    registerChangeHandler: handler => {
      handlers.add(handler);
      return () => handlers.delete(handler);
    },
  };
}
