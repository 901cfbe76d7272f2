/**
 * State machine of one upstream between healthy, suspect and probing. The
 * leaving state belongs to the incarnation and is kept by the tracker.
 */
import type {Tier} from '@toucanrouter/common';
import {lowestTier} from '@toucanrouter/common';
import type {UpstreamTrackerParameters} from './UpstreamTrackerConstants.js';

/** Result of the comparison of an upstream with its shard. */
export type Verdict = 'good' | 'slow' | 'unknown';

/** States that follow from observations. */
export type HealthState = 'healthy' | 'probing' | 'suspect';

/** Health state of one upstream. */
export interface UpstreamHealth {
  state(): HealthState;
  reason(): string;
  /** Makes the upstream suspect, after a failed probe for a longer time. */
  suspect(reason: string, nowMs: number): void;
  /** Applies a verdict; returns true when the state has changed. */
  applyVerdict(verdict: Verdict, reason: string, nowMs: number): boolean;
  /** Adds decoding time, or its equivalent for a completed job, of a probe. */
  addProbeSuccess(successMs: number): void;
  probeStarted(nowMs: number): void;
  /** Returns true when a job of `tier` may probe the upstream. */
  mayProbe(tier: Tier, nowMs: number): boolean;
}

/** Creates the health of an upstream without observations, which is healthy. */
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
