/**
 * The worker pool of a plain service: a fixed number of calls run concurrently,
 * further calls wait in order of arrival.
 */

/** Runs calls with bounded concurrency. */
export interface ServiceWorkerPool {
  /** Calls `start`, waits for the work time, then calls `finish`. */
  submit(job: ServiceJob): void;
  /** Number of waiting and running calls. */
  pending(): number;
  close(): void;
}

/** A call to run. */
export interface ServiceJob {
  /** Starts the call; returns false when it must not run. */
  start(): boolean;
  finish(): void;
}

/** Creates a pool of `workers` workers. */
export function createServiceWorkerPool(
  workers: number,
  workMs: () => number,
): ServiceWorkerPool {
  const waiting: ServiceJob[] = [];
  const timers = new Set<NodeJS.Timeout>();

  function startNext(): void {
    while (timers.size < workers) {
      const job = waiting.shift();
      if (job === undefined) return;
      if (job.start()) run(job);
    }
  }

  function run(job: ServiceJob): void {
    const timer = setTimeout(() => {
      timers.delete(timer);
      job.finish();
      startNext();
    }, workMs());
    timers.add(timer);
  }

  return {
    submit: job => {
      waiting.push(job);
      startNext();
    },
    pending: () => waiting.length + timers.size,
    close: () => {
      waiting.length = 0;
      for (const timer of timers) clearTimeout(timer);
      timers.clear();
    },
  };
}
