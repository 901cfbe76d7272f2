/**
 * Capacity of a deployment: the rate at which its engines generate tokens when
 * each runs the largest batch that fits its memory and meets the tightest
 * token gap target. It follows from the workload alone, whatever the policy.
 */
import type {LengthMoments} from './Lengths.js';
import {estimateMoments} from './Lengths.js';
import type {ClassSpec, Workload} from './Workload.js';

/** Capacity with the request rates that saturate it. */
export interface Capacity {
  readonly tokensPerMs: number;
  /** Jobs per engine at capacity. */
  readonly batch: number;
  /** Arrivals per millisecond at capacity, in the order of the classes. */
  readonly requestsPerMs: readonly number[];
}

interface ClassMoments {
  readonly spec: ClassSpec;
  readonly prompt: LengthMoments;
  readonly output: LengthMoments;
}

/** Mean prompt tokens to prefill for each generated token. */
function prefillTokensPerOutputToken(classes: readonly ClassMoments[]): number {
  return classes
    .map(c => (c.spec.tokenShare * c.prompt.mean) / c.output.mean)
    .reduce((a, b) => a + b, 0);
}

/** Mean context length of a running job, averaged over its decoding steps. */
function meanResidentTokensPerJob(classes: readonly ClassMoments[]): number {
  return classes
    .map(({spec, prompt, output}) => {
      const generated = output.meanSquare / output.mean / 2;
      return spec.tokenShare * (prompt.mean + generated);
    })
    .reduce((a, b) => a + b, 0);
}

function tightestTokenGapMs(workload: Workload): number {
  const gaps = workload.classes.map(c => c.target.tokenGapMs ?? Infinity);
  return Math.min(...gaps);
}

/** Mean duration of one decoding step with its share of prefill. */
function stepMs(
  workload: Workload,
  batch: number,
  prefillRatio: number,
): number {
  const {baseStepMs, stepMsPerJob, prefillMsPerToken} = workload.engine;
  return baseStepMs + batch * (stepMsPerJob + prefillRatio * prefillMsPerToken);
}

/** Computes the capacity of a deployment. */
export function computeCapacity(workload: Workload): Capacity {
  const classes = workload.classes.map(spec => ({
    spec,
    prompt: estimateMoments(spec.promptTokens),
    output: estimateMoments(spec.outputTokens),
  }));
  const prefillRatio = prefillTokensPerOutputToken(classes);
  const {memoryTokens, maxBatch} = workload.engine;
  const limitMs = tightestTokenGapMs(workload);
  let batch = Math.min(
    maxBatch,
    memoryTokens / meanResidentTokensPerJob(classes),
  );
  batch = Math.floor(batch);
  while (batch > 1 && stepMs(workload, batch, prefillRatio) > limitMs)
    batch -= 1;
  const tokensPerMsPerEngine = batch / stepMs(workload, batch, prefillRatio);
  const tokensPerMs = tokensPerMsPerEngine * workload.engines;
  const requestsPerMs = classes.map(
    c => (tokensPerMs * c.spec.tokenShare) / c.output.mean,
  );
  return {tokensPerMs, batch, requestsPerMs};
}
