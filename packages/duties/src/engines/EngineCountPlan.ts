/**
 * Decides how many engines of a service to order in each failure domain. It
 * answers these loads: demand that swings and bursts, reclaimable engines of a
 * failure domain that are taken away at once, orders that are refused or carried
 * out late, and engines that are lost or replaced meanwhile.
 *
 * The count that the operator deployed is a floor until demand has been observed
 * for long. More is ordered at once when the demand needs it. Reclaimable engines
 * cost a fraction, so all but a base are reclaimable. The base carries the
 * interactive work. Engines are given back only while others are ready in their
 * place, so that an order never lowers the capacity below what is wanted.
 */
import type {ServiceName} from '@toucanrouter/common';
import type {EngineNeed} from './EngineNeed.js';

/** What the configuration says about the engines of a service. */
export interface ScalingLimits {
  /** Least and most engines in a failure domain, of both kinds together. */
  readonly minPerDomain: number;
  readonly maxPerDomain: number;
  /** Time after which an ordered engine serves. */
  readonly bootMs: number;
  /** Price of a reclaimable engine as a share; undefined if there are none. */
  readonly reclaimablePriceShare: number | undefined;
  /** Price of an engine by failure domain. */
  readonly domainPrices: ReadonlyMap<string, number>;
}

/** A figure for each kind of engine. */
export interface EngineCounts {
  readonly ordinary: number;
  readonly reclaimable: number;
}

/** Engines of a service in a failure domain. */
export interface DomainEngines {
  /** Engines that take new work. */
  readonly ready: EngineCounts;
  /** Reclaimable engines that are being taken away. */
  readonly reclaimedCount: number;
}

/** What the plan decides from. */
export interface EngineCountInput {
  readonly nowMs: number;
  readonly limits: ScalingLimits;
  readonly engines: ReadonlyMap<string, DomainEngines>;
  readonly need: EngineNeed;
}

/** A count to order, and why. */
export interface PlannedOrder {
  readonly failureDomain: string;
  readonly reclaimable: boolean;
  readonly count: number;
  readonly reason: string;
}

/** What the next owner has to know of a plan. */
export interface EnginePlanState {
  readonly service: ServiceName;
  /** Engines that the operator deployed. */
  readonly deployedCount: number;
  readonly ordered: ReadonlyMap<string, EngineCounts>;
}

/** The plan of one service. */
export interface EngineCountPlan {
  /** Returns the orders to send now. */
  update(input: EngineCountInput): readonly PlannedOrder[];
  /** Records that an order was accepted. */
  accepted(order: PlannedOrder, nowMs: number): void;
  /** Records that there are no such engines in the failure domain now. */
  unavailable(order: PlannedOrder, nowMs: number): void;
  /** Records that an order got no response and may be carried out later. */
  unanswered(order: PlannedOrder, nowMs: number): void;
  /** Engines wanted in all failure domains, by the latest update. */
  wantedCount(): number;
  /** Undefined before the deployed engines are known. */
  state(): EnginePlanState | undefined;
}

/** The deployed engines are known once their number is steady for this time. */
const steadyMs = 1_500;
/** Engines beyond the need, for moments in which some of them are slow or lost. */
const headroomFactor = 1.15;
/** The same for the count that is kept when demand has been observed for long. */
const idleHeadroomFactor = 1.5;
/** Demand must be observed for this time before engines are given back. */
const minObservedMs = 60_000;
/** Interval between steps down, and their size as a share of the engines. */
const stepDownMs = 10_000;
const stepDownShare = 0.05;
/** Share of the interactive need that ordinary engines must carry alone. */
const baseNeedShare = 0.5;
/** Domains may differ by so many engines of a kind before some are moved. */
const maxImbalance = 4;
/** Smaller reductions of the base are not worth the loss of caches. */
const minBaseChange = 3;
/** Time for which a wanted count is kept, and interval between steps down. */
const holdMs = 20_000;
const wantedStepMs = 5_000;
/** Boot times until engines that did not follow are ordered again. */
const followBoots = 3;
/** Boot time to reckon with for engines that serve sooner. */
const minBootMs = 1_000;
/**
 * Time in which the platform may carry out an order without a response; it takes
 * up to 12 s.
 */
