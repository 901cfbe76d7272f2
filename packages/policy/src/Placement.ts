/**
 * Chooses the upstream of a request: a preferred one, or else the least loaded
 * relative to its limit, among those with a free slot that the request does not
 * exclude.
 */
import type {Tier, UpstreamId} from '@toucanrouter/common';
import type {UpstreamTracker} from './UpstreamTracker.js';

/** Returns the upstreams that are not leaving. */
export function liveUpstreams(tracker: UpstreamTracker): readonly UpstreamId[] {
  return tracker.ids().filter(id => tracker.state(id) !== 'leaving');
}

/** Returns true when an upstream may receive one more job of `tier`. */
export function hasFreeSlot(
  tracker: UpstreamTracker,
  upstreamId: UpstreamId,
  tier: Tier,
  nowMs: number,
): boolean {
  if (tracker.state(upstreamId) === 'leaving') return false;
  return tracker.inFlight(upstreamId) < tracker.limit(upstreamId, tier, nowMs);
}

/** Returns the upstreams that may receive one more job of `tier`. */
export function availableUpstreams(
  tracker: UpstreamTracker,
  tier: Tier,
  nowMs: number,
): readonly UpstreamId[] {
  return tracker.ids().filter(id => hasFreeSlot(tracker, id, tier, nowMs));
}

/** Returns the slots that live upstreams offer to jobs of `tier`. */
export function slotCount(
  tracker: UpstreamTracker,
  tier: Tier,
  nowMs: number,
): number {
  let slots = 0;
  for (const id of liveUpstreams(tracker)) {
    slots += Math.max(0, tracker.limit(id, tier, nowMs));
  }
  return slots;
}

/** Returns the least loaded of `candidates`, or the first of several. */
export function leastLoaded(
  tracker: UpstreamTracker,
  candidates: readonly UpstreamId[],
  tier: Tier,
  nowMs: number,
): UpstreamId | undefined {
  let best: UpstreamId | undefined;
  let bestLoad = Infinity;
  for (const id of candidates) {
    const load = tracker.inFlight(id) / tracker.limit(id, tier, nowMs);
    if (load >= bestLoad) continue;
    best = id;
    bestLoad = load;
  }
  return best;
}

/** Criteria for the choice between available upstreams. */
export interface PlacementCriteria {
  readonly tier: Tier;
  /** Upstreams with a free slot. */
  readonly available: readonly UpstreamId[];
  readonly exclude: readonly UpstreamId[];
  /** Upstreams that may have the prompt prefix in their cache, best first. */
  readonly preferred: readonly (UpstreamId | undefined)[];
}

/** Returns the upstream for a request, if an available one may serve it. */
export function chooseUpstream(
  tracker: UpstreamTracker,
  criteria: PlacementCriteria,
  nowMs: number,
): UpstreamId | undefined {
  const usable = criteria.available.filter(
    id => !criteria.exclude.includes(id),
  );
  for (const id of criteria.preferred) {
    if (id === undefined || !usable.includes(id)) continue;
    if (tracker.state(id) === 'healthy') return id;
  }
  return leastLoaded(tracker, usable, criteria.tier, nowMs);
}
