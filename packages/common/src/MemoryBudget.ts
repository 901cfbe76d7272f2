/**
 * Bounds the memory that callers' requests hold together. Memory is reserved
 * before it is filled, so that a request that does not fit is refused while that
 * is cheap and while it is certain that the request was not run. Less urgent
 * tiers may use a part of the budget only. When a request does not fit, memory
 * of requests that have stalled or are less urgent is given up for it, unless an
 * upstream may have received them.
 */
import type {Clock} from './Clock.js';

/** The memory that one request holds. */
export interface MemoryReservation {
  /** Changes the size; false if the additional memory is refused. */
  tryResize(bytes: number): boolean;
  /** Tells how many of the bytes are filled. */
  filled(bytes: number): void;
  /** The memory is filled; the request does not depend on its caller any more. */
  complete(): void;
  /** Frees the memory. */
  close(): void;
}

/** A request for memory. */
export interface MemoryClaim {
  /** Tier of the request; 0 is the most urgent. */
  readonly tier: number;
  readonly bytes: number;
  /** False once the request may have been run. */
  readonly canGiveUp: () => boolean;
  /** Called when the memory is needed for others; it is freed already. */
  readonly onGivenUp: (reason: string) => void;
}

/** Numbers of the budget, for metrics. */
export interface MemoryBudgetStatus {
  readonly usedBytes: number;
  readonly maxBytes: number;
  readonly refusedCount: number;
  readonly givenUpCount: number;
}

/** Bounds the memory of all requests together. */
export interface MemoryBudget {
  /** Reserves memory; undefined if it is refused. */
  tryReserve(claim: MemoryClaim): MemoryReservation | undefined;
  /** Gives up requests whose callers have made no progress for too long. */
  giveUpStalled(): void;
  status(): MemoryBudgetStatus;
}

/** Options of a memory budget. */
export interface MemoryBudgetOptions {
  readonly clock: Clock;
  readonly maxBytes: number;
  /** Memory that the process may occupy in addition to what it does now. */
  readonly freeResidentBytes?: () => number;
}

interface OpenReservation {
  readonly claim: MemoryClaim;
  bytes: number;
  filledBytes: number;
  complete: boolean;
  readonly openedAtMs: number;
  progressAtMs: number;
}

/** What a request asks for beyond what there is. */
interface MissingMemory {
  readonly bytes: number;
  /** Memory that the process does not occupy yet. */
  readonly unfilledBytes: number;
}

function isNothing({bytes, unfilledBytes}: MissingMemory): boolean {
  return bytes <= 0 && unfilledBytes <= 0;
}

/** Decrease of the usable part of the budget with each tier. */
const shareDecreasePerTier = 0.15;
const minTierShare = 0.4;
/** Without progress for this time, memory may be given up for another request. */
const stalledMs = 1_000;
/** Without progress for this time, memory is given up in any case. */
const maxStalledMs = 5_000;
/** A request whose bytes arrive more slowly counts as stalled. */
const minBytesPerMs = 32;
/** Smaller sizes are not compared with the memory that the process occupies. */
const smallBytes = 64 * 1024;

const stalledReason = 'the body makes too little progress';
const giveUpReason =
  'the memory for request bodies is needed by other requests';

/** Returns the bytes that requests of a tier may use together with all others. */
export function usableBytes(maxBytes: number, tier: number): number {
  const share = Math.max(minTierShare, 1 - shareDecreasePerTier * tier);
  return Math.floor(maxBytes * share);
}

/** Returns the bytes that requests of the least urgent tiers may use. */
export function leastUsableBytes(maxBytes: number): number {
  return usableBytes(maxBytes, Infinity);
}