const lateOrderMs = 13_000;
/** Interval at which a count is repeated that a late order has undone. */
const lateRepeatMs = 1_000;
/** First delay, in boot times, until unavailable engines are asked for again. */
const firstBlockBoots = 2;
const maxBlockMs = 60_000;

const noCounts: EngineCounts = {ordinary: 0, reclaimable: 0};

interface Block {
  readonly untilMs: number;
  readonly delayMs: number;
}

interface SentOrder {
  readonly count: number;
  /** When it was sent, or the engines last had that count. */
  followedAtMs: number;
}

interface LateOrder {
  readonly count: number;
  readonly untilMs: number;
}

const orderKey = (failureDomain: string, reclaimable: boolean) =>
  `${failureDomain} ${reclaimable}`;

function sumOf(
  counts: Iterable<EngineCounts>,
  figureOf: (counts: EngineCounts) => number,
): number {
  let sum = 0;
  for (const each of counts) sum += figureOf(each);
  return sum;
}

const bothKinds = ({ordinary, reclaimable}: EngineCounts) =>
  ordinary + reclaimable;

/**
 * Changes counts by domain to a total within the places of each domain. Engines
 * are added where there are fewest and removed where there are most; what is
 * there stays otherwise, since a new engine has no cached prefixes.
 */
function adjust(
  current: ReadonlyMap<string, number>,
  total: number,
  domains: readonly string[],
  placesIn: (domain: string) => number,
): Map<string, number> {
  const counts = new Map(
    domains.map(domain => [
      domain,
      Math.min(current.get(domain) ?? 0, placesIn(domain)),
    ]),
  );
  const countOf = (domain: string) => counts.get(domain) ?? 0;
  const fewest = () =>
    domains
      .filter(domain => countOf(domain) < placesIn(domain))
      .reduce<string | undefined>(
        (least, domain) =>
          least === undefined || countOf(domain) < countOf(least)
            ? domain
            : least,
        undefined,
      );
  // The dearest domain comes last, and is the first to lose engines.
  const most = () =>
    domains.reduce<string | undefined>(
      (largest, domain) =>
        largest === undefined || countOf(domain) >= countOf(largest)
          ? domain
          : largest,
      undefined,
    );
  let left = total - [...counts.values()].reduce((sum, each) => sum + each, 0);
  for (; left > 0; left -= 1) {
    const domain = fewest();
    if (domain === undefined) break;
    counts.set(domain, countOf(domain) + 1);
  }
  for (; left < 0; left += 1) {
    const domain = most();
    if (domain === undefined || countOf(domain) === 0) break;
    counts.set(domain, countOf(domain) - 1);
  }
  for (;;) {
    const to = fewest();
    const from = most();
    if (to === undefined || from === undefined) break;
    if (countOf(from) - countOf(to) <= maxImbalance) break;
    counts.set(to, countOf(to) + 1);
    counts.set(from, countOf(from) - 1);
  }
  return counts;
}

