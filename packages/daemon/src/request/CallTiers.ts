/**
 * The tier of a call for the limits of the process, where 0 is the most urgent.
 * The class of a chat call depends on the model in its body, so that only its
 * most urgent possible tier is known before the body is read.
 */
import type {IncomingHttpHeaders} from 'node:http';
import type {ClassId, ServiceClass} from '@toucanrouter/common';
import {lowestTier} from '@toucanrouter/common';
import {classifyTarget, requestedClassId} from './ClassifyCall.js';
import type {CallTarget} from './Exchange.js';

/** The tier of a call whose body has not been read. */
export interface ArrivedTier {
  /** The most urgent one that is possible. */
  readonly tier: number;
  /** False if the body decides. */
  readonly isCertain: boolean;
}

/** Calls that have no class are refused once they are classified. */
export const leastUrgentRank = lowestTier - 1;

function rankOf(serviceClass: ServiceClass | undefined): number {
  return serviceClass === undefined ? leastUrgentRank : serviceClass.tier - 1;
}

/** Returns the tier of a call whose target is known. */
export function tierOfTarget(
  target: CallTarget,
  headers: IncomingHttpHeaders,
  classes: readonly ServiceClass[],
): number {
  return rankOf(classifyTarget(target, headers, classes));
}

/** Returns the tier of a chat call whose model is not known yet. */
export function tierOfArrivedChat(
  headers: IncomingHttpHeaders,
  classes: readonly ServiceClass[],
): ArrivedTier {
  const possible = classesOfModels(classes, requestedClassId(headers));
  const tiers = possible.map(rankOf);
  if (tiers.length === 0) return {tier: leastUrgentRank, isCertain: true};
  const tier = Math.min(...tiers);
  return {tier, isCertain: tiers.every(other => other === tier)};
}

/** A class that the caller names applies only if it serves the model. */
function classesOfModels(
  classes: readonly ServiceClass[],
  named: ClassId | undefined,
): readonly ServiceClass[] {
  return classes.filter(
    ({id, match}) =>
      match.models.length > 0 && (id === named || !match.onlyWhenNamed),
  );
}
