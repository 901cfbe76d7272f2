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
import {noShare, rateShareOf} from './RateShares.js';
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
export type RateServiceHash = number & {
  readonly [rateServiceHashBrand]: true;
};
declare const rateServiceHashBrand: unique symbol;

/** What an instance tells its peers while a limit is in force. */
export interface RateReport<Id extends number> {
  readonly instanceId: Id;
  /** Start of the process; reports of earlier processes are ignored. */
  readonly startedAtMs: number;
  /**
   * Increases with each report, since datagrams may arrive out of order. The
   * parts of a report that is split have the same.
   */
  readonly sequence: number;
  readonly statements: readonly RateStatement[];
  readonly demands: readonly ServiceDemand[];
}

/** Demand for one service at one instance; there is none for others. */
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

/** The demand at a peer, from the parts of its last report. */
interface PeerDemand {
  readonly startedAtMs: number;
  readonly sequence: number;
  readonly receivedAtMs: number;
  readonly perSByService: Map<RateServiceHash, readonly number[]>;
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
  return hash32(service) as RateServiceHash;
}

/** Creates the limits of an instance that has just started. */
export function createUpstreamRates<Id extends number>(
  options: UpstreamRatesOptions<Id>,
): UpstreamRates<Id> {
  const {peerIds, selfId, startedAtMs, upstreamsOf} = options;
  const statements: RateStatements = createRateStatements();
  const demands = new Map<ServiceName, TierDemand>();
  const peerDemands = new Map<Id, PeerDemand>();
  const uses = new Map<ProcessHash, OwnUse>();
  const hashes = new WeakMap<UpstreamProcess, ProcessHash>();
  let sequence = 0;

  /** Hashes are asked for more often than a process is described anew. */
  function hashOf(upstream: UpstreamProcess): ProcessHash {
    let hash = hashes.get(upstream);
    if (hash === undefined) {
      hash = processHashOf(upstream);
      hashes.set(upstream, hash);
    }
    return hash;
  }

  function rateOf(
    upstream: UpstreamProcess,
    nowMs: number,
  ): number | undefined {
    // Asked for each upstream that a request may use.
    if (statements.isEmpty()) return undefined;
    return statements.rateOf(hashOf(upstream), nowMs);
  }

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
      ...peers.map(id => {
        const reported = peerDemands.get(id)?.perSByService;
        // A report names only services that have demand.
        return {
          id,
          demandPerS: reported && toPart(reported.get(service) ?? []),
        };
      }),
    ];
  }

  function useOf(
    upstream: RatedUpstream,
    limitPerS: number,
    nowMs: number,
  ): OwnUse {
    const process = hashOf(upstream.process);
    let use = uses.get(process);
    if (use === undefined) {
      use = {
        bucket: createRateBucket(nowMs),
        share: noShare,
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

  function outdateShare(process: ProcessHash): void {
    const use = uses.get(process);
    if (use !== undefined) use.computedAtMs = -Infinity;
  }

  /** Records the demand of a peer; returns false for an outdated report. */
  function recordPeerDemand(report: RateReport<Id>, nowMs: number): boolean {
    const {demands: reported, instanceId, sequence: reportSequence} = report;
    const previous = peerDemands.get(instanceId);
    const order =
      previous === undefined
        ? 1
        : report.startedAtMs - previous.startedAtMs ||
          reportSequence - previous.sequence;
    if (order < 0) return false;
    const current =
      previous !== undefined && order === 0
        ? previous
        : {
            startedAtMs: report.startedAtMs,
            sequence: reportSequence,
            receivedAtMs: nowMs,
            perSByService: new Map<RateServiceHash, readonly number[]>(),
          };
    for (const {service, perS} of reported) {
      current.perSByService.set(service, perS);
    }
    peerDemands.set(instanceId, current);
    return true;
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
      const process = hashOf(upstream);
      const change =
        perS === undefined
          ? statements.stateNone(process, sentAtMs, nowMs)
          : statements.state(process, perS, nowMs);
      if (change !== 'unchanged') outdateShare(process);
      return change;
    },
    receiveReport: (report, nowMs) => {
      const changes = new Map<ProcessHash, RateChange>();
      if (report.instanceId === selfId) return changes;
      removeOldDemands(nowMs);
      if (!recordPeerDemand(report, nowMs)) return changes;
      for (const statement of report.statements) {
        const change = statements.adopt(statement, nowMs);
        if (change === 'unchanged') continue;
        changes.set(statement.process, change);
        outdateShare(statement.process);
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
    giveBack: ({process}) => uses.get(hashOf(process))?.bucket.giveBack(),
    rateOf,
    isInForce: upstream => statements.isInForce(hashOf(upstream)),
    sharePerS: (upstream, nowMs) => {
      const limitPerS = rateOf(upstream.process, nowMs);
      return limitPerS === undefined
        ? Infinity
        : useOf(upstream, limitPerS, nowMs).share.perS;
    },
    forget: upstream => {
      const process = hashOf(upstream);
      statements.forget(process);
      uses.delete(process);
    },
  };
}
