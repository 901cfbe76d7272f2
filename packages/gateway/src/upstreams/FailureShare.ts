/**
 * How often an upstream fails beyond what is usual for its service. Load
 * pattern: an upstream fails part of its requests; each of many instances sends
 * it a request every few seconds, and would have to lose several of its own to
 * notice. Some requests of a service fail at any upstream, and must not move
 * all instances to the same one. An upstream may also fail the requests of one
 * failure domain only.
 */
import type {OthersLoad} from '../peers/LoadReports.js';
import {noLoad} from '../peers/LoadReports.js';
import type {RecentOutcomes, UpstreamCondition} from './UpstreamCondition.js';

/** An upstream with what this instance and the others saw of it. */
export interface OutcomeSource {
  readonly condition: UpstreamCondition;
  readonly others: OthersLoad;
}

/**
 * Outcomes that are assumed before any is seen, so that a first failure is no
 * proof.
 */
const assumedOutcomes = 3;

/** A single failure is chance even where none is usual. */
const chanceFloor = 0.25;
/** Deviations from the usual number of failures that chance may explain. */
const chanceDeviations = 2;

function add(a: RecentOutcomes, b: RecentOutcomes): RecentOutcomes {
  return {failed: a.failed + b.failed, served: a.served + b.served};
}

/** Share of requests that failed beyond what chance explains. */
function excessShare(
  {failed, served}: RecentOutcomes,
  usualShare: number,
): number {
  const count = failed + served;
  const usual = usualShare * count;
  const excess =
    failed - usual - chanceDeviations * Math.sqrt(usual + chanceFloor);
  return Math.max(0, excess) / (count + assumedOutcomes);
}

/** Share of failures in `total`, leaving out those in `here`. */
function shareElsewhere(total: RecentOutcomes, here: RecentOutcomes): number {
  const failed = total.failed - here.failed;
  const count = failed + total.served - here.served;
  return failed / (count + assumedOutcomes);
}

/**
 * Share of requests that fail at each upstream beyond the usual. The worse of
 * this instance's and of everyone's experience counts.
 */
export function failureShares<Source extends OutcomeSource>(
  sources: readonly Source[],
  nowMs: number,
): ReadonlyMap<Source, number> {
  const seen = sources.map(source => {
    const own = source.condition.outcomes(nowMs);
    return {source, own, all: add(own, source.others)};
  });
  const total = seen.reduce<RecentOutcomes>(
    (sum, {all}) => add(sum, all),
    noLoad,
  );
  return new Map(
    seen.map(({all, own, source}) => {
      const usualShare = shareElsewhere(total, all);
      const share = Math.max(
        excessShare(own, usualShare),
        excessShare(all, usualShare),
      );
      return [source, share];
    }),
  );
}
