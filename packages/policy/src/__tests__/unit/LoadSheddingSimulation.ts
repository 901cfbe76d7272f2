/**
 * Simulates an event loop that serves requests: each turn takes the requests that
 * arrived during the turn before, and a request is answered at the end of the
 * turn after the one that read it.
 */
import type {LoadShedding} from '../../LoadShedding.js';

const sampleMs = 25;
const idleTurnMs = 1;

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
}

/** Runs a load; without `shedding` all requests are served. */
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

  function finish(served: readonly {tier: number; atMs: number}[]): void {
    for (const {tier, atMs} of served) {
      const outcome = outcomes.get(tier);
      const latencyMs = nowMs - atMs;
      if (latencyMs > load.limitMs) outcome!.late += 1;
      else outcome!.latenciesMs.push(latencyMs);
    }
  }

  let inService: {tier: number; atMs: number}[] = [];
  while (nowMs < load.durationMs) {
    if (freezes[0] !== undefined && nowMs >= freezes[0].atMs) {
      nowMs += freezes[0].forMs;
      freezes.shift();
    }
    if (nowMs >= dueAtMs) {
      delayMs = nowMs - dueAtMs;
      shedding?.observeDelay(delayMs, nowMs);
      dueAtMs = nowMs + sampleMs;
    }
    arriveUntil(nowMs);
    const read = waiting;
    waiting = [];
    const answered = inService;
    inService = [];
    nowMs += idleTurnMs;
    for (const request of read) {
      const refusal = shedding?.decide({
        tier: request.tier,
        limitMs: load.limitMs,
        delayMs: Math.max(delayMs, nowMs - dueAtMs),
        draw: load.random(),
      });
      if (refusal === undefined) {
        nowMs += load.servedCostMs;
        inService.push(request);
      } else {
        nowMs += load.refusedCostMs;
        outcomes.get(request.tier)!.refused += 1;
      }
    }
    finish(answered);
    onTurn(nowMs);
  }
  return outcomes;
}
