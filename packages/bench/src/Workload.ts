/**
 * Schema and loader of the sample files that describe a deployment's workload.
 */
import {readFileSync} from 'node:fs';
import {z} from 'zod';
import type {ServiceClass} from '@toucanrouter/common';
import {toClassId} from '@toucanrouter/common';

const lengthSchema = z.object({
  median: z.number().positive(),
  /** Standard deviation of the logarithm. */
  sigma: z.number().nonnegative(),
  max: z.number().positive(),
});

const classSchema = z.object({
  id: z.string(),
  tier: z.union([z.literal(1), z.literal(2), z.literal(3), z.literal(4)]),
  /** Whether head-of-line blocking is measured for the class. */
  short: z.boolean(),
  target: z.object({
    firstTokenMs: z.number().optional(),
    tokenGapMs: z.number().optional(),
    totalMs: z.number().optional(),
  }),
  maxWaitMs: z.number().positive(),
  timeoutMs: z.number().positive(),
  /** Share of all generated tokens. */
  tokenShare: z.number().positive(),
  promptTokens: lengthSchema,
  outputTokens: lengthSchema,
});

const engineSchema = z.object({
  baseStepMs: z.number().positive(),
  stepMsPerJob: z.number().nonnegative(),
  prefillMsPerToken: z.number().nonnegative(),
  prefillTokensPerStep: z.number().positive(),
  memoryTokens: z.number().positive(),
  maxBatch: z.number().positive(),
});

const workloadSchema = z.object({
  name: z.string(),
  engines: z.number().int().positive(),
  entries: z.number().int().positive(),
  workspaceWeights: z.array(z.number().positive()),
  engine: engineSchema,
  classes: z.array(classSchema),
});

/** A lognormal length distribution, truncated at a maximum. */
export type LengthSpec = z.infer<typeof lengthSchema>;
/** A service class with its traffic. */
export type ClassSpec = z.infer<typeof classSchema>;
/** Speed, memory and batch limits of an engine. */
export type EngineSpec = z.infer<typeof engineSchema>;
/** A deployment with its traffic. */
export type Workload = z.infer<typeof workloadSchema>;

/** Reads the sample file of a deployment. */
export function loadWorkload(name: string): Workload {
  const file = new URL(`../samples/${name}.json`, import.meta.url);
  return workloadSchema.parse(JSON.parse(readFileSync(file, 'utf8')));
}

/** Converts a class to the scheduler's representation. */
export function toServiceClass(spec: ClassSpec): ServiceClass {
  return {
    id: toClassId(spec.id),
    tier: spec.tier,
    target: spec.target,
    idempotent: true,
    maxWaitMs: spec.maxWaitMs,
    match: {models: ['model'], services: [], methods: [], paths: []},
  };
}
