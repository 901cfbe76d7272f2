/**
 * Request rates that upstreams state, kept by the scheduler that grants their
 * permits. Each permit stands for one request, so a rate is kept by granting no
 * more permits than it allows; what has to wait stays in the queue, where the
 * most urgent requests come first. Holders report what upstreams told them. A
 * new scheduler knows nothing until then, and its buckets start empty.
 *
 * Several regions may use the upstreams of one shard, each with a scheduler of
 * its own. They divide a rate equally.
 */
import type {
  InstanceId,
  ServiceName,
  Tier,
  UpstreamId,
  UpstreamInfo,
} from '@toucanrouter/common';
import {hash32, lowestTier} from '@toucanrouter/common';
import type {UpstreamProcess} from './UpstreamPauses.js';
import type {ProcessHash, RateStatement} from './rates/RateStatements.js';
import type {RatedUpstream, UpstreamRates} from './rates/UpstreamRates.js';
import {createUpstreamRates, processHashOf} from './rates/UpstreamRates.js';

/** Names one of the schedulers that share the upstreams of a shard. */
export type RateSharerId = number;

/** The schedulers among which rates are divided. */
export interface RateSharing {
  readonly selfId: RateSharerId;
  readonly peerIds: () => readonly RateSharerId[];
}

/** A rate that a scheduler keeps. */
export interface UpstreamRateLimit {
  readonly upstreamId: UpstreamId;
  /** Requests a second of all instances together. */
  readonly perS: number;
}

/** The rates of the upstreams of one shard. */
export interface SchedulerRates {
  setUpstreams(upstreams: readonly UpstreamInfo[], nowMs: number): void;
  /** Records what upstreams told an instance. */
  receive(
    from: InstanceId,
    statements: readonly RateStatement[],
    nowMs: number,
  ): void;
  /** Records a request that waits for its first permit. */
  recordDemand(tier: Tier, nowMs: number): void;
  /** Time until the rate allows one more request of `tier`. */
  waitMs(upstreamId: UpstreamId, tier: Tier, nowMs: number): number;
  /** Returns whether the rate allows one more request of `tier` now. */
  allows(upstreamId: UpstreamId, tier: Tier, nowMs: number): boolean;
  /** Counts a grant; returns false if the upstream has no limit. */
  take(upstreamId: UpstreamId, nowMs: number): boolean;
  /** Returns a grant that was counted and whose request was not sent. */
  giveBack(upstreamId: UpstreamId): void;
  /** The rate that the upstream states now, if any. */
  statedPerS(upstreamId: UpstreamId, nowMs: number): number | undefined;
  /** Requests a second that this scheduler may grant; Infinity if unlimited. */
  sharePerS(upstreamId: UpstreamId, nowMs: number): number;
  hasLimits(): boolean;
  /** The rates that hold now. */
  limits(nowMs: number): readonly UpstreamRateLimit[];
}

/** All upstreams of a shard serve the same. */
const shardService = 'shard' as ServiceName;

/** Lists may omit an upstream for a time; its rate is kept this long. */
const departedRecordMs = 60_000;

interface DepartedProcess {
  readonly process: UpstreamProcess;
  readonly leftAtMs: number;
}

const soleSharer: RateSharing = {selfId: 0, peerIds: () => []};

/** Creates the rates of a scheduler that knows of no limit. */
export function createSchedulerRates(
  sharing: RateSharing = soleSharer,
): SchedulerRates {
  let upstreams = new Map<UpstreamId, RatedUpstream>();
  /** The upstreams with a rate; most of the time there are none. */
  let limited = new Map<UpstreamId, RatedUpstream>();
  /** Processes that left the list, by the time at which they did. */
  const departed = new Map<ProcessHash, DepartedProcess>();
  let sequence = 0;
  const rates: UpstreamRates<RateSharerId> = createUpstreamRates({
    selfId: sharing.selfId,
    startedAtMs: 0,
    peerIds: sharing.peerIds,
    upstreamsOf: () => [...upstreams.values()].map(({process}) => process),
  });

  function perSOf({process}: RatedUpstream, nowMs: number): number | undefined {
    return rates.rateOf(process, nowMs);
  }

  function refreshLimited(nowMs: number): void {
    limited = new Map(
      [...upstreams].filter(
        ([, upstream]) => perSOf(upstream, nowMs) !== undefined,
      ),
    );
  }

  function waitMs(upstreamId: UpstreamId, tier: Tier, nowMs: number): number {
    const upstream = limited.get(upstreamId);
    if (upstream === undefined) return 0;
    return rates.waitMs(upstream, tier - 1, nowMs);
  }

  function forgetDeparted(nowMs: number): void {
    for (const [hash, {leftAtMs, process}] of departed) {
      if (leftAtMs + departedRecordMs > nowMs) continue;
      rates.forget(process);
      departed.delete(hash);
    }
  }

  function isKnown(hash: ProcessHash): boolean {
    return (
      departed.has(hash) ||
      [...upstreams.values()].some(
        ({process}) => processHashOf(process) === hash,
      )
    );
  }

  return {
    setUpstreams: (listed, nowMs) => {
      const before = upstreams;
      upstreams = new Map(
        listed.map(({id, incarnation}) => [
          id,
          {process: {id, start: incarnation}, service: shardService},
        ]),
      );
      for (const {process} of before.values()) {
        departed.set(processHashOf(process), {process, leftAtMs: nowMs});
      }
      for (const {process} of upstreams.values()) {
        departed.delete(processHashOf(process));
      }
      forgetDeparted(nowMs);
      refreshLimited(nowMs);
    },
    receive: (from, received, nowMs) => {
      const statements = received.filter(({process}) => isKnown(process));
      if (statements.length === 0) return;
      sequence += 1;
      rates.receiveReport(
        {
          instanceId: hash32(`holder ${from}`),
          startedAtMs: 0,
          sequence,
          statements,
          demands: [],
        },
        nowMs,
      );
      refreshLimited(nowMs);
      // Buckets fill from their first use on.
      for (const upstreamId of limited.keys()) {
        waitMs(upstreamId, lowestTier, nowMs);
      }
    },
    recordDemand: (tier, nowMs) =>
      rates.recordDemand(shardService, tier - 1, nowMs),
    waitMs,
    allows: (upstreamId, tier, nowMs) => waitMs(upstreamId, tier, nowMs) <= 0,
    take: (upstreamId, nowMs) => {
      const upstream = limited.get(upstreamId);
      if (upstream === undefined) return false;
      rates.take(upstream, nowMs);
      return true;
    },
    giveBack: upstreamId => {
      const upstream = limited.get(upstreamId);
      if (upstream !== undefined) rates.giveBack(upstream);
    },
    sharePerS: (upstreamId, nowMs) => {
      const upstream = limited.get(upstreamId);
      return upstream === undefined
        ? Infinity
        : rates.sharePerS(upstream, nowMs);
    },
    statedPerS: (upstreamId, nowMs) => {
      const upstream = limited.get(upstreamId);
      return upstream !== undefined && rates.isInForce(upstream.process)
        ? perSOf(upstream, nowMs)
        : undefined;
    },
    hasLimits: () => limited.size > 0,
    limits: nowMs => {
      refreshLimited(nowMs);
      return [...limited].map(([upstreamId, upstream]) => ({
        upstreamId,
        perS: perSOf(upstream, nowMs) ?? Infinity,
      }));
    },
  };
}
