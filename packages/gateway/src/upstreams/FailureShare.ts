/**
 * How often an upstream fails beyond what is usual for its service. Load
 * pattern: an upstream fails part of its requests; each of many instances sends
 * it a request every few seconds, and would have to lose several of its own to
 * notice. Some requests of a service fail at any upstream, and must not move
 * all instances to the same one. An upstream may also fail the requests of one
 * failure domain only.
 */
import type {OthersLoad} from '../peers/LoadReports.js';
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

function allOutcomes({condition, others}: OutcomeSource, nowMs: number) {
  const own = condition.outcomes(nowMs);
  return {
    failed: own.failed + others.failed,
    served: own.served + others.served,
  };
}

/** Recent outcomes at all `sources`. */
export function totalOutcomes(
  sources: readonly OutcomeSource[],
  nowMs: number,
): RecentOutcomes {
  let failed = 0;
  let served = 0;
  for (const source of sources) {
    const outcomes = allOutcomes(source, nowMs);
    failed += outcomes.failed;
    served += outcomes.served;
  }
  return {failed, served};
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

/**
 * Share of requests that fail at the upstream beyond the usual. The worse of
 * this instance's and of everyone's experience counts.
 */
export function failureShare(
  source: OutcomeSource,
  total: RecentOutcomes,
  nowMs: number,
): number {
  const here = allOutcomes(source, nowMs);
  const failedElsewhere = total.failed - here.failed;
  const elsewhere = failedElsewhere + total.served - here.served;
  const usualShare = failedElsewhere / (elsewhere + assumedOutcomes);
  return Math.max(
    excessShare(source.condition.outcomes(nowMs), usualShare),
    excessShare(here, usualShare),
  );
}
