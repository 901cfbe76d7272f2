/**
 * Decides which requests a process without enough processor time refuses. While
 * the delay of its event loop stays above a target, the share of requests that
 * is admitted falls window by window; once the delay is below the target, the
 * share rises in growing steps. The least urgent tiers are refused first, and a
 * tier that can be admitted in part is admitted by chance, so that no caller is
 * refused every time.
 *
 * A process that was stopped for a while, or that collected garbage, has a long
 * delay that falls by itself. Only a delay that lasts lowers the share.
 *
 * A loop that waits for events for part of the time has no queue that refusing
 * could shorten: other processes delay it. Such a delay lowers no share; it only
 * refuses the requests whose time cannot cover it.
 */

/** A request to decide on. */
export interface SheddingRequest {
  /** 0 is the most urgent. */
  readonly tier: number;
  /** Time from the reading of the request to its caller's limit. */
  readonly limitMs: number;
  /** Time that the request waited unread and will wait until it begins. */
  readonly delayMs: number;
  /** Random number from 0 to 1 that orders the requests of a tier. */
  readonly draw: number;
}

/** Why a request is refused: it cannot end in time, or the load is too high. */
export type SheddingReason = 'late' | 'overload';

/** Refuses requests while the process has too little processor time. */
export interface LoadShedding {
  /** Takes a sample of the delay of the event loop. */
  observeDelay(delayMs: number, nowMs: number): void;
  /** Counts a request and returns why it is refused, if it is. */
  decide(request: SheddingRequest): SheddingReason | undefined;
  /** Share of the requests that is admitted, from 0 to 1. */
  admittedShare(): number;
  /** The delay that has lasted, which further turns of the loop will have. */
  lastingDelayMs(): number;
}

/** Options of load shedding. */
export interface LoadSheddingOptions {
  /** Delay above which the process has too little processor time. */
  readonly targetDelayMs: () => number;
  /** Share of the time since its last call in which the loop did not wait. */
  readonly loopUtilization: () => number;
  /** Called when shedding begins and when all requests are admitted again. */
  readonly onChange?: (isShedding: boolean) => void;
}

/** Time over which samples of the delay are averaged. */
export const sheddingWindowMs = 200;
/** Windows above the target after which the share falls. */
const windowsBeforeLowering = 2;
/** Utilization of the loop from which its own load may delay it. */
export const saturatedUtilization = 0.9;
/** Time above the target before which shedding does not begin. */
const sheddingDelayMs = 1_000;
/** A delay that falls below this share of the one before recovers by itself. */
const fallingDelayShare = 0.8;
/** Factor by which each window above the target lowers the admitted share. */
const loweringFactor = 0.8;
/** The same for a long turn of the loop, which spans several windows. */
const minLoweringFactor = 0.5;
/** Rise of the share with the first calm window; each further one adds it. */
const raisingStep = 0.005;
/** Rise with each calm window while the share is below the probing share. */
const fastRaisingStep = 0.1;
/** Probing share after a fall, relative to the share that was too high. */
const probingFactor = 0.7;
/** Share of the target above which the admitted share does not rise. */
const holdingTargetShare = 0.5;
/** Share that is still admitted, so that the process serves what it can. */
const minAdmittedShare = 0.02;
/** Share of the counts of arrivals that each window keeps. */
const keptCountShare = 0.8;

/** Creates load shedding that admits all requests. */
export function createLoadShedding({
  targetDelayMs,
  loopUtilization,
  onChange = () => undefined,
}: LoadSheddingOptions): LoadShedding {
  const countsByTier = new Map<number, number>();
  let admittedShare = 1;
  let previousDelayMs = 0;
  let lastingDelayMs = 0;
  let windowsAbove = 0;
  let aboveMs = 0;
  let calmWindows = 0;
  /** The share rises fast up to here, and slowly where it was too high. */
  let probingShare = 1;
  let hasRisen = true;
  let windowStartMs: number | undefined;
  let lastSampleMs = 0;
  let weightedDelay = 0;

  function setShare(next: number): void {
    const wasShedding = admittedShare < 1;
    admittedShare = Math.min(1, Math.max(minAdmittedShare, next));
    const isShedding = admittedShare < 1;
    if (isShedding !== wasShedding) onChange(isShedding);
  }

  function lower(elapsedMs: number): void {
    const factor = Math.max(
      minLoweringFactor,
      loweringFactor ** (elapsedMs / sheddingWindowMs),
    );
    // A share that is lowered again before it rose was not the one too high.
    if (hasRisen) probingShare = admittedShare * probingFactor;
    hasRisen = false;
    setShare(admittedShare * factor);
  }

  function endWindow(delayMs: number, elapsedMs: number): void {
    for (const [tier, count] of countsByTier) {
      countsByTier.set(tier, count * keptCountShare);
    }
    const isFalling = delayMs < previousDelayMs * fallingDelayShare;
    lastingDelayMs = isFalling ? 0 : Math.min(delayMs, previousDelayMs);
    previousDelayMs = delayMs;
    const targetMs = targetDelayMs();
    const isSaturated = loopUtilization() >= saturatedUtilization;
    if (delayMs <= targetMs || !isSaturated) {
      windowsAbove = 0;
      aboveMs = 0;
      if (isSaturated && delayMs > targetMs * holdingTargetShare) return;
      calmWindows += 1;
      hasRisen = true;
      const fastEnd = Math.min(admittedShare + fastRaisingStep, probingShare);
      setShare(Math.max(fastEnd, admittedShare + raisingStep * calmWindows));
      return;
    }
    calmWindows = 0;
    aboveMs += elapsedMs;
    if (isFalling) return;
    windowsAbove += 1;
    if (windowsAbove < windowsBeforeLowering) return;
    if (admittedShare < 1 || aboveMs >= sheddingDelayMs) lower(elapsedMs);
  }

  /** Share of recent requests that are more urgent than this one. */
  function rankOf(tier: number, draw: number): number {
    let moreUrgent = 0;
    let all = 0;
    for (const [other, count] of countsByTier) {
      all += count;
      if (other < tier) moreUrgent += count;
    }
    return (moreUrgent + (countsByTier.get(tier) ?? 0) * draw) / all;
  }

  return {
    observeDelay: (delayMs, nowMs) => {
      if (windowStartMs === undefined) {
        windowStartMs = lastSampleMs = nowMs;
        loopUtilization();
        return;
      }
      // A long turn of the loop has one sample, so each counts by its time.
      weightedDelay += delayMs * (nowMs - lastSampleMs);
      lastSampleMs = nowMs;
      const elapsedMs = nowMs - windowStartMs;
      if (elapsedMs < sheddingWindowMs) return;
      endWindow(weightedDelay / elapsedMs, elapsedMs);
      windowStartMs = nowMs;
      weightedDelay = 0;
    },
    decide: ({tier, limitMs, delayMs, draw}) => {
      countsByTier.set(tier, (countsByTier.get(tier) ?? 0) + 1);
      const isDelayed = delayMs > targetDelayMs();
      // Its response takes as long again if the delay lasts.
      const furtherMs = Math.min(lastingDelayMs, delayMs);
      if (isDelayed && limitMs - delayMs < furtherMs) return 'late';
      return rankOf(tier, draw) < admittedShare ? undefined : 'overload';
    },
    admittedShare: () => admittedShare,
    lastingDelayMs: () => lastingDelayMs,
  };
}
