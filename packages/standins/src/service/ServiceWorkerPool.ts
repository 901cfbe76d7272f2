/**
 * The workers of a plain service: a fixed number of calls run at a time,
 * others wait in the order of arrival.
 */

/** Runs calls, a few at a time. */
export interface ServiceWorkerPool {
  /** Runs `begin`, takes the work time, then runs `end`. */
  submit(job: ServiceJob): void;
  /** Calls that wait or run. */
  pending(): number;
  close(): void;
}

/** One call. */
export interface ServiceJob {
  /** Returns false when the call must not run. */
  start(): boolean;
  finish(): void;
}

/** Creates the workers of a service. */
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
