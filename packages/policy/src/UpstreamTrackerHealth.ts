/**
 * State machine of one upstream between healthy, suspect and probing. Leaving
 * is decided by the tracker, since it belongs to the incarnation.
 */
import type {Tier} from '@toucanrouter/common';
import {lowestTier} from '@toucanrouter/common';
import type {UpstreamTrackerParameters} from './UpstreamTrackerConstants.js';

/** How an upstream compares with the rest of its shard. */
export type Verdict = 'good' | 'slow' | 'unknown';

/** States that follow from observation. */
export type HealthState = 'healthy' | 'probing' | 'suspect';

/** Health of one upstream. */
export interface UpstreamHealth {
  state(): HealthState;
  reason(): string;
  /** Makes the upstream suspect, or keeps it suspect for longer. */
  suspect(reason: string, nowMs: number): void;
  /** Applies a verdict; returns true when the state has changed. */
  judge(verdict: Verdict, reason: string, nowMs: number): boolean;
  /** Counts good decoding time or good calls of a probe. */
  addEvidence(goodMs: number): void;
  probeStarted(nowMs: number): void;
  /** Tells whether a job of `tier` may probe. */
  mayProbe(tier: Tier, nowMs: number): boolean;
}

/** Creates the health of an upstream about which nothing is known. */
export function createUpstreamHealth(
  parameters: UpstreamTrackerParameters,
): UpstreamHealth {
  let state: HealthState = 'healthy';
  let reason = 'no fault observed';
  let changedAtMs = 0;
  let lastProbeAtMs = 0;
  let probeDelayMs = parameters.probeDelayMs;
  let evidenceMs = 0;

  function enter(next: HealthState, why: string, nowMs: number): void {
    state = next;
    reason = why;
    changedAtMs = nowMs;
    lastProbeAtMs = nowMs;
    evidenceMs = 0;
  }

  function suspect(why: string, nowMs: number): void {
    if (state === 'probing') {
      probeDelayMs = Math.min(probeDelayMs * 2, parameters.maxProbeDelayMs);
    }
    enter('suspect', why, nowMs);
  }

  function judgeSuspect(verdict: Verdict, why: string, nowMs: number): void {
    if (verdict === 'slow') reason = why;
    if (verdict === 'slow' || nowMs - changedAtMs < probeDelayMs) return;
    enter('probing', 'probed with low-tier work', nowMs);
  }

  function judgeProbing(verdict: Verdict, why: string, nowMs: number): void {
    if (verdict === 'slow') {
      suspect(why, nowMs);
    } else if (evidenceMs >= parameters.probeEvidenceMs) {
      probeDelayMs = parameters.probeDelayMs;
      enter('healthy', 'restored after probe', nowMs);
    }
  }

  function judge(verdict: Verdict, why: string, nowMs: number): boolean {
    const before = state;
    switch (state) {
      case 'healthy':
        if (verdict === 'slow') suspect(why, nowMs);
        break;
      case 'suspect':
        judgeSuspect(verdict, why, nowMs);
        break;
      case 'probing':
        judgeProbing(verdict, why, nowMs);
        break;
    }
    return state !== before;
  }

  return {
    state: () => state,
    reason: () => reason,
    suspect,
    judge,
    addEvidence: goodMs => {
      evidenceMs += goodMs;
    },
    probeStarted: nowMs => {
      lastProbeAtMs = nowMs;
    },
    mayProbe: (tier, nowMs) => {
      const waitedMs = nowMs - lastProbeAtMs;
      const widened = Math.floor(waitedMs / parameters.probeWidenMs);
      return tier >= lowestTier - widened;
    },
  };
}
