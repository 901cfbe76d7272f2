/**
 * A model engine at the interface: it decodes all running jobs in steps, takes
 * up prompts in chunks, admits jobs by priority while its memory suffices, and
 * can be slowed down or crash.
 */
import type {EventLoop} from './EventLoop.js';
import type {EngineSpec} from './Workload.js';

/** A job as its sender describes it. */
export interface EngineJob {
  /** Lower values are admitted first. */
  readonly priority: number;
  /** Prompt tokens that are not cached. */
  readonly prefillTokens: number;
  /** Tokens in memory before the first one is generated. */
  readonly contextTokens: number;
  readonly outputTokens: number;
  readonly onToken: () => void;
  readonly onDone: () => void;
  /** The engine crashed or is down. */
  readonly onBroken: () => void;
}

/** A running job; canceling it has no effect once it has ended. */
export interface EngineJobHandle {
  cancel(): void;
}

/** One engine. */
export interface FakeEngine {
  start(job: EngineJob): EngineJobHandle;
  /** Multiplies the duration of each later step. */
  slowDown(factor: number): void;
  crash(): void;
  restart(): void;
}

interface ActiveJob {
  readonly job: EngineJob;
  readonly order: number;
  prefillLeft: number;
  generated: number;
  ended: boolean;
}

function byPriority(a: ActiveJob, b: ActiveJob): number {
  return a.job.priority - b.job.priority || a.order - b.order;
}

/** Delay until a sender learns that an engine is down. */
const refusalDelayMs = 1;

/** Creates an idle engine. */
export function createFakeEngine(
  loop: EventLoop,
  spec: EngineSpec,
): FakeEngine {
  let waiting: ActiveJob[] = [];
  let running: ActiveJob[] = [];
  let slowdown = 1;
  let isUp = true;
  let isStepping = false;
  let epoch = 0;
  let nextOrder = 0;

  function memoryOf(active: ActiveJob): number {
    return active.job.contextTokens + active.generated;
  }

  function residentTokens(): number {
    return running.reduce((sum, active) => sum + memoryOf(active), 0);
  }

  function admit(): void {
    waiting.sort(byPriority);
    let resident = residentTokens();
    while (waiting.length > 0 && running.length < spec.maxBatch) {
      const next = waiting[0]!;
      const fits = resident + memoryOf(next) <= spec.memoryTokens;
      if (!fits && running.length > 0) return;
      waiting.shift();
      running.push(next);
      resident += memoryOf(next);
    }
  }

  /** Returns a job to the queue when the memory is exhausted. */
  function evict(): void {
    while (running.length > 1 && residentTokens() > spec.memoryTokens) {
      const victim = running.reduce((a, b) =>
        b.job.priority >= a.job.priority ? b : a,
      );
      running = running.filter(active => active !== victim);
      victim.prefillLeft = memoryOf(victim);
      waiting.push(victim);
    }
  }

  /** Takes up prompts and returns how many of their tokens were processed. */
  function prefill(): number {
    let budget = spec.prefillTokensPerStep;
    for (const active of [...running].sort(byPriority)) {
      const chunk = Math.min(budget, active.prefillLeft);
      active.prefillLeft -= chunk;
      budget -= chunk;
    }
    return spec.prefillTokensPerStep - budget;
  }

  function beginStep(): void {
    admit();
    if (running.length === 0) {
      isStepping = false;
      return;
    }
    isStepping = true;
    const prefillTokens = prefill();
    const decoding = running.filter(active => active.prefillLeft === 0);
    const stepMs =
      spec.baseStepMs +
      spec.stepMsPerJob * decoding.length +
      spec.prefillMsPerToken * prefillTokens;
    const startedIn = epoch;
    loop.after(stepMs * slowdown, () => {
      if (startedIn === epoch) endStep(decoding);
    });
  }

  function emit(active: ActiveJob): void {
    if (active.ended) return;
    active.generated += 1;
    active.job.onToken();
    if (active.ended || active.generated < active.job.outputTokens) return;
    active.ended = true;
    active.job.onDone();
  }

  function endStep(decoding: readonly ActiveJob[]): void {
    decoding.forEach(emit);
    running = running.filter(active => !active.ended);
    evict();
    beginStep();
  }

  function cancel(active: ActiveJob): void {
    active.ended = true;
    waiting = waiting.filter(other => !other.ended);
    running = running.filter(other => !other.ended);
  }

  function breakOff(active: ActiveJob): void {
    if (active.ended) return;
    active.ended = true;
    active.job.onBroken();
  }

  function start(job: EngineJob): EngineJobHandle {
    const active: ActiveJob = {
      job,
      order: nextOrder++,
      prefillLeft: job.prefillTokens,
      generated: 0,
      ended: false,
    };
    if (isUp) {
      waiting.push(active);
      if (!isStepping) beginStep();
    } else {
      loop.after(refusalDelayMs, () => breakOff(active));
    }
    return {cancel: () => cancel(active)};
  }

  function crash(): void {
    isUp = false;
    isStepping = false;
    epoch += 1;
    const lost = [...running, ...waiting];
    running = [];
    waiting = [];
    lost.forEach(breakOff);
  }

  return {
    start,
    slowDown: factor => {
      slowdown = factor;
    },
    crash,
    restart: () => {
      isUp = true;
    },
  };
}