/** Creates a plan; `restored` is the state that an earlier owner left. */
export function createEngineCountPlan(
  service: ServiceName,
  restored?: EnginePlanState,
): EngineCountPlan {
  let deployedCount = restored?.deployedCount;
  const ordered = new Map<string, EngineCounts>(restored?.ordered ?? []);
  const sent = new Map<string, SentOrder>();
  /** The lowest recent order without a response. */
  const lateOrders = new Map<string, LateOrder>();
  let isRestored = restored !== undefined;
  const blocks = new Map<string, Block>();
  let wantedTotal = 0;
  /** Below this count, dearer engines take the place of missing ones. */
  let leastTotal = 0;
  let lowerAtMs = 0;
  let floor = deployedCount ?? 0;
  let steppedDownAtMs = -Infinity;
  let heldBase = 0;
  let bootMs = 0;
  let steadyCount = -1;
  let steadySinceMs = 0;

  /** Takes the engines that are there as the deployed ones. */
  function learnDeployed({engines, nowMs}: EngineCountInput): void {
    if (deployedCount !== undefined) return;
    const count = sumOf(
      [...engines.values()].map(({ready}) => ready),
      bothKinds,
    );
    if (count !== steadyCount) {
      steadyCount = count;
      steadySinceMs = nowMs;
    }
    if (count === 0 || nowMs - steadySinceMs < steadyMs) return;
    deployedCount = count;
    floor = count;
    for (const [domain, {ready}] of engines) ordered.set(domain, ready);
  }

  /** The orders of an earlier owner may not have been carried out. */
  function expectRestored({nowMs}: EngineCountInput): void {
    isRestored = false;
    for (const [domain, {ordinary, reclaimable}] of ordered) {
      const orders = [
        [false, ordinary],
        [true, reclaimable],
      ] as const;
      for (const [isReclaimable, count] of orders) {
        const key = orderKey(domain, isReclaimable);
        sent.set(key, {count, followedAtMs: nowMs});
      }
    }
  }

  /** Lowers the floor slowly once the demand is known and needs far less. */
  function stepDown({need, nowMs}: EngineCountInput): void {
    if ((need.observedMs ?? 0) < minObservedMs) return;
    if (nowMs - steppedDownAtMs < stepDownMs) return;
    steppedDownAtMs = nowMs;
    const enough = Math.ceil(need.total * idleHeadroomFactor);
    const step = Math.max(1, Math.floor(floor * stepDownShare));
    if (floor - step >= enough) floor -= step;
  }

  function isBlocked(domain: string, nowMs: number): boolean {
    return nowMs < (blocks.get(domain)?.untilMs ?? -Infinity);
  }

  function block(domain: string, nowMs: number): void {
    const previous = blocks.get(domain);
    if (previous !== undefined && nowMs < previous.untilMs) return;
    // A block that ended a short time ago is continued with a longer delay.
    const isRepeated =
      previous !== undefined && nowMs < previous.untilMs + previous.delayMs;
    const delayMs = isRepeated
      ? Math.min(previous.delayMs * 2, maxBlockMs)
      : bootMs * firstBlockBoots;
    blocks.set(domain, {untilMs: nowMs + delayMs, delayMs});
  }

  /** Engines that are taken away are not to be had there for a while. */
  function noticeReclaims({engines, nowMs}: EngineCountInput): void {
    for (const [domain, {ready, reclaimedCount}] of engines) {
      const {reclaimable} = ordered.get(domain) ?? noCounts;
      // One engine that leaves may be replaced; a reclaim takes all of them.
      if (reclaimedCount === 0 || ready.reclaimable * 2 >= reclaimable)
        continue;
      block(domain, nowMs);
      const counts = ordered.get(domain) ?? noCounts;
      ordered.set(domain, {...counts, reclaimable: 0});
      sent.delete(orderKey(domain, true));
    }
  }

  /** Failure domains with the cheapest first. */
  function domainsOf({engines, limits}: EngineCountInput): readonly string[] {
    const priceOf = (domain: string) => limits.domainPrices.get(domain) ?? 1;
    return [...engines.keys()].toSorted(
      (a, b) => priceOf(a) - priceOf(b) || (a < b ? -1 : 1),
    );
  }

  /** Counts to reach, whatever is ready now. */
  function targets(
    input: EngineCountInput,
    domains: readonly string[],
  ): Map<string, EngineCounts> {
    const {limits, need, nowMs} = input;
    const {maxPerDomain, minPerDomain} = limits;
    const wanted = Math.max(
      floor,
      Math.ceil(need.total * headroomFactor),
      minPerDomain * domains.length,
    );
    follow(Math.min(wanted, maxPerDomain * domains.length), nowMs);
    const hasReclaimable = limits.reclaimablePriceShare !== undefined;
    const base = hasReclaimable
      ? baseCount(need, Math.max(1, minPerDomain) * domains.length)
      : wantedTotal;
    const baseByDomain = adjust(
      new Map(),
      Math.min(base, wantedTotal),
      domains,
      () => maxPerDomain,
    );
    const reclaimable = adjust(
      orderedOf('reclaimable'),
      hasReclaimable ? wantedTotal - sumOfCounts(baseByDomain) : 0,
      domains,
      domain =>
        isBlocked(domain, nowMs)
          ? (ordered.get(domain)?.reclaimable ?? 0)
          : maxPerDomain - (baseByDomain.get(domain) ?? 0),
    );
    leastTotal = hasReclaimable
      ? Math.min(wantedTotal, Math.max(floor, Math.ceil(need.least)))
      : wantedTotal;
    // Ordinary engines cost more, so they replace the missing reclaimable ones
    // only as far as work would pile up, or fewer would serve than were deployed.
    const ordinary = adjust(
      orderedOf('ordinary'),
      Math.max(
        sumOfCounts(baseByDomain),
        leastTotal - sumOfCounts(reclaimable),
      ),
      domains,
      domain => maxPerDomain - (reclaimable.get(domain) ?? 0),
    );
    return new Map(
      domains.map(domain => [
        domain,
        {
          ordinary: ordinary.get(domain) ?? 0,
          reclaimable: reclaimable.get(domain) ?? 0,
        },
      ]),
    );
  }

  function orderedOf(kind: keyof EngineCounts): Map<string, number> {
    return new Map(
      [...ordered].map(([domain, counts]) => [domain, counts[kind]]),
    );
  }

  /** Raises the wanted count at once, and lowers it in steps. */
  function follow(wanted: number, nowMs: number): void {
    if (wanted >= wantedTotal) {
      wantedTotal = wanted;
      lowerAtMs = nowMs + holdMs;
    } else if (nowMs >= lowerAtMs) {
      const step = Math.max(1, Math.floor(wantedTotal * stepDownShare));
      wantedTotal = Math.max(wanted, wantedTotal - step);
      lowerAtMs = nowMs + wantedStepMs;
    }
  }

  /** Ordinary engines; a small change of the need does not replace engines. */
  function baseCount({interactive}: EngineNeed, least: number): number {
    const count = Math.max(least, Math.ceil(interactive * baseNeedShare));
    if (count > heldBase || heldBase - count >= minBaseChange) heldBase = count;
    return heldBase;
  }

  function sumOfCounts(counts: ReadonlyMap<string, number>): number {
    return [...counts.values()].reduce((sum, count) => sum + count, 0);
  }

  /** Ready engines that no order gives back already. */
  function usableCounts({engines}: EngineCountInput): number {
    return sumOf(
      [...engines].map(([domain, {ready}]) => {
        const counts = ordered.get(domain) ?? ready;
        return {
          ordinary: Math.min(ready.ordinary, counts.ordinary),
          reclaimable: Math.min(ready.reclaimable, counts.reclaimable),
        };
      }),
      bothKinds,
    );
  }

  /** Limits what is given back to the engines that are ready in excess. */
  function steps(
    input: EngineCountInput,
    domains: readonly string[],
    goal: ReadonlyMap<string, EngineCounts>,
  ): Map<string, EngineCounts> {
    let usable = usableCounts(input);
    const next = new Map<string, EngineCounts>();
    // The dearest are given back first.
    for (const domain of domains.toReversed()) {
      const from = ordered.get(domain) ?? noCounts;
      const to = goal.get(domain) ?? noCounts;
      const lowered = (kind: keyof EngineCounts, keptTotal: number) => {
        const excess = Math.max(0, from[kind] - to[kind]);
        const given = Math.min(excess, Math.max(0, usable - keptTotal));
        usable -= given;
        return Math.max(to[kind], from[kind] - given);
      };
      const ordinary = lowered('ordinary', leastTotal);
      const reclaimable = Math.min(
        lowered('reclaimable', wantedTotal),
        input.limits.maxPerDomain - ordinary,
      );
      next.set(domain, {ordinary, reclaimable: Math.max(0, reclaimable)});
    }
    return next;
  }

  /** True for a count that was ordered, but that the engines do not follow. */
  function isUnfollowed(
    domain: string,
    reclaimable: boolean,
    count: number,
    {engines, limits, nowMs}: EngineCountInput,
  ): boolean {
    const order = sent.get(orderKey(domain, reclaimable));
    if (order === undefined || order.count !== count) return false;
    const ready = engines.get(domain)?.ready ?? noCounts;
    const readyCount = reclaimable ? ready.reclaimable : ready.ordinary;
    if (readyCount === count) order.followedAtMs = nowMs;
    const late = lateOrders.get(orderKey(domain, reclaimable));
    const mayBeUndone =
      late !== undefined &&
      nowMs < late.untilMs &&
      late.count < count &&
      readyCount < count;
    const waitMs = mayBeUndone
      ? lateRepeatMs
      : Math.max(limits.bootMs, minBootMs) * followBoots;
    return nowMs - order.followedAtMs >= waitMs;
  }

  function reasonFor(
    {need, nowMs}: EngineCountInput,
    domain: string,
    from: number,
    to: number,
  ): string {
    const figures = `wanted ${wantedTotal}, needed ${need.total.toFixed(1)}, interactive ${need.interactive.toFixed(1)}, deployed ${deployedCount}`;
    if (from === to) return `the engines did not follow (${figures})`;
    const change = to > from ? 'raised' : 'lowered';
    const blocked = isBlocked(domain, nowMs) ? ', none reclaimable' : '';
    return `${change} from ${from}${blocked} (${figures})`;
  }

  function ordersFor(
    input: EngineCountInput,
    next: ReadonlyMap<string, EngineCounts>,
  ): readonly PlannedOrder[] {
    const orders: PlannedOrder[] = [];
    for (const [failureDomain, counts] of next) {
      const from = ordered.get(failureDomain) ?? noCounts;
      for (const reclaimable of [true, false]) {
        const kind = reclaimable ? 'reclaimable' : 'ordinary';
        const count = counts[kind];
        const isChanged = count !== from[kind];
        if (reclaimable && isBlocked(failureDomain, input.nowMs)) continue;
        if (
          !isChanged &&
          !isUnfollowed(failureDomain, reclaimable, count, input)
        ) {
          continue;
        }
        const reason = reasonFor(input, failureDomain, from[kind], count);
        orders.push({failureDomain, reclaimable, count, reason});
      }
    }
    // More first: what is given back must be replaced by then.
    const changeOf = ({count, failureDomain, reclaimable}: PlannedOrder) =>
      count -
      (ordered.get(failureDomain) ?? noCounts)[
        reclaimable ? 'reclaimable' : 'ordinary'
      ];
    return orders.toSorted((a, b) => changeOf(b) - changeOf(a));
  }

  return {
    update: input => {
      bootMs = Math.max(input.limits.bootMs, minBootMs);
      learnDeployed(input);
      if (deployedCount === undefined) return [];
      if (isRestored) expectRestored(input);
      noticeReclaims(input);
      stepDown(input);
      const domains = domainsOf(input);
      const goal = targets(input, domains);
      return ordersFor(input, steps(input, domains, goal));
    },
    accepted: ({count, failureDomain, reclaimable}, nowMs) => {
      const counts = ordered.get(failureDomain) ?? noCounts;
      const kind = reclaimable ? 'reclaimable' : 'ordinary';
      ordered.set(failureDomain, {...counts, [kind]: count});
      const key = orderKey(failureDomain, reclaimable);
      sent.set(key, {count, followedAtMs: nowMs});
    },
    unavailable: ({failureDomain, reclaimable}, nowMs) => {
      if (reclaimable) block(failureDomain, nowMs);
    },
    unanswered: ({count, failureDomain, reclaimable}, nowMs) => {
      const key = orderKey(failureDomain, reclaimable);
      const previous = lateOrders.get(key);
      const isRecent = previous !== undefined && nowMs < previous.untilMs;
      lateOrders.set(key, {
        count: isRecent ? Math.min(previous.count, count) : count,
        untilMs: nowMs + lateOrderMs,
      });
      if (sent.has(key)) return;
      const counts = ordered.get(failureDomain) ?? noCounts;
      const kind = reclaimable ? 'reclaimable' : 'ordinary';
      sent.set(key, {count: counts[kind], followedAtMs: nowMs});
    },
    wantedCount: () => wantedTotal,
    state: () =>
      deployedCount === undefined
        ? undefined
        : {service, deployedCount, ordered: new Map(ordered)},
  };
}
