/**
 * Detects upstreams that fail more often than the other upstreams of their
 * service. Load pattern: an upstream fails some of its requests, and each of
 * many instances sends it one request every few seconds. On its own, an
 * instance would lose several requests before it noticed, so outcomes of peers
 * count too. Some requests fail on any upstream, and such failures must not
 * move all instances to the same one. An upstream may also fail the requests of
 * one failure domain only.
 */
import type {PeerLoad} from '../peers/LoadReports.js';
import {zeroLoad} from '../peers/LoadReports.js';
import type {RecentOutcomes, UpstreamHealth} from './UpstreamHealth.js';

/** An upstream with the outcomes that this instance and its peers observed. */
export interface OutcomeSource {
  readonly health: UpstreamHealth;
  readonly peerLoad: PeerLoad;
}

/**
 * Outcomes added to the observed ones, so that a single failure does not yield
 * a high rate.
 */
const priorOutcomes = 3;

/** Tolerates a single failure even if no failures are expected. */
const minExpectedVariance = 0.25;
/** Standard deviations above the expected failures that count as chance. */
const toleratedDeviations = 2;

function add(a: RecentOutcomes, b: RecentOutcomes): RecentOutcomes {
  return {failed: a.failed + b.failed, served: a.served + b.served};
}

/** Rate of failures beyond the expected ones and chance. */
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

/** Failure rate in `total` without the outcomes in `excluded`. */
function failureRateElsewhere(
  total: RecentOutcomes,
  excluded: RecentOutcomes,
): number {
  const failed = total.failed - excluded.failed;
  const count = failed + total.served - excluded.served;
  return failed / (count + priorOutcomes);
}

/**
 * Returns the excess failure rate of each upstream: the higher of the rates
 * that this instance alone and all instances together observed.
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
