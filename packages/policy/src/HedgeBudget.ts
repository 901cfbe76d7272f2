/**
 * Limits hedges, the second copies of running requests, to a share of the work.
 */

/** Parameters of a hedge budget. */
export interface HedgeBudgetParameters {
  /** Work of hedges allowed per unit of work of the original requests. */
  readonly share: number;
  /** Largest unused budget, which bounds a burst of hedges. */
  readonly maxBalanceTokens: number;
}

/** Default parameters. */
export const defaultHedgeBudgetParameters: HedgeBudgetParameters = {
  share: 0.05,
  maxBalanceTokens: 5000,
};

/** Decides whether the budget allows a hedge. */
export interface HedgeBudget {
  /** Records tokens generated for original requests. */
  recordWork(tokens: number): void;
  /** Reserves the expected tokens of a hedge, or returns false. */
  tryHedge(expectedTokens: number): boolean;
  /** Corrects a reservation once the tokens spent on the hedge are known. */
  adjustReservation(expectedTokens: number, spentTokens: number): void;
}

/** Creates a budget without recorded work. */
export function createHedgeBudget(
  overrides: Partial<HedgeBudgetParameters> = {},
): HedgeBudget {
  const parameters = {...defaultHedgeBudgetParameters, ...overrides};
  let balanceTokens = 0;

  function credit(tokens: number): void {
    balanceTokens = Math.min(
      parameters.maxBalanceTokens,
      balanceTokens + tokens,
    );
  }

  return {
    recordWork: tokens => credit(tokens * parameters.share),
    tryHedge: expectedTokens => {
      if (expectedTokens > balanceTokens) return false;
      balanceTokens -= expectedTokens;
      return true;
    },
    // A hedge that spent more than it reserved leaves a negative balance, which
    // later work has to make up for.
    adjustReservation: (expectedTokens, spentTokens) =>
      credit(expectedTokens - spentTokens),
  };
}
