/**
 * Periods and thresholds of the burn report.
 */

/** Share of requests of a class that must meet its target. */
export const defaultObjective = 0.99;

/** The error budget is counted over one day, as long as instances keep counts. */
export const budgetPeriodMs = 86_400_000;

/** Shows whether a burn still goes on. */
export const shortWindowMs = 300_000;

/** Shows whether a burn is large enough to act on. */
export const longWindowMs = 3_600_000;

/** At this rate one hour uses a quarter of the budget of a day. */
export const pageBurnRate = 6;

/** At this rate the budget of a day lasts half a day. */
export const ticketBurnRate = 2;

/**
 * Workspaces of a class that are counted apart; further ones share the label
 * `otherWorkspaces`, which bounds the memory of an instance.
 */
export const maxWorkspacesPerClass = 2000;

/**
 * Workspaces of a class that a snapshot shows, those with most misses first.
 * With 1,300 workspaces a snapshot of all of them took 3.4 MB and 157 ms.
 */
export const maxWorkspacesPerSnapshot = 50;

/** Label of the workspaces beyond `maxWorkspacesPerClass`. */
export const otherWorkspaces = '(other)';
