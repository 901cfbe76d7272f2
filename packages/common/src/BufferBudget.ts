/**
 * Bounds the bytes of all responses that are buffered at the same time. Each has
 * a limit of its own, but many of them together could exhaust the memory of the
 * process, for instance when upstreams send bytes without end. Complete
 * responses whose callers read too slowly are given up first, then the largest
 * one that is not complete, because responses that end are usually smaller.
 */

/** The buffered bytes of one response. */
export interface BufferShare {
  /** Sets the number of buffered bytes. */
  resize(bytes: number): void;
  /** The response is complete and sent to its caller until it is closed. */
  sending(): void;
  /** Frees the bytes. */
  close(): void;
}

/** Bounds the buffered bytes of all responses together. */
export interface BufferBudget {
  /** `onExceeded` is called when the response has to be given up. */
  open(onExceeded: () => void): BufferShare;
  /** Number of bytes that are buffered now. */
  usedBytes(): number;
}

interface OpenShare {
  bytes: number;
  /** Since when the complete response is being sent. */
  sendingSinceMs: number | undefined;
  readonly onExceeded: () => void;
}

/** Limit that leaves room for the other data of a small process. */
export const defaultBufferBudgetBytes = 64 * 1024 * 1024;

/** A caller that has not read its response after this time reads too slowly. */
const slowReadMs = 2_000;

/** Creates a budget of which nothing is used. */
export function createBufferBudget(
  maxBytes: number = defaultBufferBudgetBytes,
  nowMs: () => number = () => performance.now(),
): BufferBudget {
  const shares = new Set<OpenShare>();
  let usedBytes = 0;

  function close(share: OpenShare): void {
    if (shares.delete(share)) usedBytes -= share.bytes;
  }

  /** Order in which responses are given up; the highest one is first. */
  function rankOf({sendingSinceMs}: OpenShare): number {
    if (sendingSinceMs === undefined) return 1;
    return nowMs() - sendingSinceMs >= slowReadMs ? 2 : 0;
  }

  function giveUpOne(): void {
    let first: OpenShare | undefined;
    for (const share of shares) {
      if (share.bytes === 0) continue;
      const order =
        first === undefined
          ? 1
          : rankOf(share) - rankOf(first) || share.bytes - first.bytes;
      if (order > 0) first = share;
    }
    if (first === undefined) return;
    close(first);
    first.onExceeded();
  }

  return {
    open: onExceeded => {
      const share: OpenShare = {
        bytes: 0,
        sendingSinceMs: undefined,
        onExceeded,
      };
      shares.add(share);
      return {
        resize: bytes => {
          if (!shares.has(share)) return;
          usedBytes += bytes - share.bytes;
          share.bytes = bytes;
          while (usedBytes > maxBytes) giveUpOne();
        },
        sending: () => {
          share.sendingSinceMs = nowMs();
        },
        close: () => close(share),
      };
    },
    usedBytes: () => usedBytes,
  };
}
