/**
 * How often an upstream fails beyond what is usual for its service. Load
 * pattern: an upstream fails part of its requests; each of many instances sends
 * it a request every few seconds, and would have to lose several of its own to
 * notice. Some requests of a service fail at any upstream, and must not move
 * all instances to the same one. An upstream may also fail the requests of one
 * failure domain only.
 */
import type {PeerLoad} from '../peers/LoadReports.js';
import {zeroLoad} from '../peers/LoadReports.js';
import type {RecentOutcomes, UpstreamHealth} from './UpstreamHealth.js';

/** An upstream with what this instance and the others saw of it. */
export interface OutcomeSource {
  readonly health: UpstreamHealth;
  readonly peerLoad: PeerLoad;
}

/**
 * Outcomes that are assumed before any is seen, so that a first failure is no
 * proof.
 */
const priorOutcomes = 3;

/** A single failure is chance even where none is usual. */
const minExpectedVariance = 0.25;
/** Deviations from the usual number of failures that chance may explain. */
const toleratedDeviations = 2;

function add(a: RecentOutcomes, b: RecentOutcomes): RecentOutcomes {
  return {failed: a.failed + b.failed, served: a.served + b.served};
}

/** Share of requests that failed beyond what chance explains. */
function excessFailureRate(
  {failed, served}: RecentOutcomes,
  expectedRate: number,
): number {
  const count = failed + served;
  const expectedFailures = expectedRate * count;
  const excess =
    failed -
    expectedFailures -
    toleratedDeviations * Math.sqrt(expectedFailures + minExpectedVariance);
  return Math.max(0, excess) / (count + priorOutcomes);
}

/** Share of failures in `total`, leaving out those in `here`. */
function failureRateElsewhere(
  total: RecentOutcomes,
  excluded: RecentOutcomes,
): number {
  const failed = total.failed - excluded.failed;
  const count = failed + total.served - excluded.served;
  return failed / (count + priorOutcomes);
}

/**
 * Share of requests that fail at each upstream beyond the usual. The worse of
 * this instance's and of everyone's experience counts.
 */
export function excessFailureRates<Source extends OutcomeSource>(
  sources: readonly Source[],
  nowMs: number,
): ReadonlyMap<Source, number> {
  const observed = sources.map(source => {
    const own = source.health.recentOutcomes(nowMs);
    return {source, own, all: add(own, source.peerLoad)};
  });
  const total = observed.reduce<RecentOutcomes>(
    (sum, {all}) => add(sum, all),
    zeroLoad,
  );
  return new Map(
    observed.map(({all, own, source}) => {
      const expectedRate = failureRateElsewhere(total, all);
      const excessRate = Math.max(
        excessFailureRate(own, expectedRate),
        excessFailureRate(all, expectedRate),
      );
      return [source, excessRate];
    }),
  );
}
