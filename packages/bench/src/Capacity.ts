/**
 * Capacity of a deployment: the rate at which its engines generate tokens when
 * each runs the largest batch that fits its memory and meets the tightest
 * token gap target. It follows from the workload alone, whatever the policy.
 */
import type {LengthMoments} from './Lengths.js';
import {momentsOf} from './Lengths.js';
import type {ClassSpec, Workload} from './Workload.js';

/** Capacity with the request rates that use all of it. */
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

/** Prompt tokens to process for each token that is generated. */
function prefillPerToken(classes: readonly ClassMoments[]): number {
  return classes
    .map(c => (c.spec.tokenShare * c.prompt.mean) / c.output.mean)
    .reduce((a, b) => a + b, 0);
}

/** Memory of a running job, averaged over the tokens that it generates. */
function residentTokens(classes: readonly ClassMoments[]): number {
  return classes
    .map(({spec, prompt, output}) => {
      const generated = output.meanSquare / output.mean / 2;
      return spec.tokenShare * (prompt.mean + generated);
    })
    .reduce((a, b) => a + b, 0);
}

function tightestGapMs(workload: Workload): number {
  const gaps = workload.classes.map(c => c.target.tokenGapMs ?? Infinity);
  return Math.min(...gaps);
}

/** Mean time of one decoding step with its share of prompt processing. */
function stepMs(workload: Workload, batch: number, prefill: number): number {
  const {baseStepMs, stepMsPerJob, prefillMsPerToken} = workload.engine;
  return baseStepMs + batch * (stepMsPerJob + prefill * prefillMsPerToken);
}

/** Computes the capacity of a deployment. */
export function capacityOf(workload: Workload): Capacity {
  const classes = workload.classes.map(spec => ({
    spec,
    prompt: momentsOf(spec.promptTokens),
    output: momentsOf(spec.outputTokens),
  }));
  const prefill = prefillPerToken(classes);
  const {memoryTokens, maxBatch} = workload.engine;
  const limitMs = tightestGapMs(workload);
  let batch = Math.min(maxBatch, memoryTokens / residentTokens(classes));
  batch = Math.floor(batch);
  while (batch > 1 && stepMs(workload, batch, prefill) > limitMs) batch -= 1;
  const perEngine = batch / stepMs(workload, batch, prefill);
  const tokensPerMs = perEngine * workload.engines;
  const requestsPerMs = classes.map(
    c => (tokensPerMs * c.spec.tokenShare) / c.output.mean,
  );
  return {tokensPerMs, batch, requestsPerMs};
}
