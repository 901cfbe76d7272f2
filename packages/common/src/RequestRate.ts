/**
 * Reads the request rate to which an upstream limits all its callers together.
 * Only plain decimal numbers are accepted. A value that is not usable says
 * nothing, neither that there is a limit nor that it has ended.
 */

/** What a response states about the request rate of its upstream. */
export interface RequestRate {
  /** Requests a second; undefined if none is stated or the value is unusable. */
  readonly perS: number | undefined;
  /** Why a value was not used. */
  readonly problem: string | undefined;
}

/** A response that states no limit. */
export const unlimitedRate: RequestRate = {
  perS: undefined,
  problem: undefined,
};

const ratePattern = /^\d+(\.\d+)?$/;
/** Bounds the part of a value that is logged. */
const maxQuotedLength = 64;

/**
 * Reads the value of a header with a rate. Of several values the lowest counts,
 * if each of them is valid.
 */
export function readRequestRate(
  value: string | readonly string[] | undefined,
): RequestRate {
  if (value === undefined) return unlimitedRate;
  const text = typeof value === 'string' ? value : value.join(',');
  const values = text.split(',').map(part => part.trim());
  const perS = Math.min(...values.map(Number));
  if (values.every(part => ratePattern.test(part)) && Number.isFinite(perS)) {
    return {perS, problem: undefined};
  }
  const quoted = JSON.stringify(text.slice(0, maxQuotedLength));
  return {
    perS: undefined,
    problem: `${quoted} is not a number of requests a second`,
  };
}
