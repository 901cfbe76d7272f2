/**
 * Bounds the connections that the callers of a port hold, so that descriptors
 * are left for upstreams, the store and peers. When no connection is free, a new
 * one takes the place of the one that holds most for least progress: one that
 * has sent no whole head, then one that is idle, then one whose caller has
 * stalled in the middle of a body or of a response. A connection whose request
 * is being served, or whose bytes go on, keeps its place.
 */
import type {Clock} from './Clock.js';

/** A connection that asks for a place. */
export interface ConnectionClaim {
  /** Bytes that its caller has sent and taken. */
  readonly transferredBytes: () => number;
  /** True if the next step of its oldest request is up to its caller. */
  readonly waitsForCaller: () => boolean;
  /** Closes the connection in favor of another. */
  readonly onDisplaced: () => void;
}

/** The place of one open connection. */
export interface ConnectionPlace {
  /** A request was read on the connection. */
  requestOpened(): void;
  /** All requests that were read on the connection are answered. */
  idle(): void;
  close(): void;
}

/** Numbers of the budget, for metrics. */
export interface ConnectionBudgetStatus {
  readonly openCount: number;
  readonly maxCount: number;
  /** Connections closed at once since the start, for lack of a place. */
  readonly refusedCount: number;
  /** Connections closed since the start in favor of others. */
  readonly displacedCount: number;
}

/** Bounds the connections of a port. */
export interface ConnectionBudget {
  /** Returns undefined if no connection can make room. */
  tryOpen(claim: ConnectionClaim): ConnectionPlace | undefined;
  status(): ConnectionBudgetStatus;
}

/** Options of a connection budget. */
export interface ConnectionBudgetOptions {
  readonly clock: Clock;
  readonly maxCount: number;
  /** Called when connections are closed, at most once per log interval. */
  readonly onFull?: (status: ConnectionBudgetStatus) => void;
}

interface Held {
  readonly claim: ConnectionClaim;
  sinceMs: number;
  seenBytes: number;
  progressAtMs: number;
}

/** A caller that has moved no byte for this time has stalled. */
const stalledMs = 1_000;
/** A caller may send its next request within this time. */
const minIdleMs = 1_000;
/** Looking at all connections takes time, so it is done this often at most. */
const sampleIntervalMs = 250;
const logIntervalMs = 10_000;

/** Creates a budget without connections. */
export function createConnectionBudget({
  clock,
  maxCount,
  onFull = () => undefined,
}: ConnectionBudgetOptions): ConnectionBudget {
  // Each set is in the order in which its connections came to that state.
  const silent = new Set<Held>();
  const idle = new Set<Held>();
  const busy = new Set<Held>();
  let refusedCount = 0;
  let displacedCount = 0;
  let sampledAtMs = -Infinity;
  let loggedAtMs = -Infinity;

  const openCount = () => silent.size + idle.size + busy.size;
  const status = () => ({
    openCount: openCount(),
    maxCount,
    refusedCount,
    displacedCount,
  });

  function remove(held: Held): void {
    for (const set of [silent, idle, busy]) set.delete(held);
  }

  function move(held: Held, target: Set<Held>): void {
    remove(held);
    held.sinceMs = clock.nowMs();
    held.progressAtMs = held.sinceMs;
    target.add(held);
  }

  /** Notes which connections have made progress since the latest sample. */
  function sample(): void {
    const nowMs = clock.nowMs();
    if (nowMs - sampledAtMs < sampleIntervalMs) return;
    sampledAtMs = nowMs;
    for (const held of busy) {
      const bytes = held.claim.transferredBytes();
      if (bytes === held.seenBytes && held.claim.waitsForCaller()) continue;
      held.seenBytes = bytes;
      held.progressAtMs = nowMs;
    }
  }

  function stalledLongest(): Held | undefined {
    let longest: Held | undefined;
    for (const held of busy) {
      const isLonger =
        longest === undefined || held.progressAtMs < longest.progressAtMs;
      if (isLonger) longest = held;
    }
    return longest;
  }

  function victim(): Held | undefined {
    const nowMs = clock.nowMs();
    const [oldestSilent] = silent;
    if (oldestSilent !== undefined) return oldestSilent;
    const [oldestIdle] = idle;
    if (oldestIdle !== undefined && nowMs - oldestIdle.sinceMs >= minIdleMs) {
      return oldestIdle;
    }
    const stalled = stalledLongest();
    return stalled !== undefined && nowMs - stalled.progressAtMs >= stalledMs
      ? stalled
      : undefined;
  }

  function tryMakeRoom(): boolean {
    const displaced = victim();
    if (displaced === undefined) {
      refusedCount += 1;
    } else {
      displacedCount += 1;
      remove(displaced);
      displaced.claim.onDisplaced();
    }
    if (clock.nowMs() - loggedAtMs >= logIntervalMs) {
      loggedAtMs = clock.nowMs();
      onFull(status());
    }
    return displaced !== undefined;
  }

  return {
    tryOpen: claim => {
      // Progress is known only if it was looked at before all places were taken.
      if (openCount() * 2 >= maxCount) sample();
      if (openCount() >= maxCount && !tryMakeRoom()) return undefined;
      const nowMs = clock.nowMs();
      const held = {claim, sinceMs: nowMs, seenBytes: 0, progressAtMs: nowMs};
      silent.add(held);
      let isOpen = true;
      return {
        requestOpened: () => {
          if (isOpen && !busy.has(held)) move(held, busy);
        },
        idle: () => {
          if (isOpen) move(held, idle);
        },
        close: () => {
          isOpen = false;
          remove(held);
        },
      };
    },
    status,
  };
}
