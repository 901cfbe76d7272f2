/**
 * Counts the calls that the platform stand-in receives. A watch counts once,
 * however long it stays open.
 */

/** Kinds of calls that are counted. */
export const countedCalls = [
  'range',
  'put',
  'deleteRange',
  'txn',
  'leaseGrant',
  'leaseKeepAlive',
  'leaseRevoke',
  'watch',
  'instances',
] as const;

export type CountedCall = (typeof countedCalls)[number];

/** Number of calls of each kind since startup. */
export type CallCounts = Readonly<Record<CountedCall, number>>;

export interface Counters {
  add(call: CountedCall): void;
  counts(): CallCounts;
}

export function createCounters(): Counters {
  const counts = Object.fromEntries(
    countedCalls.map(call => [call, 0]),
  ) as Record<CountedCall, number>;
  return {
    add: call => {
      counts[call]++;
    },
    counts: () => ({...counts}),
  };
}
