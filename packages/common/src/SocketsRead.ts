/**
 * Lets the event loop read what has arrived at its sockets. Timers run first
 * after a delay, so a decision that depends on what peers have sent has to wait
 * for the sockets to be read.
 */

/** A turn that has begun may be past the reading of its sockets. */
const turnCount = 2;

/** Resolves when the sockets have been read once more. */
export async function socketsRead(): Promise<void> {
  for (let turn = 0; turn < turnCount; turn += 1) {
    await new Promise(resolve => setImmediate(resolve));
  }
}
