/**
 * Plays a fleet whose instances share a retry budget, without network: its
 * requests, retries, restarts and list of instances. `excessOf` judges all
 * windows of a play by the limits that hold for the whole fleet.
 */
import type {RandomSource} from '@toucanrouter/common';
import {createSeededRandom} from '@toucanrouter/common';
import type {RetryBudget, RetryReservation} from '@toucanrouter/policy';
import type {
  SharedRetryBudgetOptions,
  SharedRetryLimits,
} from '../../request/SharedRetryBudget.js';

/** Which instances get the requests of a phase. */
export type Spread = 'all' | 'one' | 'another';

/** Which instances end in a phase; each is back after `downMs`. */
export type Restarts = 'none' | 'together' | 'in turn' | 'reload';

/** A part of a play. */
export interface Phase {
  readonly durationMs: number;
  /** Requests of the whole fleet; clients that repeat send more. */
  readonly requestsPerStep: number;
  readonly spread: Spread;
  /** Retries that each request asks for. */
  readonly retriesPerRequest: number;
  /** Reservations for each request, which are spent or closed later. */
  readonly reservationsPerRequest: number;
  readonly restarts: Restarts;
  readonly restartEveryMs: number;
  readonly downMs: number;
}

/** A play of a fleet. */
export interface FleetPlay {
  readonly seed: number;
  readonly limits: SharedRetryLimits;
  readonly instanceCount: number;
  /** Instances that run from the start; the rest join after `joinAtMs`. */
  readonly initialCount: number;
  readonly joinAtMs: number;
  /** Time until an instance sees that another one has come or gone. */
  readonly listDelayMs: number;
  readonly phases: readonly Phase[];
}

/** When requests and retries of all instances came. */
export interface FleetRecord {
  readonly requestsAtMs: readonly number[];
  readonly retriesAtMs: readonly number[];
  readonly deniedCount: number;
}

/** Time between the events of a play; they do not fall on bucket bounds. */
const stepMs = 93;
const maxReservationMs = 2_000;

interface Slot {
  budget: RetryBudget | undefined;
  upAtMs: number;
  held: {reservation: RetryReservation; dueAtMs: number}[];
}

