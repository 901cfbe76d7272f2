/**
 * Continuous batching: running jobs share one decode loop, further jobs wait
 * in order of priority. Each step generates one token for every running job
 * whose prefill has finished.
 */
import type {Clock, Undo} from '@toucanrouter/common';
import type {EngineProfile} from './EngineConstants.js';

/** A job of the batch. */
export interface BatchJob {
  /** Lower values run first. */
  readonly priority: number;
  /** Uncached prompt tokens to prefill before the first token. */
  prefillTokens: number;
  /** Called when the job moves from the queue into the batch. */
  onStart(): void;
  /** Generates one token; returns true after the last one. */
  onToken(): boolean;
}

/** Occupancy of a batch. */
export interface BatchLoad {
  readonly running: number;
  readonly waiting: number;
}

/** Injected faults that affect the batch. */
export interface BatchFaults {
  readonly slowFactor: number;
  readonly stall: boolean;
}

/** The decode loop of one engine. */
export interface EngineBatch {
  add(job: BatchJob): void;
  /** Removes a running or waiting job. */
  remove(job: BatchJob): void;
  load(): BatchLoad;
  close(): void;
}

export function createEngineBatch(
  clock: Clock,
  profile: EngineProfile,
  faults: BatchFaults,
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
      job.prefillTokens * profile.prefillMsPerToken * faults.slowFactor;
    prefillFreeAtMs = Math.max(prefillFreeAtMs, clock.nowMs()) + costMs;
    readyAtMs.set(job, prefillFreeAtMs);
    job.onStart();
  }

  function currentTokenGapMs(): number {
    const overloadFactor = Math.max(1, readyAtMs.size / profile.kneeJobs);
    return profile.tokenGapMs * overloadFactor * faults.slowFactor;
  }

  function step(): void {
    stopTimer = undefined;
    const nowMs = clock.nowMs();
    if (!faults.stall) {
      for (const [job, jobReadyAtMs] of [...readyAtMs]) {
        if (jobReadyAtMs <= nowMs && readyAtMs.has(job) && job.onToken()) {
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
    stopTimer = clock.after(currentTokenGapMs(), step);
  }

  return {
    add: job => {
      const index = waiting.findIndex(other => other.priority > job.priority);
      waiting.splice(index < 0 ? waiting.length : index, 0, job);
      if (!faults.stall) admit();
      schedule();
    },
    remove: job => {
      readyAtMs.delete(job);
      const index = waiting.indexOf(job);
      if (index >= 0) waiting.splice(index, 1);
      if (!faults.stall) admit();
    },
    load: () => ({running: readyAtMs.size, waiting: waiting.length}),
    close: () => {
      stopTimer?.();
      readyAtMs.clear();
      waiting.length = 0;
    },
  };
}
