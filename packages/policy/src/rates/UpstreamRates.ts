/**
 * Keeps the request rates to which upstreams limit all instances together, and
 * uses them, the most urgent requests first. Each instance computes its own share
 * of a rate from the demand that its peers report, and counts what it sends.
 * Reports that are lost leave the last known demand in force, so an instance that
 * is cut off keeps to the share that the others leave to it.
 */
import type {RequestRate, ServiceName} from '@toucanrouter/common';
import {hash32} from '@toucanrouter/common';
import type {UpstreamProcess} from '../UpstreamPauses.js';
import type {RateBucket} from './RateBucket.js';
import {createRateBucket} from './RateBucket.js';
import type {RateMember, RateShare} from './RateShares.js';
import {rateShareOf} from './RateShares.js';
import type {
  ProcessHash,
  RateChange,
  RateStatement,
  RateStatements,
} from './RateStatements.js';
import {createRateStatements} from './RateStatements.js';
import type {TierDemand} from './TierDemand.js';
import {createTierDemand} from './TierDemand.js';

/** Short hash of a service's name, as reports have it. */
export type RateServiceHash = number;

/** What an instance tells its peers while a limit is in force. */
export interface RateReport<Id extends number> {
  readonly instanceId: Id;
  /** Start of the process; reports of earlier processes are ignored. */
  readonly startedAtMs: number;
  /** Increases with each report, since datagrams may arrive out of order. */
  readonly sequence: number;
  readonly statements: readonly RateStatement[];
  readonly demands: readonly ServiceDemand[];
}

/** Demand for one service at one instance. */
export interface ServiceDemand {
  readonly service: RateServiceHash;
  readonly perS: readonly number[];
}

/** An upstream and the service that it serves. */
export interface RatedUpstream {
  readonly process: UpstreamProcess;
  readonly service: ServiceName;
}

/** Options of {@link createUpstreamRates}. */
export interface UpstreamRatesOptions<Id extends number> {
  readonly selfId: Id;
  readonly startedAtMs: number;
  /** Peers that run as far as this instance knows, also those that are silent. */
  readonly peerIds: () => readonly Id[];
  /** The usable upstreams of a service. */
  readonly upstreamsOf: (service: ServiceName) => readonly UpstreamProcess[];
}

/** The limits that hold at an instance. */
export interface UpstreamRates<Id extends number> {
  /** Records a request of a caller, but not its retries. */
  recordDemand(service: ServiceName, tier: number, nowMs: number): void;
  /** Records what a response states; its request was sent at `sentAtMs`. */
  receive(
    upstream: UpstreamProcess,
    rate: RequestRate,
    sentAtMs: number,
    nowMs: number,
  ): RateChange;
  /** Records a peer's report; returns the processes whose limit changed. */
  receiveReport(
    report: RateReport<Id>,
    nowMs: number,
  ): ReadonlyMap<ProcessHash, RateChange>;
  /** Returns what peers must know; undefined if there is nothing. */
  takeReport(nowMs: number): RateReport<Id> | undefined;
  /**
   * Time until this instance may send the upstream a request of `tier`: 0 if it
   * may now, Infinity if others have the whole rate.
   */
  waitMs(upstream: RatedUpstream, tier: number, nowMs: number): number;
  /** Counts a request that is sent. */
  take(upstream: RatedUpstream, nowMs: number): void;
  /** Returns a request that was counted and did not reach the upstream. */
  giveBack(upstream: RatedUpstream): void;
  /** The rate for all instances together; undefined without a limit. */
  rateOf(upstream: UpstreamProcess, nowMs: number): number | undefined;
  /** True while the upstream states the limit. */
  isInForce(upstream: UpstreamProcess): boolean;
  /** This instance's share of the rate, in requests a second. */
  sharePerS(upstream: RatedUpstream, nowMs: number): number;
  forget(upstream: UpstreamProcess): void;
}

/** Time for which a computed share is used. */
const shareLifetimeMs = 100;
/** Demand of a peer that is gone is kept no longer than this. */
const maxDemandAgeMs = 60_000;

interface PeerDemand<Id extends number> {
  readonly report: RateReport<Id>;
  readonly receivedAtMs: number;
}

interface OwnUse {
  readonly bucket: RateBucket;
  share: RateShare;
  computedAtMs: number;
}

/** Returns the hash by which instances name a process of an upstream. */
export function processHashOf({id, start}: UpstreamProcess): ProcessHash {
  return hash32(`${start ?? ''}/${id}`) as ProcessHash;
}

/** Returns the hash by which instances name a service. */
export function rateServiceHashOf(service: ServiceName): RateServiceHash {
  return hash32(service);
}

