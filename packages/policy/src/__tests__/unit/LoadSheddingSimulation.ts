/**
 * Simulates an event loop that serves requests: each turn reads the requests that
 * arrived during the turn before, and serves the most urgent of those that wait. A
 * request that waits until shortly before its limit is refused.
 */
import type {LoadShedding} from '../../LoadShedding.js';

const sampleMs = 25;
const idleTurnMs = 1;
const answerReserveMs = 150;

/** Outcomes of the requests of one tier. */
export interface TierOutcomes {
  readonly latenciesMs: number[];
  refused: number;
  /** Requests without an answer within their callers' limit. */
  late: number;
}

/** The load of a simulated process. */
export interface SimulatedLoad {
  readonly tiers: readonly number[];
  readonly durationMs: number;
  readonly arrivalsPerSecond: (atMs: number) => number;
  readonly servedCostMs: number;
  readonly refusedCostMs: number;
  readonly limitMs: number;
  /** Times at which the process is frozen, and for how long. */
  readonly freezes?: readonly {readonly atMs: number; readonly forMs: number}[];
  readonly random: () => number;
  /** Called with the length of each turn, and whether it had work. */
  readonly onTurnEnd?: (turnMs: number, isIdle: boolean) => void;
}

/** Runs a load; without `shedding` all requests are served as they are read. */
export function simulateLoad(
  load: SimulatedLoad,
  shedding: LoadShedding | undefined,
  onTurn: (nowMs: number) => void = () => undefined,
): ReadonlyMap<number, TierOutcomes> {
  const outcomes = new Map<number, TierOutcomes>(
    load.tiers.map(tier => [tier, {latenciesMs: [], refused: 0, late: 0}]),
  );
  const freezes = [...(load.freezes ?? [])];
  let waiting: {tier: number; atMs: number}[] = [];
  let nowMs = 0;
  let nextArrivalMs = 0;
  let dueAtMs = sampleMs;
  let delayMs = 0;

  function arriveUntil(endMs: number): void {
    while (nextArrivalMs <= endMs) {
      const index = Math.floor(load.random() * load.tiers.length);
      waiting.push({tier: load.tiers[index] ?? 0, atMs: nextArrivalMs});
      const perSecond = load.arrivalsPerSecond(nextArrivalMs);
      nextArrivalMs += (-Math.log(1 - load.random()) * 1_000) / perSecond;
    }
  }

  function answer(tier: number, atMs: number, isServed: boolean): void {
    const outcome = outcomes.get(tier)!;
    const latencyMs = nowMs - atMs;
    if (latencyMs > load.limitMs) outcome.late += 1;
    else if (isServed) outcome.latenciesMs.push(latencyMs);
    else outcome.refused += 1;
  }

  let queue: {tier: number; atMs: number}[] = [];
  while (nowMs < load.durationMs) {
    const turnStartMs = nowMs;
    if (freezes[0] !== undefined && nowMs >= freezes[0].atMs) {
      nowMs += freezes[0].forMs;
      freezes.shift();
    }
    const queueWaitMs = () => queue.length * load.servedCostMs;
    if (nowMs >= dueAtMs) {
      delayMs = nowMs - dueAtMs;
      shedding?.observeDelay(delayMs + queueWaitMs(), nowMs);
      dueAtMs = nowMs + sampleMs;
    }
    arriveUntil(nowMs);
    const read = waiting;
    waiting = [];
    nowMs += idleTurnMs;
    for (const {tier, atMs} of read) {
      const refusal = shedding?.decide({
        tier,
        limitMs: load.limitMs,
        delayMs: Math.max(delayMs, nowMs - dueAtMs) + queueWaitMs(),
        draw: load.random(),
      });
      if (refusal === undefined) {
        const index =
          shedding === undefined
            ? queue.length
            : queue.findLastIndex(other => other.tier <= tier) + 1;
        queue.splice(index, 0, {tier, atMs});
      } else {
        nowMs += load.refusedCostMs;
        answer(tier, atMs, false);
      }
    }
    // The timer of a request ends it, wherever it waits.
    const isDue = ({atMs}: {atMs: number}) =>
      nowMs - atMs > load.limitMs - answerReserveMs;
    for (const {tier, atMs} of queue.filter(isDue)) {
      nowMs += load.refusedCostMs;
      answer(tier, atMs, false);
    }
    queue = queue.filter(request => !isDue(request));
    // Without shedding, each request is served as soon as it is read.
    const served = queue.splice(0, shedding === undefined ? Infinity : 1);
    for (const {tier, atMs} of served) {
      nowMs += load.servedCostMs;
      answer(tier, atMs, true);
    }
    const isIdle = read.length === 0 && served.length === 0;
    load.onTurnEnd?.(nowMs - turnStartMs, isIdle);
    onTurn(nowMs);
  }
  return outcomes;
}
