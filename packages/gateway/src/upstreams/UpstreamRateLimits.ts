/**
 * The request rates to which upstreams limit all instances together, as this
 * instance keeps them. An upstream names its rate in the heads of its responses
 * for as long as the limit holds. Peers tell each other what they were told, and
 * each instance sends what its share allows. A limit belongs to one process of
 * the upstream, so it outlasts changes of its entry, but not a restart.
 */
import type {
  Clock,
  InstanceId,
  RandomSource,
  ServiceName,
} from '@toucanrouter/common';
import type {Logger} from '@toucanrouter/logging';
import type {
  ProcessHash,
  RateChange,
  RatedUpstream,
  RateReport,
} from '@toucanrouter/policy';
import {createUpstreamRates, processHashOf} from '@toucanrouter/policy';
import {getOrCreate} from '../GetOrCreate.js';
import type {ShortId} from '../peers/ShortIds.js';
import {shortIdOf} from '../peers/ShortIds.js';
import type {UpstreamResponse} from '../request/Dialect.js';
import type {RetryTurns} from './RetryTurns.js';
import {createRetryTurns} from './RetryTurns.js';
import type {WaitingPlace, WaitingRequest} from './TurnsOfWaiting.js';
import {createTurnsOfWaiting} from './TurnsOfWaiting.js';
import type {UpstreamEntry} from './UpstreamEntry.js';

/** The parts of a response head that limits depend on. */
export type RateHead = Pick<
  UpstreamResponse,
  'misdirected' | 'requestId' | 'requestRate'
>;

/** What became of a request for which a limited upstream had no turn. */
export type HeldBack = 'placed_elsewhere' | 'refused' | 'waited';

/** One request that is sent to an upstream. */
export interface RatedSending {
  /**
   * Called right before the request is written. Returns why it must not be, or
   * undefined.
   */
  withdrawalReason(): string | undefined;
  /** The request did not reach the upstream. */
  notReceived(): void;
}

/** The limits of one service. */
export interface ServiceRateStatus {
  readonly service: ServiceName;
  readonly limitedCount: number;
  /** Requests a second that its limited upstreams take from all instances. */
  readonly limitPerS: number;
  /** The share of this instance. */
  readonly sharePerS: number;
  /** Requests sent under a limit since the start. */
  readonly sentCount: number;
  /** Requests for which a limited upstream had no turn, since the start. */
  readonly heldBackCounts: ReadonlyMap<HeldBack, number>;
}

/** What the placement of requests needs of the limits. */
export interface PlacementRates {
  /** True while the rate of requests to the upstream is limited. */
  isLimited(entry: UpstreamEntry): boolean;
  /** Time until a request may be sent; Infinity if others have the whole rate. */
  waitMs(
    entry: UpstreamEntry,
    tier: number,
    place: WaitingPlace | undefined,
  ): number;
  joinWaiting(request: WaitingRequest): WaitingPlace;
  /** Time after which a refused caller of a limited service should return. */
  retryTurnMs(service: ServiceName, tier: number): number;
  recordHeldBack(service: ServiceName, what: HeldBack): void;
}

/** The limits that hold at an instance. */
export interface UpstreamRateLimits extends PlacementRates {
  /** Records a request of a caller, but not its retries. */
  recordDemand(service: ServiceName, tier: number): void;
  /** Handles the head of a response to a request that was sent at `sentAtMs`. */
  receive(
    entry: UpstreamEntry,
    requestId: string,
    head: RateHead,
    sentAtMs: number,
  ): void;
  /** Counts a request that is about to be sent. */
  startSending(entry: UpstreamEntry, tier: number): RatedSending;
  /** Returns what peers must know now; undefined if there is nothing. */
  takeReport(): RateReport<ShortId> | undefined;
  receiveReport(report: RateReport<ShortId>): void;
  upstreamAdded(entry: UpstreamEntry): void;
  upstreamRemoved(entry: UpstreamEntry): void;
  /** The services that have or had limited upstreams. */
  status(): readonly ServiceRateStatus[];
}

/** Options of {@link createUpstreamRateLimits}. */
export interface UpstreamRateLimitsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: RandomSource;
  readonly selfId: InstanceId;
  /** The registered peers, also those that are silent. */
  readonly peerIds: () => readonly InstanceId[];
  readonly usable: (service: ServiceName) => readonly UpstreamEntry[];
  /** A limit has begun, changed or ended. */
  readonly onNews: () => void;
}