/** Creates the limits of an instance that has just started. */
export function createUpstreamRates<Id extends number>(
  options: UpstreamRatesOptions<Id>,
): UpstreamRates<Id> {
  const {peerIds, selfId, startedAtMs, upstreamsOf} = options;
  const statements: RateStatements = createRateStatements();
  const demands = new Map<ServiceName, TierDemand>();
  const peerDemands = new Map<Id, PeerDemand<Id>>();
  const uses = new Map<ProcessHash, OwnUse>();
  let sequence = 0;

  const rateOf = (upstream: UpstreamProcess, nowMs: number) =>
    statements.rateOf(processHashOf(upstream), nowMs);

  /** The part of the service's demand that is meant for one upstream. */
  function demandPart(
    upstream: RatedUpstream,
    limitPerS: number,
    nowMs: number,
  ): number {
    const all = upstreamsOf(upstream.service);
    const limits = all.map(each => rateOf(each, nowMs));
    if (limits.length === 0 || limits.includes(undefined)) {
      return 1 / Math.max(1, all.length);
    }
    const total = limits.reduce<number>((sum, each) => sum + (each ?? 0), 0);
    return limitPerS / total;
  }

  function membersFor(
    upstream: RatedUpstream,
    limitPerS: number,
    nowMs: number,
  ): readonly RateMember<Id>[] {
    const part = demandPart(upstream, limitPerS, nowMs);
    const service = rateServiceHashOf(upstream.service);
    const toPart = (perS: readonly number[] | undefined) =>
      perS?.map(each => each * part);
    const own = demands.get(upstream.service)?.perS(nowMs) ?? [];
    const peers = peerIds().filter(id => id !== selfId);
    return [
      {id: selfId, demandPerS: toPart(own)},
      ...peers.map(id => ({
        id,
        demandPerS: toPart(
          peerDemands
            .get(id)
            ?.report.demands.find(demand => demand.service === service)?.perS,
        ),
      })),
    ];
  }

  function useOf(
    upstream: RatedUpstream,
    limitPerS: number,
    nowMs: number,
  ): OwnUse {
    const process = processHashOf(upstream.process);
    let use = uses.get(process);
    if (use === undefined) {
      use = {
        bucket: createRateBucket(nowMs),
        share: {perS: 0, burst: 0, openTierCount: 0},
        computedAtMs: -Infinity,
      };
      uses.set(process, use);
    }
    if (use.computedAtMs + shareLifetimeMs <= nowMs) {
      use.computedAtMs = nowMs;
      use.share = rateShareOf(selfId, {
        resource: String(process),
        limitPerS,
        members: membersFor(upstream, limitPerS, nowMs),
      });
    }
    use.bucket.refill(use.share, nowMs);
    return use;
  }

  function isNewer(report: RateReport<Id>): boolean {
    const previous = peerDemands.get(report.instanceId)?.report;
    if (previous === undefined) return true;
    return report.startedAtMs === previous.startedAtMs
      ? report.sequence > previous.sequence
      : report.startedAtMs > previous.startedAtMs;
  }

  function removeOldDemands(nowMs: number): void {
    for (const [id, {receivedAtMs}] of peerDemands) {
      if (receivedAtMs + maxDemandAgeMs <= nowMs) peerDemands.delete(id);
    }
  }

  return {
    recordDemand: (service, tier, nowMs) => {
      let demand = demands.get(service);
      if (demand === undefined) {
        demand = createTierDemand();
        demands.set(service, demand);
      }
      demand.record(tier, nowMs);
    },
    receive: (upstream, {perS, problem}, sentAtMs, nowMs) => {
      if (problem !== undefined) return 'unchanged';
      const process = processHashOf(upstream);
      return perS === undefined
        ? statements.stateNone(process, sentAtMs, nowMs)
        : statements.state(process, perS, nowMs);
    },
    receiveReport: (report, nowMs) => {
      const changes = new Map<ProcessHash, RateChange>();
      if (report.instanceId === selfId || !isNewer(report)) return changes;
      removeOldDemands(nowMs);
      peerDemands.set(report.instanceId, {report, receivedAtMs: nowMs});
      for (const statement of report.statements) {
        const change = statements.adopt(statement, nowMs);
        if (change !== 'unchanged') changes.set(statement.process, change);
      }
      return changes;
    },
    takeReport: nowMs => {
      const received = statements.received(nowMs);
      if (received.length === 0 && statements.limited(nowMs).length === 0) {
        return undefined;
      }
      sequence += 1;
      return {
        instanceId: selfId,
        startedAtMs,
        sequence,
        statements: received,
        demands: [...demands].map(([service, demand]) => ({
          service: rateServiceHashOf(service),
          perS: demand.perS(nowMs),
        })),
      };
    },
    waitMs: (upstream, tier, nowMs) => {
      const limitPerS = rateOf(upstream.process, nowMs);
      if (limitPerS === undefined) return 0;
      return useOf(upstream, limitPerS, nowMs).bucket.waitMs(tier);
    },
    take: (upstream, nowMs) => {
      const limitPerS = rateOf(upstream.process, nowMs);
      if (limitPerS === undefined) return;
      useOf(upstream, limitPerS, nowMs).bucket.take();
    },
    giveBack: ({process}) =>
      uses.get(processHashOf(process))?.bucket.giveBack(),
    rateOf,
    isInForce: upstream => statements.isInForce(processHashOf(upstream)),
    sharePerS: (upstream, nowMs) => {
      const limitPerS = rateOf(upstream.process, nowMs);
      return limitPerS === undefined
        ? Infinity
        : useOf(upstream, limitPerS, nowMs).share.perS;
    },
    forget: upstream => {
      const process = processHashOf(upstream);
      statements.forget(process);
      uses.delete(process);
    },
  };
}
