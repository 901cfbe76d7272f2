/**
 * Random faults on a running deployment, from a seed: kills, pauses, severed
 * streams, slow and leaving upstreams, outages and lost answers.
 */
import type {RandomSource} from '@toucanrouter/common';
import {createSeededRandom} from '@toucanrouter/common';
import {pickOne} from '../load/Sampling.js';
import type {AnySwitchChange, Deployment} from './Deployment.js';
import type {DeploymentRole} from './MemberPlan.js';

/** A fault that was caused. */
export interface ChaosEvent {
  readonly atMs: number;
  readonly what: string;
}

interface ChaosContext {
  readonly deployment: Deployment;
  readonly random: RandomSource;
  readonly events: ChaosEvent[];
  readonly startMs: number;
}

type Fault = (context: ChaosContext) => Promise<void>;

const minGapMs = 200;
const maxGapMs = 1200;
const minFaultMs = 300;
const maxFaultMs = 2000;

/** Causes one fault after the other until `seconds` have passed. */
export async function runChaos(
  deployment: Deployment,
  seconds: number,
  seed: number,
): Promise<readonly ChaosEvent[]> {
  const random = createSeededRandom(seed);
  const startMs = performance.now();
  const context: ChaosContext = {deployment, random, events: [], startMs};
  const endMs = startMs + seconds * 1000;
  while (performance.now() < endMs) {
    await pickOne(random, faults)(context);
    await sleep(between(random, minGapMs, maxGapMs));
  }
  return context.events;
}

function record(context: ChaosContext, what: string): void {
  const atMs = performance.now() - context.startMs;
  context.events.push({atMs: Math.round(atMs), what});
}

function between(random: RandomSource, min: number, max: number): number {
  return min + random.next() * (max - min);
}

function faultMs(random: RandomSource): number {
  return between(random, minFaultMs, maxFaultMs);
}

function anyOf(context: ChaosContext, role: DeploymentRole): string {
  return pickOne(context.random, context.deployment.names(role));
}

function createKill(role: DeploymentRole): Fault {
  return async context => {
    const name = anyOf(context, role);
    record(context, `kill ${name}`);
    await context.deployment.kill(name);
    await sleep(faultMs(context.random));
    await context.deployment.restart(name);
  };
}

function createPause(role: DeploymentRole): Fault {
  return async context => {
    const name = anyOf(context, role);
    const pauseMs = faultMs(context.random);
    record(context, `pause ${name} for ${Math.round(pauseMs)} ms`);
    context.deployment.pause(name);
    await sleep(pauseMs);
    context.deployment.resume(name);
  };
}

function createLeave(role: DeploymentRole): Fault {
  return async context => {
    const name = anyOf(context, role);
    record(context, `stop ${name}`);
    const {exit} = await context.deployment.stop(name);
    if (exit?.code !== 0) record(context, `${name} exited uncleanly`);
    await context.deployment.restart(name);
  };
}

/** Turns switches on, and off again after a while. */
function createSwitchFault(
  role: DeploymentRole,
  on: AnySwitchChange,
  off?: AnySwitchChange,
): Fault {
  return async context => {
    const name = anyOf(context, role);
    record(context, `${name} ${JSON.stringify(on)}`);
    await context.deployment.switch(name, on);
    if (off === undefined) return;
    await sleep(faultMs(context.random));
    await context.deployment.switch(name, off);
  };
}

const faults: readonly Fault[] = [
  createKill('engine'),
  createKill('service'),
  createKill('router'),
  createPause('engine'),
  createPause('service'),
  createPause('router'),
  createPause('platform'),
  createLeave('engine'),
  createLeave('router'),
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
