/**
 * Runs random command sequences against a simulation of claim writers and
 * checks it with the oracle.
 */
import {invariant} from '@toucanrouter/common';
import fc from 'fast-check';
import {claimCommandArbitraries} from './ClaimCommands.js';
import type {ClaimSimulation} from './ClaimSimulation.js';
import {
  createClaimSimulation,
  fuzzLimits,
  flushPromises,
} from './ClaimSimulation.js';

/** Totals of a fuzzing run. */
export interface FuzzReport {
  readonly cases: number;
  /** Number of observations of each kind, over all cases. */
  readonly observations: Record<string, number>;
}

/** Runs `runs` cases from a seed; throws when a case violates the oracle. */
export async function runSuite(
  seed: number,
  runs: number,
): Promise<FuzzReport> {
  const observations: Record<string, number> = {};
  let cases = 0;
  const property = fc.asyncProperty(
    fc.commands(claimCommandArbitraries, {maxCommands: 250, size: 'max'}),
    fc.integer({min: 2, max: 3}),
    async (commands, writerCount) => {
      const simulation = createClaimSimulation(writerCount);
      cases++;
      await fc.asyncModelRun(() => ({model: {}, real: simulation}), commands);
      await runToQuiescence(simulation);
      await checkReleasedKeysAreFree(simulation);
      for (const [name, count] of Object.entries(
        simulation.oracle.observationCounts,
      )) {
        observations[name] = (observations[name] ?? 0) + count;
      }
    },
  );
  await fc.assert(property, {seed, numRuns: runs});
  return {cases, observations};
}

/** Ends all faults and completes everything that is in flight. */
async function runToQuiescence(simulation: ClaimSimulation): Promise<void> {
  for (let i = 0; i < simulation.writers.length; i++)
    simulation.setPaused(i, false);
  await processEverything(simulation);
  // Callers whose reply was dropped time out.
  for (const call of simulation.calls) simulation.abandonCall(call, 0);
  await processEverything(simulation);
}

async function processEverything(simulation: ClaimSimulation): Promise<void> {
  for (let round = 0; round < 30; round++) {
    for (const call of simulation.platform.pending()) call.respond();
    for (const message of simulation.messages.splice(0)) message.deliver();
    await flushPromises();
    simulation.clock.advance(100);
    await flushPromises();
    simulation.oracle.check();
  }
  invariant(simulation.messages.length === 0, 'all messages must be delivered');
  invariant(
    simulation.platform.pending().length === 0,
    'all platform calls must have a response',
  );
}

/**
 * Checks that a key is free when none of its calls ran and all were released.
 */
async function checkReleasedKeysAreFree(
  simulation: ClaimSimulation,
): Promise<void> {
  if (simulation.clock.nowMs() >= fuzzLimits.retentionMs) return;
  const before = [...simulation.calls];
  const keys = new Set(before.map(call => call.key));
  for (const key of keys) {
    if (simulation.oracle.runCount(key) > 0) continue;
    simulation.startCall(key, 'fresh', 0);
    await runToQuiescence(simulation);
    invariant(
      simulation.oracle.runCount(key) === 1,
      `released key ${key} must be free`,
    );
  }
}
