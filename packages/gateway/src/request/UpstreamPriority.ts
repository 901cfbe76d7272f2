/**
 * The rank of a request among those at its upstream. The tier of a workspace
 * takes precedence over that of the class; among requests of one tier the
 * class decides, so that engines do not preempt urgent classes of a workspace
 * for its other ones.
 */

/** Classes that are told apart within a tier. */
const prioritiesPerTier = 3;
/** The rank that goes last. */
export const lowestUpstreamPriority = 9;

/** Returns the rank, from 0, which goes first, to `lastRank`. */
export function upstreamPriority(tier: number, classTier: number): number {
  const withinTier = Math.min(classTier, prioritiesPerTier - 1);
  return Math.min(
    tier * prioritiesPerTier + withinTier,
    lowestUpstreamPriority,
  );
}
