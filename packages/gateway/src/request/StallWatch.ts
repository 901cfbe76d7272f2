/**
 * Watches the progress of one response. Only complete events count as progress:
 * an upstream that sends a byte, a comment or a part of an event now and then has
 * stalled. A slow stream is measured by its own pace, and time during which the
 * caller accepts no data is not the upstream's.
 */
import type {Clock} from '@toucanrouter/common';

/** How long an upstream may make no progress. */
export interface StallLimits {
  readonly firstEventMs: number;
  readonly betweenEventsMs: number;
}

/** Options of a watch. */
export interface StallWatchOptions {
  readonly clock: Clock;
  readonly limits: StallLimits;
  /**
   * Called when there was no progress for `silentMs`, and again after each
   * further such time. Returns true if the attempt was abandoned.
   */
  readonly onStalled: (silentMs: number) => boolean;
}

/** Watches a response until it is closed. */
export interface StallWatch {
  /**
   * Records complete events. Returns the time since the previous ones, or
   * undefined if the upstream did not determine it.
   */
  progress(): number | undefined;
  /** The caller accepts no data for the time being. */
  pause(): void;
  resume(): void;
  close(): void;
}

/** A stream has stalled after this many times its own average event gap. */
const ownPaceFactor = 4;
/** Weight of the latest gap in the average of a stream. */
const gapSmoothing = 0.2;

/** Starts a watch. */
export function createStallWatch(options: StallWatchOptions): StallWatch {
  const {clock, limits} = options;
  let averageGapMs: number | undefined;
  let lastProgressAtMs: number | undefined;
  let started = false;
  let paused = false;
  let cancelTimer = (): void => undefined;

  function limitMs(): number {
    if (!started) return limits.firstEventMs;
    return Math.max(
      limits.betweenEventsMs,
      ownPaceFactor * (averageGapMs ?? 0),
    );
  }

  function restartTimer(): void {
    cancelTimer();
    const silentMs = limitMs();
    cancelTimer = clock.after(silentMs, () => {
      if (!options.onStalled(silentMs)) restartTimer();
    });
  }

  function recordGap(gapMs: number): void {
    const previous = averageGapMs ?? gapMs;
    averageGapMs = previous + (gapMs - previous) * gapSmoothing;
  }

  restartTimer();
  return {
    progress: () => {
      const nowMs = clock.nowMs();
      const gapMs =
        lastProgressAtMs === undefined ? undefined : nowMs - lastProgressAtMs;
      if (gapMs !== undefined) recordGap(gapMs);
      started = true;
      lastProgressAtMs = nowMs;
      if (!paused) restartTimer();
      return gapMs;
    },
    pause: () => {
      paused = true;
      cancelTimer();
    },
    resume: () => {
      if (!paused) return;
      paused = false;
      lastProgressAtMs = undefined;
      restartTimer();
    },
    close: () => cancelTimer(),
  };
}
