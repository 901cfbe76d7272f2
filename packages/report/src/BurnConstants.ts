/**
 * Periods, thresholds and limits of the burn report.
 */

/** Share of requests of a class that must meet its target. */
export const defaultObjective = 0.99;

/** Period of the error budget, one day; instances keep counts for this long. */
export const budgetPeriodMs = 86_400_000;

/** The short window shows whether the budget is still burning. */
export const shortWindowMs = 300_000;

/** The long window shows whether the burn is large enough to act on. */
export const longWindowMs = 3_600_000;

/** At this burn rate one hour uses a quarter of the daily budget. */
export const pageBurnRate = 6;

/** At this burn rate the daily budget lasts half a day. */
export const ticketBurnRate = 2;

/**
 * Workspaces of a class that are counted separately. Further ones share the
 * label `otherWorkspaces`, which bounds the memory use of an instance.
 */
export const maxWorkspacesPerClass = 2000;

/**
 * Workspaces of a class that a snapshot contains, those with most misses first.
 * A snapshot of all of 1,300 workspaces took 3.4 MB and 157 ms.
 */
export const maxWorkspacesPerSnapshot = 50;

/** Label of the workspaces beyond `maxWorkspacesPerClass`. */
export const otherWorkspaces = '(other)';
