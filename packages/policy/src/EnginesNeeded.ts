/**
 * How many engines the work of a service needs. Load pattern: long prompts beside
 * chats that tolerate event gaps of a few hundred milliseconds. Prefill may take
 * a bounded share of an engine's time, and slots must be left.
 */

/**
 * What dominates the cost of a request: `interactive` for steady output after a
 * short prompt, `prompt` for prefill.
 */
export type WorkKind = 'interactive' | 'prompt';

/** A count for each kind of work. */
export type WorkKindCounts = Readonly<Record<WorkKind, number>>;

export const zeroCounts: WorkKindCounts = {interactive: 0, prompt: 0};

export function addCounts(
  a: WorkKindCounts,
  b: WorkKindCounts,
): WorkKindCounts {
  return {
    interactive: a.interactive + b.interactive,
    prompt: a.prompt + b.prompt,
  };
}

/**
 * Largest share of an engine's time that prefill should take, by kind of work.
 * Beyond it, a moment in which an engine is slow delays every running stream.
 */
const maxPrefillShare: WorkKindCounts = {interactive: 0.3, prompt: 0.7};
/** Largest share of an engine's slots that requests should occupy. */
const maxSlotShare = 0.5;
/** Engines in reserve, as a multiple of the square root of the mean need. */
const reserveFactor = 1;

/** The work of all instances, by kind. */
export interface EngineDemand {
  /** Requests that run or wait on engines. */
  readonly inFlight: WorkKindCounts;
  /** Engines that prefill of the offered work keeps busy, refused work included. */
  readonly offered: WorkKindCounts;
}

/**
 * Estimates the engines that one kind of work needs, with a reserve: arrivals
 * vary, relatively more so with few engines.
 */
export function enginesNeeded(
  kind: WorkKind,
  {inFlight, offered}: EngineDemand,
  slots: number,
): number {
  const mean = Math.max(
    offered[kind] / maxPrefillShare[kind],
    inFlight[kind] / Math.max(1, slots * maxSlotShare),
  );
  return mean + reserveFactor * Math.sqrt(mean);
}

/** Share of their time or slots beyond which work piles up on engines. */
const maxUtilization = 0.85;

/** Estimates the engines below which work piles up, without any reserve. */
export function enginesToKeepUp(
  {inFlight, offered}: EngineDemand,
  slots: number,
): number {
  const busyEngines = (kind: WorkKind) =>
    Math.max(offered[kind], inFlight[kind] / Math.max(1, slots));
  return (busyEngines('interactive') + busyEngines('prompt')) / maxUtilization;
}
