/**
 * Decides when the response of an upstream is read on. Each piece of it costs
 * processor time, whatever its size, and one read of a socket may hold thousands.
 * So only some are handled in one turn of the event loop, and other requests go
 * on before the next ones. Reading also stops while the caller accepts no data.
 */

/** Options of a flow. */
export interface ResponseFlowOptions {
  readonly pause: () => void;
  readonly resume: () => void;
  /** Calls `run` in the next turn of the event loop. */
  readonly afterTurn?: (run: () => void) => void;
}

/** The flow of one response. */
export interface ResponseFlow {
  /** Counts a piece of the response. */
  pieceReceived(): void;
  /** Stops until `drained` is called. */
  waitForDrain(): void;
  drained(): void;
  close(): void;
}

/** Pieces of one response that are handled in one turn. */
export const maxPiecesPerTurnCount = 256;

/**
 * Pieces from which on the end of the turn is waited for. A usual stream brings
 * one in a turn, and an event loop that has nothing else to do should sleep.
 */
const minCountedPiecesCount = 16;

/** Creates the flow of a response that is being read. */
export function createResponseFlow(options: ResponseFlowOptions): ResponseFlow {
  const {afterTurn = run => void setImmediate(run)} = options;
  let piecesCount = 0;
  let isTurnCounted = false;
  let waitsForTurn = false;
  let waitsForDrain = false;
  let isPaused = false;
  let isClosed = false;

  function update(): void {
    const mustPause = waitsForTurn || waitsForDrain;
    if (isClosed || mustPause === isPaused) return;
    isPaused = mustPause;
    if (mustPause) options.pause();
    else options.resume();
  }

  function beginTurn(): void {
    isTurnCounted = false;
    piecesCount = 0;
    waitsForTurn = false;
    update();
  }

  return {
    pieceReceived: () => {
      piecesCount += 1;
      if (!isTurnCounted && piecesCount >= minCountedPiecesCount) {
        isTurnCounted = true;
        afterTurn(beginTurn);
      }
      waitsForTurn = piecesCount >= maxPiecesPerTurnCount;
      update();
    },
    waitForDrain: () => {
      waitsForDrain = true;
      update();
    },
    drained: () => {
      waitsForDrain = false;
      update();
    },
    close: () => {
      isClosed = true;
    },
  };
}
