/**
 * Bounds the bytes of all responses that are buffered at the same time. Each has
 * a limit of its own, but many of them together could exhaust the memory of the
 * process, for instance when upstreams send bytes without end. The largest one
 * is given up first, because responses that end are usually smaller.
 */

/** The buffered bytes of one response. */
export interface BufferShare {
  /** Sets the number of buffered bytes. */
  resize(bytes: number): void;
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
  readonly onExceeded: () => void;
}

/** Limit that leaves room for the other data of a small process. */
export const defaultBufferBudgetBytes = 64 * 1024 * 1024;

/** Creates a budget of which nothing is used. */
export function createBufferBudget(
  maxBytes: number = defaultBufferBudgetBytes,
): BufferBudget {
  const shares = new Set<OpenShare>();
  let usedBytes = 0;

  function close(share: OpenShare): void {
    if (shares.delete(share)) usedBytes -= share.bytes;
  }

  function giveUpLargest(): void {
    let largest: OpenShare | undefined;
    for (const share of shares) {
      if (share.bytes > (largest?.bytes ?? 0)) largest = share;
    }
    if (largest === undefined) return;
    close(largest);
    largest.onExceeded();
  }

  return {
    open: onExceeded => {
      const share: OpenShare = {bytes: 0, onExceeded};
      shares.add(share);
      return {
        resize: bytes => {
          if (!shares.has(share)) return;
          usedBytes += bytes - share.bytes;
          share.bytes = bytes;
          while (usedBytes > maxBytes) giveUpLargest();
        },
        close: () => close(share),
      };
    },
    usedBytes: () => usedBytes,
  };
}