/** Placement without any limit. */
export const unlimitedPlacement: PlacementRates = {
  isLimited: () => false,
  waitMs: () => 0,
  joinWaiting: () => ({order: 0, close: () => undefined}),
  retryTurnMs: () => 0,
  recordHeldBack: () => undefined,
};

/** An entry may lapse and return while its process runs. */
const removedLifetimeMs = 60_000;
const msPerSecond = 1_000;

/** A process of an upstream that is or was registered. */
interface KnownProcess {
  readonly entry: UpstreamEntry;
  removedAtMs: number | undefined;
  problemLogged: boolean;
}

interface ServiceCounts {
  sentCount: number;
  readonly heldBackCounts: Map<HeldBack, number>;
}

const messageByChange: Readonly<
  Record<Exclude<RateChange, 'unchanged'>, string>
> = {
  began: 'upstream request rate limit began',
  changed: 'upstream request rate limit changed',
  ended: 'upstream request rate limit ended',
};

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** Creates the limits of an instance that has just started. */
export function createUpstreamRateLimits(
  options: UpstreamRateLimitsOptions,
): UpstreamRateLimits {
  const {clock, logger, random, usable} = options;
  const rates = createUpstreamRates<ShortId>({
    selfId: shortIdOf(options.selfId),
    startedAtMs: clock.wallMs(),
    peerIds: () => options.peerIds().map(shortIdOf),
    upstreamsOf: service =>
      usable(service).map(entry => ratedUpstreamOf(entry).process),
  });
  const turnsOfWaiting = createTurnsOfWaiting();
  const knownProcesses = new Map<ProcessHash, KnownProcess>();
  const countsByService = new Map<ServiceName, ServiceCounts>();
  const retryTurnsByService = new Map<ServiceName, RetryTurns>();

  const ratedUpstreams = new WeakMap<UpstreamEntry, RatedUpstream>();

  function ratedUpstreamOf(entry: UpstreamEntry): RatedUpstream {
    let rated = ratedUpstreams.get(entry);
    if (rated === undefined) {
      const {id, service, startedAtMs} = entry;
      rated = {process: {id, start: startedAtMs}, service};
      ratedUpstreams.set(entry, rated);
    }
    return rated;
  }

  const hashOf = (entry: UpstreamEntry) =>
    processHashOf(ratedUpstreamOf(entry).process);
  const rateOf = (entry: UpstreamEntry) =>
    rates.rateOf(ratedUpstreamOf(entry).process, clock.nowMs());
  const isLimited = (entry: UpstreamEntry) => rateOf(entry) !== undefined;
  const limitedOf = (service: ServiceName) => usable(service).filter(isLimited);
  const shareOf = (entry: UpstreamEntry) =>
    rates.sharePerS(ratedUpstreamOf(entry), clock.nowMs());
  const ownWaitMs = (entry: UpstreamEntry, tier: number) =>
    rates.waitMs(ratedUpstreamOf(entry), tier, clock.nowMs());
  const countsOf = (service: ServiceName) =>
    getOrCreate(countsByService, service, () => ({
      sentCount: 0,
      heldBackCounts: new Map<HeldBack, number>(),
    }));

  function forget(process: ProcessHash, {entry}: KnownProcess): void {
    knownProcesses.delete(process);
    rates.forget(ratedUpstreamOf(entry).process);
  }

  function forgetRemoved(): void {
    const nowMs = clock.nowMs();
    for (const [process, known] of knownProcesses) {
      const {removedAtMs = Infinity} = known;
      if (removedAtMs + removedLifetimeMs <= nowMs) forget(process, known);
    }
  }

  function logChange(
    change: RateChange,
    entry: UpstreamEntry,
    source:
      {readonly requestId: string} | {readonly peer: InstanceId | undefined},
  ): void {
    if (change === 'unchanged') return;
    logger.info(messageByChange[change], {
      upstream: entry.id,
      service: entry.service,
      ...source,
      perS: rateOf(entry),
      sharePerS: shareOf(entry),
    });
  }

  function logProblem(
    known: KnownProcess,
    requestId: string,
    problem: string,
  ): void {
    if (known.problemLogged) return;
    known.problemLogged = true;
    logger.warn('an upstream sent an unusable request rate', {
      upstream: known.entry.id,
      service: known.entry.service,
      requestId,
      problem,
    });
  }

  function countSent(entry: UpstreamEntry): boolean {
    if (!isLimited(entry)) return false;
    rates.take(ratedUpstreamOf(entry), clock.nowMs());
    countsOf(entry.service).sentCount += 1;
    return true;
  }

  return {
    isLimited,
    waitMs: (entry, tier, place) => {
      if (!isLimited(entry)) return 0;
      const {id, service} = entry;
      const waitMs = ownWaitMs(entry, tier);
      const ahead = turnsOfWaiting.aheadCount(service, id, tier, place);
      if (ahead === 0) return waitMs;
      const perS = sum(limitedOf(service).map(shareOf));
      return perS > 0 ? waitMs + (ahead / perS) * msPerSecond : Infinity;
    },
    joinWaiting: turnsOfWaiting.join,
    retryTurnMs: (service, tier) => {
      const perS = sum(limitedOf(service).map(entry => rateOf(entry) ?? 0));
      const turns = getOrCreate(retryTurnsByService, service, () =>
        createRetryTurns(random),
      );
      const instanceCount = options.peerIds().length + 1;
      return turns.nextMs(tier, perS / instanceCount, clock.nowMs());
    },
    recordHeldBack: (service, what) => {
      const {heldBackCounts} = countsOf(service);
      heldBackCounts.set(what, (heldBackCounts.get(what) ?? 0) + 1);
    },
    recordDemand: (service, tier) =>
      rates.recordDemand(service, tier, clock.nowMs()),
    receive: (entry, requestId, head, sentAtMs) => {
      if (head.misdirected) return;
      const {perS, problem} = head.requestRate;
      // Only the upstream itself echoes the request's id.
      if (perS === undefined && head.requestId === undefined) return;
      const known = knownProcesses.get(hashOf(entry));
      if (known === undefined) return;
      if (problem !== undefined) logProblem(known, requestId, problem);
      const {process} = ratedUpstreamOf(entry);
      const change = rates.receive(
        process,
        head.requestRate,
        sentAtMs,
        clock.nowMs(),
      );
      logChange(change, entry, {requestId});
      if (change !== 'unchanged') options.onNews();
    },
    startSending: (entry, tier) => {
      let counted = countSent(entry);
      return {
        withdrawalReason: () => {
          if (counted || !isLimited(entry)) return undefined;
          if (ownWaitMs(entry, tier) > 0) {
            return 'the upstream has limited its request rate';
          }
          counted = countSent(entry);
          return undefined;
        },
        notReceived: () => {
          if (!counted) return;
          counted = false;
          rates.giveBack(ratedUpstreamOf(entry));
          countsOf(entry.service).sentCount -= 1;
        },
      };
    },
    takeReport: () => {
      forgetRemoved();
      return rates.takeReport(clock.nowMs());
    },
    receiveReport: report => {
      // Statements on processes that are gone, or not known yet, would stay.
      const statements = report.statements.filter(({process}) =>
        knownProcesses.has(process),
      );
      const changes = rates.receiveReport(
        {...report, statements},
        clock.nowMs(),
      );
      const peer = options
        .peerIds()
        .find(id => shortIdOf(id) === report.instanceId);
      for (const [process, change] of changes) {
        const entry = knownProcesses.get(process)?.entry;
        if (entry === undefined) continue;
        logChange(change, entry, {peer});
        options.onNews();
      }
    },
    upstreamAdded: entry => {
      const process = hashOf(entry);
      for (const [other, known] of knownProcesses) {
        if (known.entry.id === entry.id && other !== process) {
          forget(other, known);
        }
      }
      knownProcesses.set(process, {
        entry,
        removedAtMs: undefined,
        problemLogged: knownProcesses.get(process)?.problemLogged ?? false,
      });
    },
    upstreamRemoved: entry => {
      const known = knownProcesses.get(hashOf(entry));
      if (known !== undefined) known.removedAtMs = clock.nowMs();
    },
    status: () => {
      const limited = [...knownProcesses.values()].flatMap(({entry}) =>
        isLimited(entry) ? [entry] : [],
      );
      const services = new Set([
        ...countsByService.keys(),
        ...limited.map(({service}) => service),
      ]);
      return [...services].map(service => {
        const entries = limited.filter(entry => entry.service === service);
        return {
          service,
          limitedCount: entries.filter(entry =>
            rates.isInForce(ratedUpstreamOf(entry).process),
          ).length,
          limitPerS: sum(entries.map(entry => rateOf(entry) ?? 0)),
          sharePerS: sum(entries.map(shareOf)),
          ...countsOf(service),
        };
      });
    },
  };
}
