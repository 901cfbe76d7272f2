/**
 * Limits the pieces in which a message may arrive. Each piece costs processor
 * time and short-lived objects whatever its size, so a limit of bytes does not
 * bound the cost of a message. A sender may use small pieces for a while, but
 * not for a long message.
 */

/** Counts the pieces of one message. */
export interface PieceLimit {
  /** Counts a piece; returns false if there are too many for their bytes. */
  tryAdd(bytes: number): boolean;
  /** Begins a new message, for instance the next event of a stream. */
  reset(): void;
}

/** Pieces that are accepted whatever their size. */
export const freePiecesCount = 16_384;
/** Smaller pieces on average consist of framing for the most part. */
export const minAveragePieceBytes = 16;

/** Creates a limit that has counted nothing. */
export function createPieceLimit(): PieceLimit {
  let piecesCount = 0;
  let sizeBytes = 0;
  return {
    tryAdd: bytes => {
      piecesCount += 1;
      sizeBytes += bytes;
      return (
        piecesCount <= freePiecesCount ||
        sizeBytes >= piecesCount * minAveragePieceBytes
      );
    },
    reset: () => {
      piecesCount = 0;
      sizeBytes = 0;
    },
  };
}
