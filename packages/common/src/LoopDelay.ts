/**
 * Measures by how much the event loop of the process runs late. Callers'
 * requests wait about as long in their sockets before they are read, so the
 * delay shows that the process has less processor time than it needs, whether
 * its own work takes it or other processes do.
 */
import type {Clock} from './Clock.js';

/** The delay of the event loop. */
export interface LoopDelay {
  /** Starts to measure. */
  start(): void;
  /** The latest delay, or the time by which the next sample is overdue. */
  currentMs(): number;
  /**
   * Longest time for which what the process reads now can have waited: the time
   * since it last read all that had arrived.
   */
  unreadMs(): number;
  /** The longest delay of the recent past. */
  recentMaxMs(): number;
  /** The longest delay since the start. */
  maxMs(): number;
  /** Ends the measurement. */
  close(): void;
}

/** Options of the measurement. */
export interface LoopDelayOptions {
  readonly clock: Clock;
  /** Runs a function once the sockets and signals have been read. */
  readonly afterRead?: (run: () => void) => void;
  /** Called with each sample. */
  readonly onSample?: (delayMs: number) => void;
}

/** Time between two samples. Shorter turns of the loop may show no delay. */
export const loopDelaySampleMs = 25;
/** Length of the recent past. */
export const recentLoopDelayMs = 2_000;

interface Sample {
  readonly atMs: number;
  readonly delayMs: number;
}

/** Creates a measurement that has not started. */
export function createLoopDelay({
  clock,
  afterRead = run => void setImmediate(run),
  onSample = () => undefined,
}: LoopDelayOptions): LoopDelay {
  let samples: Sample[] = [];
  let latestMs = 0;
  let longestMs = 0;
  let dueAtMs = Infinity;
  let readAtMs = clock.nowMs();
  let cancelNext = (): void => undefined;

  const overdueMs = () => Math.max(0, clock.nowMs() - dueAtMs);

  /** A process that runs late takes fewer samples in the same time. */
  function dropOldSamples(): void {
    const oldestMs = clock.nowMs() - recentLoopDelayMs;
    if ((samples[0]?.atMs ?? Infinity) >= oldestMs) return;
    samples = samples.filter(({atMs}) => atMs >= oldestMs);
  }

  function scheduleNext(): void {
    dueAtMs = clock.nowMs() + loopDelaySampleMs;
    cancelNext = clock.after(loopDelaySampleMs, sample);
  }

  function sample(): void {
    latestMs = overdueMs();
    longestMs = Math.max(longestMs, latestMs);
    dropOldSamples();
    samples.push({atMs: clock.nowMs(), delayMs: latestMs});
    scheduleNext();
    afterRead(() => {
      readAtMs = clock.nowMs();
    });
    onSample(latestMs);
  }

  return {
    start: scheduleNext,
    currentMs: () => Math.max(latestMs, overdueMs()),
    unreadMs: () => clock.nowMs() - readAtMs,
    recentMaxMs: () => {
      dropOldSamples();
      return Math.max(overdueMs(), ...samples.map(({delayMs}) => delayMs));
    },
    maxMs: () => Math.max(longestMs, overdueMs()),
    close: () => {
      cancelNext();
      dueAtMs = Infinity;
    },
  };
}
