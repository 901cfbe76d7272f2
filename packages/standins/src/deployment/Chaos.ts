/**
 * Injects random faults, determined by a seed, into a running deployment:
 * kills, pauses, broken streams, slow and leaving upstreams, outages and lost
 * responses.
 */
import type {RandomSource} from '@toucanrouter/common';
import {createSeededRandom, hash64} from '@toucanrouter/common';
import {pickOne} from '../load/Sampling.js';
import type {AnySwitchChange, Deployment} from './Deployment.js';
import type {DeploymentRole} from './ProcessPlan.js';

/** A fault that was injected. */
export interface ChaosEvent {
  readonly atMs: number;
  readonly description: string;
}

interface ChaosContext {
  readonly deployment: Deployment;
  readonly random: RandomSource;
  readonly events: ChaosEvent[];
  readonly startMs: number;
  /** Names of processes with an active fault. */
  readonly faultyProcesses: Set<string>;
}

/** A fault that can be injected into a process of one role. */
interface Fault {
  readonly role: DeploymentRole;
  readonly run: (context: ChaosContext, name: string) => Promise<void>;
}

const minGapMs = 200;
const maxGapMs = 1200;
const minFaultMs = 300;
const maxFaultMs = 2000;

// Concurrent faults affect different processes.
const concurrentFaults = 2;
const seedModulus = 2n ** 31n;

/** Injects faults until `seconds` have passed. */
export async function runChaos(
  deployment: Deployment,
  seconds: number,
  seed: number,
): Promise<readonly ChaosEvent[]> {
  const shared = {
    deployment,
    events: [] as ChaosEvent[],
    startMs: performance.now(),
    faultyProcesses: new Set<string>(),
  };
  const endMs = shared.startMs + seconds * 1000;
  const runs = Array.from({length: concurrentFaults}, (_, index) => {
    // Seeds are hashed because nearby seeds yield similar first numbers.
    const loopSeed = Number(hash64(`${seed}:${index}`) % seedModulus);
    return runFaultLoop(
      {...shared, random: createSeededRandom(loopSeed)},
      endMs,
    );
  });
  await Promise.all(runs);
  return shared.events;
}

async function runFaultLoop(
  context: ChaosContext,
  endMs: number,
): Promise<void> {
  const {faultyProcesses, deployment, random} = context;
  while (performance.now() < endMs) {
    const fault = pickOne(random, faults);
    const name = pickOne(random, deployment.names(fault.role));
    if (!faultyProcesses.has(name)) {
      faultyProcesses.add(name);
      await fault.run(context, name);
      faultyProcesses.delete(name);
    }
    await sleep(sampleUniform(random, minGapMs, maxGapMs));
  }
}

function recordEvent(context: ChaosContext, description: string): void {
  const atMs = performance.now() - context.startMs;
  context.events.push({atMs: Math.round(atMs), description});
}

function sampleUniform(random: RandomSource, min: number, max: number): number {
  return min + random.next() * (max - min);
}

function sampleFaultMs(random: RandomSource): number {
  return sampleUniform(random, minFaultMs, maxFaultMs);
}

function createKill(role: DeploymentRole): Fault {
  const run: Fault['run'] = async (context, name) => {
    recordEvent(context, `kill ${name}`);
    await context.deployment.kill(name);
    await sleep(sampleFaultMs(context.random));
    await context.deployment.restart(name);
  };
  return {role, run};
}

function createPause(role: DeploymentRole): Fault {
  const run: Fault['run'] = async (context, name) => {
    const pauseMs = sampleFaultMs(context.random);
    recordEvent(context, `pause ${name} for ${Math.round(pauseMs)} ms`);
    context.deployment.pause(name);
    await sleep(pauseMs);
    context.deployment.resume(name);
  };
  return {role, run};
}

function createGracefulStop(role: DeploymentRole): Fault {
  const run: Fault['run'] = async (context, name) => {
    recordEvent(context, `stop ${name}`);
    const {exit} = await context.deployment.stop(name);
    if (exit?.code !== 0) recordEvent(context, `${name} exited uncleanly`);
    await context.deployment.restart(name);
  };
  return {role, run};
}

/** Applies `on` and, after a random time, `off` if given. */
function createSwitchFault(
  role: DeploymentRole,
  on: AnySwitchChange,
  off?: AnySwitchChange,
): Fault {
  const run: Fault['run'] = async (context, name) => {
    recordEvent(context, `${name} ${JSON.stringify(on)}`);
    await context.deployment.switch(name, on);
    if (off === undefined) return;
    await sleep(sampleFaultMs(context.random));
    await context.deployment.switch(name, off);
  };
  return {role, run};
}

const faults: readonly Fault[] = [
  createKill('engine'),
  createKill('service'),
  createKill('router'),
  createPause('engine'),
  createPause('service'),
  createPause('router'),
  createPause('platform'),
  createGracefulStop('engine'),
  createGracefulStop('router'),
  createSwitchFault('engine', {breakStreams: {count: 4, afterTokens: 3}}),
  createSwitchFault('engine', {truncateStreams: {count: 4, afterTokens: 3}}),
  createSwitchFault('engine', {slowFactor: 10}, {slowFactor: 1}),
  createSwitchFault('engine', {stall: true}, {stall: false}),
  createSwitchFault('engine', {refuse: true}, {refuse: false}),
  createSwitchFault('service', {dropAnswers: 2}),
  createSwitchFault('service', {refuse: true}, {refuse: false}),
  createSwitchFault('platform', {outage: 'hang'}, {outage: 'off'}),
  createSwitchFault('platform', {outage: 'refuse'}, {outage: 'off'}),
  createSwitchFault('platform', {loseWriteAnswers: 3, failWriteAnswers: 3}),
  createSwitchFault('platform', {delayMs: 300}, {delayMs: 0}),
];

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
