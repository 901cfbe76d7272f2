/**
 * Continuous batching: running jobs share one decode loop, others wait in the
 * order of their priority. Every step gives each running job one token.
 */
import type {Clock, Undo} from '@toucanrouter/common';
import type {EngineProfile} from './EngineConstants.js';

/** A job as the batch sees it. */
export interface BatchJob {
  /** Lower runs first. */
  readonly priority: number;
  /** Prompt tokens that must be processed before the first token. */
  prefillTokens: number;
  /** Called when the job leaves the queue. */
  onStart(): void;
  /** Produces one token; returns true after the last one. */
  onToken(): boolean;
}

/** Occupancy of a batch. */
export interface BatchLoad {
  readonly running: number;
  readonly waiting: number;
}

/** Faults that change how the batch works. */
export interface BatchConditions {
  readonly slowFactor: number;
  readonly stall: boolean;
}

/** The decode loop of one engine. */
export interface EngineBatch {
  add(job: BatchJob): void;
  /** Removes a job, whether it runs or waits. */
  remove(job: BatchJob): void;
  load(): BatchLoad;
  close(): void;
}

/** Creates an empty batch. */
export function createEngineBatch(
  clock: Clock,
  profile: EngineProfile,
  conditions: BatchConditions,
): EngineBatch {
  const waiting: BatchJob[] = [];
  const readyAtMs = new Map<BatchJob, number>();
  let prefillFreeAtMs = 0;
  let stopTimer: Undo | undefined;

  function admit(): void {
    while (readyAtMs.size < profile.batchLimit) {
      const job = waiting.shift();
      if (job === undefined) return;
      start(job);
    }
  }

  function start(job: BatchJob): void {
    const costMs =
      job.prefillTokens * profile.prefillMsPerToken * conditions.slowFactor;
    prefillFreeAtMs = Math.max(prefillFreeAtMs, clock.nowMs()) + costMs;
    readyAtMs.set(job, prefillFreeAtMs);
    job.onStart();
  }

  function gapMs(): number {
    const crowding = Math.max(1, readyAtMs.size / profile.kneeJobs);
    return profile.tokenGapMs * crowding * conditions.slowFactor;
  }

  function step(): void {
    stopTimer = undefined;
    const nowMs = clock.nowMs();
    if (!conditions.stall) {
      for (const [job, ready] of [...readyAtMs]) {
        if (ready <= nowMs && readyAtMs.has(job) && job.onToken()) {
          readyAtMs.delete(job);
        }
      }
      admit();
    }
    schedule();
  }

  function schedule(): void {
    if (stopTimer !== undefined) return;
    if (readyAtMs.size === 0 && waiting.length === 0) return;
    stopTimer = clock.after(gapMs(), step);
  }

  return {
    add: job => {
      const at = waiting.findIndex(other => other.priority > job.priority);
      waiting.splice(at < 0 ? waiting.length : at, 0, job);
      if (!conditions.stall) admit();
      schedule();
    },
    remove: job => {
      readyAtMs.delete(job);
      const at = waiting.indexOf(job);
      if (at >= 0) waiting.splice(at, 1);
      if (!conditions.stall) admit();
    },
    load: () => ({running: readyAtMs.size, waiting: waiting.length}),
    close: () => {
      stopTimer?.();
      readyAtMs.clear();
      waiting.length = 0;
    },
  };
}
