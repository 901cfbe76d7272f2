/**
 * An injectable time source. Code that measures time or waits takes a `Clock`;
 * tests pass a `ManualClock`, which they advance themselves.
 */

/** Reverts a `register*` call or cancels a timer. */
export type Undo = () => void;

/** A monotonic time source with timers. */
export interface Clock {
  /** Milliseconds since an arbitrary fixed point; never goes back. */
  nowMs(): number;
  /** Milliseconds since the Unix epoch. */
  wallMs(): number;
  /** Calls `run` once after `delayMs`. */
  after(delayMs: number, run: () => void): Undo;
  /** Calls `run` every `intervalMs` until canceled. */
  every(intervalMs: number, run: () => void): Undo;
}

/** Resolves after `delayMs`. */
export function delay(clock: Clock, delayMs: number): Promise<void> {
  return new Promise(resolve => {
    clock.after(delayMs, resolve);
  });
}

/** Resolves after `delayMs`, or as soon as `signal` is aborted. */
export function delayOrAbort(
  clock: Clock,
  delayMs: number,
  signal: AbortSignal,
): Promise<void> {
  return new Promise(resolve => {
    const finish = () => {
      cancelTimer();
      signal.removeEventListener('abort', finish);
      resolve();
    };
    const cancelTimer = clock.after(delayMs, finish);
    signal.addEventListener('abort', finish);
    if (signal.aborted) finish();
  });
}

/** Timers of Node.js with a longer delay end at once. */
const maxTimerMs = 2 ** 31 - 1;

/** Creates the clock of the running process. */
export function createSystemClock(): Clock {
  return {
    nowMs: () => performance.now(),
    wallMs: () => Date.now(),
    after: (delayMs, run) => {
      const timer = setTimeout(run, Math.min(delayMs, maxTimerMs));
      return () => clearTimeout(timer);
    },
    every: (intervalMs, run) => {
      const timer = setInterval(run, Math.min(intervalMs, maxTimerMs));
      return () => clearInterval(timer);
    },
  };
}

/** A clock whose time changes only when it is advanced. */
export interface ManualClock extends Clock {
  /** Advances time and runs the timers that become due, in order. */
  advance(byMs: number): void;
}

interface ManualTimer {
  dueAtMs: number;
  readonly sequence: number;
  readonly intervalMs: number | undefined;
  readonly run: () => void;
}

/** Creates a clock for tests; monotonic and wall time start at `startMs`. */
export function createManualClock(startMs = 0): ManualClock {
  let currentMs = startMs;
  let nextSequence = 0;
  const timers = new Set<ManualTimer>();

  function schedule(
    delayMs: number,
    run: () => void,
    recurring: boolean,
  ): Undo {
    const timer: ManualTimer = {
      dueAtMs: currentMs + delayMs,
      sequence: nextSequence++,
      intervalMs: recurring ? delayMs : undefined,
      run,
    };
    timers.add(timer);
    return () => timers.delete(timer);
  }

  function nextDueTimer(limitMs: number): ManualTimer | undefined {
    let first: ManualTimer | undefined;
    for (const timer of timers) {
      if (timer.dueAtMs > limitMs) continue;
      if (
        first === undefined ||
        timer.dueAtMs < first.dueAtMs ||
        (timer.dueAtMs === first.dueAtMs && timer.sequence < first.sequence)
      ) {
        first = timer;
      }
    }
    return first;
  }

  function fire(timer: ManualTimer): void {
    currentMs = Math.max(currentMs, timer.dueAtMs);
    if (timer.intervalMs === undefined) timers.delete(timer);
    else timer.dueAtMs += timer.intervalMs;
    timer.run();
  }

  return {
    nowMs: () => currentMs,
    wallMs: () => currentMs,
    after: (delayMs, run) => schedule(delayMs, run, false),
    every: (intervalMs, run) => schedule(intervalMs, run, true),
    advance: byMs => {
      const limitMs = currentMs + byMs;
      for (
        let timer = nextDueTimer(limitMs);
        timer !== undefined;
        timer = nextDueTimer(limitMs)
      ) {
        fire(timer);
      }
      currentMs = limitMs;
    },
  };
}
