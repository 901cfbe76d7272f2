/**
 * Divides the request rate of an upstream among the instances without a
 * coordinator: each computes the shares of all from the same inputs, the members
 * of the fleet and the demand that each reports. Load pattern: an upstream that
 * takes few requests a second from many instances, each of which has more.
 *
 * The rate goes to the most urgent tiers first, as far as they ask for it, and
 * within them to the instances by their demand. An instance can send only whole
 * requests, so each one with a share may be one request ahead of it. Only as many
 * instances get a share as the fleet may be ahead in all; they are chosen by
 * rendezvous hashing weighted by demand, so that nearly equal views of the
 * demand lead to nearly the same choice.
 */
import {hash64} from '@toucanrouter/common';

/** An instance that may send requests to the upstream. */
export interface RateMember<Id extends number> {
  readonly id: Id;
  /**
   * Requests a second for the upstream by tier, the most urgent first; undefined
   * if the instance did not report it.
   */
  readonly demandPerS: readonly number[] | undefined;
}

/** The inputs of a division. */
export interface RateDivision<Id extends number> {
  /** Names the upstream; members are ranked for it. */
  readonly resource: string;
  readonly limitPerS: number;
  readonly members: readonly RateMember<Id>[];
}

/** The part of a rate that one instance may use. */
export interface RateShare {
  readonly perS: number;
  /** Requests that may be saved up. */
  readonly burst: number;
  /** Tiers below this one may use the share at once, others what is left. */
  readonly openTierCount: number;
}

/** Requests by which all instances together may exceed the rate at once. */
const maxBurstRequests = 3;
/** The same that grows with the rate, as the time in which it is reached. */
const maxBurstS = 1;
/**
 * Least requests that one instance may save up. More than one, so that less
 * urgent requests can leave one for the others.
 */
export const minOwnBurst = 1.25;
/** Part of the rate that is divided equally, for demand that is about to rise. */
const equalShare = 0.1;
const hashRange = 2 ** 64;

export const noShare: RateShare = {perS: 0, burst: 0, openTierCount: 0};

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** Demand of the members by tier; the average for those that report none. */
function demandsOf<Id extends number>(
  members: readonly RateMember<Id>[],
): readonly (readonly number[])[] {
  const reported = members.flatMap(({demandPerS}) =>
    demandPerS === undefined ? [] : [demandPerS],
  );
  const tierCount = Math.max(0, ...reported.map(({length}) => length));
  const average = Array.from(
    {length: tierCount},
    (_, tier) =>
      sum(reported.map(demand => demand[tier] ?? 0)) / reported.length,
  );
  return members.map(({demandPerS}) => demandPerS ?? average);
}

/** The part of each tier's demand that the rate covers, from 0 to 1. */
function coverageOf(
  demands: readonly (readonly number[])[],
  limitPerS: number,
): readonly number[] {
  const tierCount = Math.max(0, ...demands.map(({length}) => length));
  let leftPerS = limitPerS;
  return Array.from({length: tierCount}, (_, tier) => {
    const demandPerS = sum(demands.map(demand => demand[tier] ?? 0));
    const coveredPerS = Math.min(demandPerS, leftPerS);
    leftPerS -= coveredPerS;
    return demandPerS > 0 ? coveredPerS / demandPerS : 1;
  });
}

/**
 * Number of the tiers, from the most urgent on, whose demand the rate covers. The
 * most urgent one counts in any case.
 */
function openTierCountOf(coverage: readonly number[]): number {
  const index = coverage.findIndex(part => part < 1);
  return index < 0 ? Infinity : Math.max(1, index);
}

/** A number from 0 to 1, both excluded, that all instances compute alike. */
function drawFor(resource: string, id: number): number {
  return (Number(hash64(`${resource}\n${id}`)) + 1) / (hashRange + 2);
}

/** Returns the share of the member `selfId`. */
export function rateShareOf<Id extends number>(
  selfId: Id,
  {limitPerS, members, resource}: RateDivision<Id>,
): RateShare {
  const demands = demandsOf(members);
  const coverage = coverageOf(demands, limitPerS);
  const covered = demands.map(demand =>
    sum(demand.map((perS, tier) => perS * (coverage[tier] ?? 0))),
  );
  const total = sum(covered);
  const equal = total > 0 ? (total * equalShare) / members.length : 1;
  const weighted = members.map(({id}, index) => ({
    id,
    weight: (covered[index] ?? 0) * (1 - equalShare) + equal,
  }));
  const burst = maxBurstRequests + limitPerS * maxBurstS;
  const maxHolders = Math.max(1, Math.floor(burst / minOwnBurst));
  const holders =
    weighted.length <= maxHolders
      ? weighted
      : weighted
          .map(member => ({
            ...member,
            score: -member.weight / Math.log(drawFor(resource, member.id)),
          }))
          .toSorted((a, b) => b.score - a.score)
          .slice(0, maxHolders);
  const own = holders.find(({id}) => id === selfId);
  if (own === undefined) return noShare;
  return {
    perS: (limitPerS * own.weight) / sum(holders.map(({weight}) => weight)),
    burst: burst / holders.length,
    openTierCount: openTierCountOf(coverage),
  };
}
