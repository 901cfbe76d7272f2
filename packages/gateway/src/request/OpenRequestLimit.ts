/**
 * Bounds the requests that are open at the same time by the part of the heap
 * that they may fill. An open request holds its head, its handler and its
 * attempts until its response is sent; connections do not bound their number,
 * because a caller may send many requests on one of them. Less urgent tiers may
 * use a part of the limit only.
 */
import {usableBytes} from '@toucanrouter/common';

/** Numbers of the limit, for metrics. */
export interface OpenRequestStatus {
  readonly openCount: number;
  /** Open requests up to which the most urgent tier is admitted. */
  readonly maxCount: number;
  /** Requests refused since the start. */
  readonly refusedCount: number;
}

/** Bounds the number of open requests. */
export interface OpenRequestLimit {
  /** Counts a request of `tier` as open; false if it does not fit. */
  tryOpen(tier: number): boolean;
  /** Ends a request that was opened. */
  close(): void;
  status(): OpenRequestStatus;
}

/** Heap that one open request counts with. */
const openRequestBytes = 48 * 1024;

/** Creates a limit for requests that may fill `maxBytes` of the heap together. */
export function createOpenRequestLimit(maxBytes: number): OpenRequestLimit {
  let openCount = 0;
  let refusedCount = 0;
  return {
    tryOpen: tier => {
      const neededBytes = (openCount + 1) * openRequestBytes;
      if (openCount > 0 && neededBytes > usableBytes(maxBytes, tier)) {
        refusedCount += 1;
        return false;
      }
      openCount += 1;
      return true;
    },
    close: () => {
      openCount -= 1;
    },
    status: () => ({
      openCount,
      maxCount: Math.max(1, Math.floor(maxBytes / openRequestBytes)),
      refusedCount,
    }),
  };
}
