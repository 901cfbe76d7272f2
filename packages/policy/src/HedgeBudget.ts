/**
 * Limits second copies of requests to a share of the work done.
 */

/** What may vary about a hedge budget. */
export interface HedgeBudgetParameters {
  /** Work of second copies per unit of work of first copies. */
  readonly share: number;
  /** Unused budget kept, in tokens; bounds a burst of second copies. */
  readonly maxSavedTokens: number;
}

/** Parameters for everyday use. */
export const defaultHedgeBudgetParameters: HedgeBudgetParameters = {
  share: 0.05,
  maxSavedTokens: 5000,
};

/** Decides whether a second copy of a request is affordable. */
export interface HedgeBudget {
  /** Counts tokens generated for first copies. */
  recordWork(tokens: number): void;
  /** Reserves the expected tokens of a second copy, or returns false. */
  tryHedge(expectedTokens: number): boolean;
  /** Corrects a reservation once the tokens spent on the copy are known. */
  settle(expectedTokens: number, spentTokens: number): void;
}

/** Creates a budget that has seen no work. */
export function createHedgeBudget(
  overrides: Partial<HedgeBudgetParameters> = {},
): HedgeBudget {
  const parameters = {...defaultHedgeBudgetParameters, ...overrides};
  let savedTokens = 0;

  function save(tokens: number): void {
    savedTokens = Math.min(parameters.maxSavedTokens, savedTokens + tokens);
  }

  return {
    recordWork: tokens => save(tokens * parameters.share),
    tryHedge: expectedTokens => {
      if (expectedTokens > savedTokens) return false;
      savedTokens -= expectedTokens;
      return true;
    },
    // A copy that took more than reserved leaves a debt that later work repays.
    settle: (expectedTokens, spentTokens) => save(expectedTokens - spentTokens),
  };
}
