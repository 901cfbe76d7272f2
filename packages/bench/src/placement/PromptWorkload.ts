/**
 * Seeded arrivals of requests that share prompt prefixes: a slow wave, and bursts
 * of single classes on top of it.
 */
import type {RandomSource} from '@toucanrouter/common';
import {createSeededRandom} from '@toucanrouter/common';

/** A length with a log-normal distribution. */
export interface LengthSpec {
  readonly mean: number;
  /** Standard deviation of the logarithm. */
  readonly spread: number;
  readonly max: number;
}

/** A prefix of prompts, of which there are several variants. */
export interface PrefixSpec {
  readonly tokens: LengthSpec;
  readonly variants: number;
}

/** A class of requests. */
export interface PromptClass {
  readonly name: string;
  readonly tier: number;
  readonly ratePerSecond: number;
  readonly targetLatencyMs: number;
  readonly targetGapMs: number;
  readonly timeoutMs: number;
  /** Shared by several session prefixes. */
  readonly systemPrefix: PrefixSpec;
  readonly sessionPrefix: PrefixSpec;
  readonly ownTokens: LengthSpec;
  readonly events: LengthSpec;
  /** True when an interrupted response may be resumed on another engine. */
  readonly resumable: boolean;
  /** Value of a response within its targets, and of a later one. */
  readonly worth: number;
  readonly lateWorth: number;
}

/** A time during which one class sends `factor` times its usual requests. */
export interface Burst {
  readonly className: string;
  readonly atMs: number;
  readonly durationMs: number;
  readonly factor: number;
}

/** A part of a prompt as id and size. */
export type SizedSegment = readonly [id: string, tokens: number];

/** Arrival of one request. */
export interface PromptArrival {
  readonly atMs: number;
  readonly promptClass: PromptClass;
  readonly instance: number;
  readonly segments: readonly SizedSegment[];
  readonly promptTokens: number;
  readonly events: number;
}

/** Requests that arrive at a number of instances. */
export interface PromptWorkload {
  readonly classes: readonly PromptClass[];
  readonly bursts: readonly Burst[];
  readonly durationMs: number;
  readonly instances: number;
}

const msPerSecond = 1_000;
const waveSwing = 0.55;
const wavePeriodMs = 15_000;
/** Seeds of the classes of a workload differ by this much. */
const seedsPerWorkload = 1_000;

function drawNormal(random: RandomSource): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  return radius * Math.cos(2 * Math.PI * random.next());
}

function drawLength(spec: LengthSpec, random: RandomSource): number {
  const logMean = Math.log(spec.mean) - spec.spread ** 2 / 2;
  const value = Math.exp(logMean + spec.spread * drawNormal(random));
  return Math.max(1, Math.min(spec.max, Math.round(value)));
}

function drawSizes(
  {tokens, variants}: PrefixSpec,
  random: RandomSource,
): readonly number[] {
  return Array.from({length: variants}, () => drawLength(tokens, random));
}

function loadAt(bursts: readonly Burst[], atMs: number): number {
  const wave = 1 + waveSwing * Math.sin((2 * Math.PI * atMs) / wavePeriodMs);
  return bursts
    .filter(burst => atMs >= burst.atMs)
    .filter(burst => atMs < burst.atMs + burst.durationMs)
    .reduce((load, {factor}) => load * factor, wave);
}

/** Draws arrival times by thinning a Poisson process. */
function* arrivalTimes(
  ratePerSecond: number,
  bursts: readonly Burst[],
  durationMs: number,
  random: RandomSource,
): Generator<number> {
  const peak = bursts.reduce(
    (product, {factor}) => product * Math.max(1, factor),
    1 + waveSwing,
  );
  const peakRatePerMs = (ratePerSecond * peak) / msPerSecond;
  let atMs = 0;
  for (;;) {
    atMs += -Math.log(1 - random.next()) / peakRatePerMs;
    if (atMs >= durationMs) return;
    if (random.next() * peak < loadAt(bursts, atMs)) yield atMs;
  }
}

function drawClass(
  promptClass: PromptClass,
  {bursts, durationMs, instances}: PromptWorkload,
  random: RandomSource,
): readonly PromptArrival[] {
  const {name, sessionPrefix, systemPrefix} = promptClass;
  const systemSizes = drawSizes(systemPrefix, random);
  const sessionSizes = drawSizes(sessionPrefix, random);
  const own = bursts.filter(({className}) => className === name);
  const times = arrivalTimes(
    promptClass.ratePerSecond,
    own,
    durationMs,
    random,
  );
  return [...times].map((atMs, index) => {
    const session = Math.floor(random.next() * sessionSizes.length);
    const system = session % systemSizes.length;
    const segments: readonly SizedSegment[] = [
      [`${name}.system.${system}`, systemSizes[system] ?? 0],
      [`${name}.session.${session}`, sessionSizes[session] ?? 0],
      [`${name}.own.${index}`, drawLength(promptClass.ownTokens, random)],
    ];
    return {
      atMs,
      promptClass,
      instance: Math.floor(random.next() * instances),
      segments,
      promptTokens: segments.reduce((sum, [, tokens]) => sum + tokens, 0),
      events: drawLength(promptClass.events, random),
    };
  });
}

/** Draws the arrivals of a workload, in order of time. */
export function drawPromptArrivals(
  workload: PromptWorkload,
  seed: number,
): readonly PromptArrival[] {
  const arrivals = workload.classes.flatMap((promptClass, index) => {
    const random = createSeededRandom(seed * seedsPerWorkload + index);
    return drawClass(promptClass, workload, random);
  });
  return arrivals.sort((a, b) => a.atMs - b.atMs);
}
