/**
 * A simulated model engine with continuous batching: it decodes all running
 * jobs in steps, prefills prompts in chunks and admits jobs by priority while
 * they fit in memory. It can be slowed down or crash.
 */
import type {EventLoop} from './EventLoop.js';
import type {EngineSpec} from './Workload.js';

/** A job that a caller submits to an engine. */
export interface EngineJob {
  /** Lower values are admitted first. */
  readonly priority: number;
  /** Tokens to prefill, that is, not in the prefix cache. */
  readonly prefillTokens: number;
  /** Tokens in memory before the first one is generated. */
  readonly contextTokens: number;
  readonly outputTokens: number;
  readonly onToken: () => void;
  readonly onDone: () => void;
  /** Called when the engine crashes or is down. */
  readonly onFailed: () => void;
}

/** A submitted job; canceling it has no effect once it has ended. */
export interface EngineJobHandle {
  cancel(): void;
}

export interface FakeEngine {
  start(job: EngineJob): EngineJobHandle;
  /** Multiplies the duration of every subsequent step by `factor`. */
  slowDown(factor: number): void;
  crash(): void;
  restart(): void;
}

interface ActiveJob {
  readonly job: EngineJob;
  readonly sequence: number;
  remainingPrefillTokens: number;
  generatedTokens: number;
  ended: boolean;
}

function compareByPriority(a: ActiveJob, b: ActiveJob): number {
  return a.job.priority - b.job.priority || a.sequence - b.sequence;
}

/** Delay until a job that is sent to a crashed engine fails. */
const refusalDelayMs = 1;

/** Creates an idle engine. */
export function createFakeEngine(
  loop: EventLoop,
  spec: EngineSpec,
): FakeEngine {
  let waitingJobs: ActiveJob[] = [];
  let runningJobs: ActiveJob[] = [];
  let slowdownFactor = 1;
  let isUp = true;
  let isStepping = false;
  let crashCount = 0;
  let nextSequence = 0;

  function memoryTokensOf(active: ActiveJob): number {
    return active.job.contextTokens + active.generatedTokens;
  }

  function residentTokens(): number {
    return runningJobs.reduce((sum, active) => sum + memoryTokensOf(active), 0);
  }

  function admitJobs(): void {
    waitingJobs.sort(compareByPriority);
    let residentTokenCount = residentTokens();
    while (waitingJobs.length > 0 && runningJobs.length < spec.maxBatch) {
      const next = waitingJobs[0]!;
      const fits =
        residentTokenCount + memoryTokensOf(next) <= spec.memoryTokens;
      if (!fits && runningJobs.length > 0) return;
      waitingJobs.shift();
      runningJobs.push(next);
      residentTokenCount += memoryTokensOf(next);
    }
  }

  /** Returns low-priority jobs to the queue until the rest fit in memory. */
  function evictOverflow(): void {
    while (runningJobs.length > 1 && residentTokens() > spec.memoryTokens) {
      const victim = runningJobs.reduce((a, b) =>
        b.job.priority >= a.job.priority ? b : a,
      );
      runningJobs = runningJobs.filter(active => active !== victim);
      victim.remainingPrefillTokens = memoryTokensOf(victim);
      waitingJobs.push(victim);
    }
  }

  /** Prefills prompts by priority; returns the number of tokens processed. */
  function prefillPrompts(): number {
    let budget = spec.prefillTokensPerStep;
    for (const active of [...runningJobs].sort(compareByPriority)) {
      const chunk = Math.min(budget, active.remainingPrefillTokens);
      active.remainingPrefillTokens -= chunk;
      budget -= chunk;
    }
    return spec.prefillTokensPerStep - budget;
  }

  function beginStep(): void {
    admitJobs();
    if (runningJobs.length === 0) {
      isStepping = false;
      return;
    }
    isStepping = true;
    const prefillTokens = prefillPrompts();
    const decoding = runningJobs.filter(
      active => active.remainingPrefillTokens === 0,
    );
    const stepMs =
      spec.baseStepMs +
      spec.stepMsPerJob * decoding.length +
      spec.prefillMsPerToken * prefillTokens;
    const crashCountAtStart = crashCount;
    loop.after(stepMs * slowdownFactor, () => {
      if (crashCountAtStart === crashCount) endStep(decoding);
    });
  }

  function emitToken(active: ActiveJob): void {
    if (active.ended) return;
    active.generatedTokens += 1;
    active.job.onToken();
    if (active.ended || active.generatedTokens < active.job.outputTokens)
      return;
    active.ended = true;
    active.job.onDone();
  }

  function endStep(decoding: readonly ActiveJob[]): void {
    decoding.forEach(emitToken);
    runningJobs = runningJobs.filter(active => !active.ended);
    evictOverflow();
    beginStep();
  }

  function cancel(active: ActiveJob): void {
    active.ended = true;
    waitingJobs = waitingJobs.filter(other => !other.ended);
    runningJobs = runningJobs.filter(other => !other.ended);
  }

  function failJob(active: ActiveJob): void {
    if (active.ended) return;
    active.ended = true;
    active.job.onFailed();
  }

  function start(job: EngineJob): EngineJobHandle {
    const active: ActiveJob = {
      job,
      sequence: nextSequence++,
      remainingPrefillTokens: job.prefillTokens,
      generatedTokens: 0,
      ended: false,
    };
    if (isUp) {
      waitingJobs.push(active);
      if (!isStepping) beginStep();
    } else {
      loop.after(refusalDelayMs, () => failJob(active));
    }
    return {cancel: () => cancel(active)};
  }

  function crash(): void {
    isUp = false;
    isStepping = false;
    crashCount += 1;
    const failedJobs = [...runningJobs, ...waitingJobs];
    runningJobs = [];
    waitingJobs = [];
    failedJobs.forEach(failJob);
  }

  return {
    start,
    slowDown: factor => {
      slowdownFactor = factor;
    },
    crash,
    restart: () => {
      isUp = true;
    },
  };
}
