/**
 * Sends a planned load to the entry instances, round robin, and checks every
 * response.
 */
import type {ServiceClass} from '@toucanrouter/common';
import {Agent} from 'undici';
import {callEntry} from './Caller.js';
import type {EntryPool} from './EntryPool.js';
import type {PlannedRequest} from './LoadPlan.js';
import {planLoad} from './LoadPlan.js';
import type {LoadProfile} from './LoadProfile.js';
import type {ClassSummary} from './LoadSummary.js';
import {summarise} from './LoadSummary.js';
import type {Observation} from './Observation.js';
import type {OracleFault} from './Oracle.js';
import {findFaults} from './Oracle.js';
import type {UpstreamRuns} from './UpstreamRuns.js';

export interface LoadOptions {
  readonly profile: LoadProfile;
  readonly classes: readonly ServiceClass[];
  readonly entries: EntryPool;
  readonly seconds: number;
  readonly seed?: number;
  readonly rateFactor?: number;
  readonly tag?: string;
  /** Reads the runs of the upstreams after the last response. */
  readonly readRuns: () => Promise<UpstreamRuns>;
}

export interface LoadRunReport {
  readonly seed: number;
  readonly seconds: number;
  readonly summaries: readonly ClassSummary[];
  readonly faults: readonly OracleFault[];
  readonly observations: readonly Observation[];
  readonly runs: UpstreamRuns;
}

// Upstreams detect an abandoned connection shortly after it closes.
const disconnectDetectionMs = 300;

/** Runs a load and waits for its last response. */
export async function runLoad(options: LoadOptions): Promise<LoadRunReport> {
  const seed = options.seed ?? options.profile.load.seed;
  const plan = planLoad({
    ...options,
    seed,
    rateFactor: options.rateFactor ?? 1,
    tag: options.tag ?? `${options.profile.load.deployment}-${seed}`,
  });
  const observations = await sendPlan(plan, options.entries);
  await sleep(disconnectDetectionMs);
  const runs = await options.readRuns();
  const {classes, seconds} = options;
  return {
    seed,
    seconds,
    summaries: summarise(classes, observations, runs, seconds),
    faults: findFaults(observations, runs),
    observations,
    runs,
  };
}

async function sendPlan(
  plan: readonly PlannedRequest[],
  entries: EntryPool,
): Promise<readonly Observation[]> {
  const dispatcher = new Agent({connections: null, pipelining: 1});
  const startMs = performance.now();
  const calls: Promise<Observation>[] = [];
  for (const planned of plan) {
    const waitMs = startMs + planned.atMs - performance.now();
    if (waitMs > 0) await sleep(waitMs);
    calls.push(callEntry(planned, entries, dispatcher));
  }
  const observations = await Promise.all(calls);
  await dispatcher.close();
  return observations;
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
