/**
 * Bounds the requests that are open at the same time by the part of the heap
 * that they may fill. A request counts from the reading of its head until its
 * response is sent, also while it waits for the configuration and when it was
 * refused, because a response waits for the earlier ones on its connection.
 * Connections do not bound the number of requests, because a caller may send
 * many on one of them. Less urgent tiers may use a part of the limit only.
 */
import type {IncomingMessage} from 'node:http';
import {leastUsableBytes, usableBytes} from './MemoryBudget.js';

/** Numbers of the limit, for metrics. */
export interface OpenRequestStatus {
  readonly openCount: number;
  /** Open requests up to which the most urgent tier is admitted. */
  readonly maxCount: number;
  /** Requests refused since the start. */
  readonly refusedCount: number;
}

/** The part of the limit that one request uses. */
export interface OpenRequestShare {
  /** Admits the request under its tier; false if it does not fit. */
  tryAdmit(tier: number): boolean;
  /** The request is refused; it counts until its response is sent. */
  refused(): void;
  /** Frees the share. */
  close(): void;
}

/** Bounds the number of open requests. */
export interface OpenRequestLimit {
  /** Counts a request whose head was read; undefined if it does not fit. */
  tryOpen(headBytes: number): OpenRequestShare | undefined;
  /** True if the least urgent tier may use no more of the heap. */
  isCrowded(): boolean;
  status(): OpenRequestStatus;
}

/** Heap that one open request counts with, beside its head. */
const openRequestBytes = 48 * 1024;
/** Forms in which a head is held: its raw fields and those that are passed on. */
const headCopyCount = 2;

/** Size of the header fields of a request. */
export function headerBytesOf({rawHeaders}: IncomingMessage): number {
  return rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}

/** Size of the head of a request. */
export function headBytesOf(message: IncomingMessage): number {
  return headerBytesOf(message) + (message.url?.length ?? 0);
}

/** Creates a limit for requests that may fill `maxBytes` of the heap together. */
export function createOpenRequestLimit(maxBytes: number): OpenRequestLimit {
  let openCount = 0;
  let openBytes = 0;
  /** Part of the open bytes whose requests are neither admitted nor refused. */
  let pendingBytes = 0;
  let refusedCount = 0;

  function open(bytes: number): OpenRequestShare {
    let isPending = true;
    let isOpen = true;
    openCount += 1;
    openBytes += bytes;
    pendingBytes += bytes;
    const decide = () => {
      if (isPending) pendingBytes -= bytes;
      isPending = false;
    };
    return {
      tryAdmit: tier => {
        const decidedBytes = openBytes - pendingBytes;
        const fits =
          decidedBytes === 0 ||
          decidedBytes + bytes <= usableBytes(maxBytes, tier);
        decide();
        if (!fits) refusedCount += 1;
        return fits;
      },
      refused: decide,
      close: () => {
        if (!isOpen) return;
        isOpen = false;
        decide();
        openCount -= 1;
        openBytes -= bytes;
      },
    };
  }

  return {
    tryOpen: headBytes => {
      const bytes = openRequestBytes + headCopyCount * headBytes;
      if (openCount > 0 && openBytes + bytes > maxBytes) {
        refusedCount += 1;
        return undefined;
      }
      return open(bytes);
    },
    isCrowded: () => openBytes + openRequestBytes > leastUsableBytes(maxBytes),
    status: () => ({
      openCount,
      maxCount: Math.max(1, Math.floor(maxBytes / openRequestBytes)),
      refusedCount,
    }),
  };
}
