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
  applyVerdict(verdict: Verdict, reason: string, nowMs: number): boolean;
  /** Counts good decoding time or good calls of a probe. */
  addProbeSuccess(successMs: number): void;
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
  let probeSuccessMs = 0;

  function transitionTo(next: HealthState, cause: string, nowMs: number): void {
    state = next;
    reason = cause;
    changedAtMs = nowMs;
    lastProbeAtMs = nowMs;
    probeSuccessMs = 0;
  }

  function suspect(cause: string, nowMs: number): void {
    if (state === 'probing') {
      probeDelayMs = Math.min(probeDelayMs * 2, parameters.maxProbeDelayMs);
    }
    transitionTo('suspect', cause, nowMs);
  }

  function updateSuspect(verdict: Verdict, cause: string, nowMs: number): void {
    if (verdict === 'slow') reason = cause;
    if (verdict === 'slow' || nowMs - changedAtMs < probeDelayMs) return;
    transitionTo('probing', 'probed with low-tier work', nowMs);
  }

  function updateProbing(verdict: Verdict, cause: string, nowMs: number): void {
    if (verdict === 'slow') {
      suspect(cause, nowMs);
    } else if (probeSuccessMs >= parameters.requiredProbeSuccessMs) {
      probeDelayMs = parameters.probeDelayMs;
      transitionTo('healthy', 'restored after probe', nowMs);
    }
  }

  function applyVerdict(
    verdict: Verdict,
    cause: string,
    nowMs: number,
  ): boolean {
    const before = state;
    switch (state) {
      case 'healthy':
        if (verdict === 'slow') suspect(cause, nowMs);
        break;
      case 'suspect':
        updateSuspect(verdict, cause, nowMs);
        break;
      case 'probing':
        updateProbing(verdict, cause, nowMs);
        break;
    }
    return state !== before;
  }

  return {
    state: () => state,
    reason: () => reason,
    suspect,
    applyVerdict,
    addProbeSuccess: successMs => {
      probeSuccessMs += successMs;
    },
    probeStarted: nowMs => {
      lastProbeAtMs = nowMs;
    },
    mayProbe: (tier, nowMs) => {
      const sinceProbeMs = nowMs - lastProbeAtMs;
      const extraTiers = Math.floor(
        sinceProbeMs / parameters.probeWidenIntervalMs,
      );
      return tier >= lowestTier - extraTiers;
    },
  };
}
