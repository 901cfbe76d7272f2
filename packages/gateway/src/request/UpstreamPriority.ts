/**
 * Scheduling priority of a request at its upstream. The effective tier takes
 * precedence; the class decides among requests of the same tier. Engines
 * therefore do not preempt urgent classes of a workspace for its other classes.
 */

/** Number of class levels that are distinguished within a tier. */
const prioritiesPerTier = 3;
/** The priority that upstreams schedule last. */
export const lowestUpstreamPriority = 9;

/** Returns a priority from 0, the first, to `lowestUpstreamPriority`. */
export function upstreamPriority(tier: number, classTier: number): number {
  const withinTier = Math.min(classTier, prioritiesPerTier - 1);
  return Math.min(
    tier * prioritiesPerTier + withinTier,
    lowestUpstreamPriority,
  );
}
