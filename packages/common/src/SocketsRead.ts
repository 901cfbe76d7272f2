/**
 * Lets the event loop read what has arrived at its sockets. Timers run first
 * after a delay, so a decision that depends on what peers have sent has to wait
 * for the sockets to be read. Much may arrive during a long turn too, so it
 * takes a short one, or several long ones where a process runs late all the time.
 */
import {performance} from 'node:perf_hooks';

/** What arrives during a turn that takes longer has waited for too long. */
const maxTurnMs = 50;
const maxWaitMs = 1_000;

/**
 * Resolves when the sockets have been read in the turn of the event loop that has
 * begun, if it is not past that.
 */
export function turnEnded(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

/** Resolves at the end of a short turn of the event loop. */
export async function socketsRead(): Promise<void> {
  const lastStartMs = performance.now() + maxWaitMs;
  // The turn that has begun may be past the reading of its sockets.
  await turnEnded();
  let startedAtMs: number;
  do {
    startedAtMs = performance.now();
    await turnEnded();
  } while (
    performance.now() - startedAtMs > maxTurnMs &&
    startedAtMs < lastStartMs
  );
}