/** Plays a fleet whose budgets `create` makes. */
export function playFleet(
  play: FleetPlay,
  create: (options: SharedRetryBudgetOptions) => RetryBudget,
): FleetRecord {
  const random: RandomSource = createSeededRandom(play.seed);
  const requestsAtMs: number[] = [];
  const retriesAtMs: number[] = [];
  let deniedCount = 0;
  let nowMs = Math.floor(random.next() * play.limits.retryWindowMs);
  const startedAtMs = nowMs;
  /** Running instances over time, as the list shows them with a delay. */
  const counts: {atMs: number; count: number}[] = [];
  const slots: Slot[] = Array.from(
    {length: play.instanceCount},
    (_, index): Slot => ({
      budget: undefined,
      upAtMs: index < play.initialCount ? nowMs : nowMs + play.joinAtMs,
      held: [],
    }),
  );

  const listedCount = () =>
    counts.findLast(({atMs}) => atMs <= nowMs - play.listDelayMs)?.count ?? 1;

  function boot(slot: Slot): void {
    slot.budget = create({
      limits: play.limits,
      instanceCount: listedCount,
      startedAtMs: nowMs,
    });
  }

  function end(slot: Slot, downMs: number): void {
    slot.budget = undefined;
    slot.held = [];
    slot.upAtMs = nowMs + downMs;
  }

  function countRetry(allowed: boolean): void {
    if (allowed) retriesAtMs.push(nowMs);
    else deniedCount += 1;
  }

  function settle(slot: Slot): void {
    const due = slot.held.filter(({dueAtMs}) => dueAtMs <= nowMs);
    slot.held = slot.held.filter(({dueAtMs}) => dueAtMs > nowMs);
    for (const {reservation} of due) {
      if (random.next() < 0.5) reservation.close();
      // A budget that returns nothing here has always spent it.
      else countRetry((reservation.spend(nowMs) as unknown) !== false);
    }
  }

  function handle(slot: Slot, phase: Phase): void {
    const {budget} = slot;
    if (budget === undefined) return;
    budget.recordRequest(nowMs);
    requestsAtMs.push(nowMs);
    for (let count = 0; count < phase.reservationsPerRequest; count += 1) {
      const reservation = budget.reserve(nowMs);
      if (reservation === undefined) break;
      const dueAtMs = nowMs + random.next() * maxReservationMs;
      slot.held.push({reservation, dueAtMs});
    }
  }

  function retry(slot: Slot, phase: Phase, requestCount: number): void {
    const wanted = Math.ceil(requestCount * phase.retriesPerRequest);
    for (let count = 0; count < wanted; count += 1) {
      if (slot.budget !== undefined) countRetry(slot.budget.tryRetry(nowMs));
    }
  }

  function restart(phase: Phase, round: number): void {
    if (phase.restarts === 'none') return;
    slots.forEach((slot, index) => {
      const isTurn = index % play.instanceCount === round % play.instanceCount;
      if (phase.restarts === 'in turn' && !isTurn) return;
      if (slot.budget === undefined) return;
      end(slot, phase.restarts === 'reload' ? 0 : phase.downMs);
    });
  }

  function targets(phase: Phase): readonly Slot[] {
    if (phase.spread === 'all') return slots;
    return slots.slice(...(phase.spread === 'one' ? [0, 1] : [-1]));
  }

  for (const phase of play.phases) {
    const endMs = nowMs + phase.durationMs;
    let round = 0;
    let restartAtMs = nowMs + phase.restartEveryMs;
    while (nowMs < endMs) {
      if (nowMs >= restartAtMs) {
        restart(phase, round);
        round += 1;
        restartAtMs += phase.restartEveryMs;
      }
      for (const slot of slots) {
        if (slot.budget === undefined && slot.upAtMs <= nowMs) boot(slot);
        settle(slot);
      }
      const count = slots.filter(({budget}) => budget !== undefined).length;
      if (counts.at(-1)?.count !== count) counts.push({atMs: nowMs, count});
      const receivers = targets(phase);
      const each = new Map<Slot, number>();
      for (let sent = 0; sent < phase.requestsPerStep; sent += 1) {
        const index = Math.floor(random.next() * receivers.length);
        const slot = receivers[index];
        if (slot === undefined) continue;
        handle(slot, phase);
        each.set(slot, (each.get(slot) ?? 0) + 1);
      }
      for (const [slot, requests] of each) retry(slot, phase, requests);
      nowMs += stepMs;
    }
  }
  const relative = (atMs: number) => atMs - startedAtMs;
  return {
    requestsAtMs: requestsAtMs.map(relative),
    retriesAtMs: retriesAtMs.map(relative),
    deniedCount,
  };
}

/** Returns the number of events before each moment, in steps of a millisecond. */
function countBefore(eventsAtMs: readonly number[], endMs: number): number[] {
  const counts = new Array<number>(endMs + 2).fill(0);
  for (const atMs of eventsAtMs) {
    counts[atMs + 1] = (counts[atMs + 1] ?? 0) + 1;
  }
  for (let ms = 1; ms < counts.length; ms += 1) {
    counts[ms] = (counts[ms] ?? 0) + (counts[ms - 1] ?? 0);
  }
  return counts;
}

/** The window that is closest to its limit, or furthest above it. */
export interface WorstWindow {
  readonly fromMs: number;
  readonly retries: number;
  readonly allowed: number;
}

/**
 * Returns the worst of all windows, at each millisecond. The requests are those
 * of the window, of the one before or of the one half a window before.
 */
export function worstWindow(
  {requestsAtMs, retriesAtMs}: FleetRecord,
  {retryAllowance, retryShare, retryWindowMs}: SharedRetryLimits,
): WorstWindow {
  const lastMs = Math.max(0, requestsAtMs.at(-1) ?? 0, retriesAtMs.at(-1) ?? 0);
  const requests = countBefore(requestsAtMs, lastMs);
  const retries = countBefore(retriesAtMs, lastMs);
  const within = (counts: readonly number[], fromMs: number) => {
    const at = (ms: number) =>
      counts[Math.min(Math.max(0, ms), counts.length - 1)] ?? 0;
    return at(fromMs + retryWindowMs) - at(fromMs);
  };
  let worst: WorstWindow = {fromMs: 0, retries: 0, allowed: Infinity};
  for (let fromMs = -retryWindowMs; fromMs <= lastMs; fromMs += 1) {
    const best = Math.max(
      within(requests, fromMs),
      within(requests, fromMs - retryWindowMs),
      within(requests, fromMs - retryWindowMs / 2),
    );
    const allowed = retryShare * best + retryAllowance;
    const used = within(retries, fromMs);
    if (used - allowed > worst.retries - worst.allowed) {
      worst = {fromMs, retries: used, allowed};
    }
  }
  return worst;
}