/** Creates a budget of which nothing is used. */
export function createMemoryBudget({
  clock,
  maxBytes,
  freeResidentBytes = () => Infinity,
}: MemoryBudgetOptions): MemoryBudget {
  const reservations = new Set<OpenReservation>();
  let usedBytes = 0;
  let refusedCount = 0;
  let givenUpCount = 0;

  /** Memory that is reserved and does not count as occupied yet. */
  function unfilledBytes(): number {
    let bytes = 0;
    for (const open of reservations) bytes += open.bytes - open.filledBytes;
    return bytes;
  }

  function isStalled(open: OpenReservation): boolean {
    if (open.complete) return false;
    const nowMs = clock.nowMs();
    const openMs = nowMs - open.openedAtMs;
    return (
      nowMs - open.progressAtMs >= stalledMs ||
      (openMs >= stalledMs && open.filledBytes < openMs * minBytesPerMs)
    );
  }

  function close(open: OpenReservation): void {
    if (reservations.delete(open)) usedBytes -= open.bytes;
  }

  function giveUp(open: OpenReservation, reason: string): void {
    close(open);
    givenUpCount += 1;
    open.claim.onGivenUp(reason);
  }

  function isDisplaceable(
    open: OpenReservation,
    tier: number,
    requester: OpenReservation | undefined,
  ): boolean {
    return (
      open !== requester &&
      open.bytes > 0 &&
      (open.claim.tier > tier || isStalled(open)) &&
      open.claim.canGiveUp()
    );
  }

  /**
   * Returns what is given up next for a request of `tier`: what has stalled, then
   * the least urgent, and of these what has the most left to receive.
   */
  function victimFor(
    tier: number,
    requester: OpenReservation | undefined,
  ): OpenReservation | undefined {
    let victim: OpenReservation | undefined;
    let victimRank: readonly number[] = [];
    for (const open of reservations) {
      if (!isDisplaceable(open, tier, requester)) continue;
      const rank = [
        Number(isStalled(open)),
        open.claim.tier,
        open.bytes - open.filledBytes,
      ];
      if (victim === undefined || isHigher(rank, victimRank)) {
        victim = open;
        victimRank = rank;
      }
    }
    return victim;
  }

  /** How much of what a request asks for is missing. */
  function missingFor(
    addedBytes: number,
    tier: number,
    heldBytes: number,
    freeBytes: number,
  ): MissingMemory {
    const isOnlyOne = usedBytes === heldBytes;
    const limitBytes = isOnlyOne ? maxBytes : usableBytes(maxBytes, tier);
    return {
      bytes: usedBytes + addedBytes - limitBytes,
      unfilledBytes: unfilledBytes() + addedBytes - freeBytes,
    };
  }

  /**
   * What giving up all that `tier` may displace would free. Buffers that were
   * filled occupy memory until they are collected, so only the rest counts there.
   */
  function displaceable(
    tier: number,
    requester: OpenReservation | undefined,
  ): MissingMemory {
    let bytes = 0;
    let unfilled = 0;
    for (const open of reservations) {
      if (!isDisplaceable(open, tier, requester)) continue;
      bytes += open.bytes;
      unfilled += open.bytes - open.filledBytes;
    }
    return {bytes, unfilledBytes: unfilled};
  }

  function tryTake(
    addedBytes: number,
    tier: number,
    requester?: OpenReservation,
  ): boolean {
    const heldBytes = requester?.bytes ?? 0;
    const isSmall = heldBytes + addedBytes <= smallBytes;
    const freeBytes = isSmall ? Infinity : freeResidentBytes();
    const missing = () => missingFor(addedBytes, tier, heldBytes, freeBytes);
    if (isNothing(missing())) return true;
    const {bytes, unfilledBytes: unfilled} = displaceable(tier, requester);
    // Nothing is given up in vain.
    const suffices =
      bytes >= missing().bytes && unfilled >= missing().unfilledBytes;
    while (suffices) {
      const victim = victimFor(tier, requester);
      if (victim === undefined) break;
      giveUp(victim, isStalled(victim) ? stalledReason : giveUpReason);
      if (isNothing(missing())) return true;
    }
    refusedCount += 1;
    return false;
  }

  function open(claim: MemoryClaim): MemoryReservation {
    const nowMs = clock.nowMs();
    const state: OpenReservation = {
      claim,
      bytes: claim.bytes,
      filledBytes: 0,
      complete: false,
      openedAtMs: nowMs,
      progressAtMs: nowMs,
    };
    reservations.add(state);
    usedBytes += claim.bytes;
    return {
      tryResize: bytes => {
        if (!reservations.has(state)) return false;
        const addedBytes = bytes - state.bytes;
        if (addedBytes > 0 && !tryTake(addedBytes, claim.tier, state))
          return false;
        usedBytes += addedBytes;
        state.bytes = bytes;
        state.filledBytes = Math.min(state.filledBytes, bytes);
        return true;
      },
      filled: bytes => {
        if (bytes > state.filledBytes) state.progressAtMs = clock.nowMs();
        state.filledBytes = Math.min(bytes, state.bytes);
      },
      complete: () => {
        state.complete = true;
      },
      close: () => close(state),
    };
  }

  return {
    tryReserve: claim =>
      tryTake(claim.bytes, claim.tier) ? open(claim) : undefined,
    giveUpStalled: () => {
      const nowMs = clock.nowMs();
      for (const state of [...reservations]) {
        const silentMs = nowMs - state.progressAtMs;
        if (state.complete || silentMs < maxStalledMs) continue;
        if (reservations.has(state) && state.claim.canGiveUp())
          giveUp(state, stalledReason);
      }
    },
    status: () => ({usedBytes, maxBytes, refusedCount, givenUpCount}),
  };
}

/** Compares ranks by their first difference. */
function isHigher(a: readonly number[], b: readonly number[]): boolean {
  for (const [index, value] of a.entries()) {
    const other = b[index] ?? 0;
    if (value !== other) return value > other;
  }
  return false;
}
