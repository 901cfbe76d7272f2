/**
 * Runs random command sequences against claim writers and the oracle.
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

/** What a fuzzing run saw. */
export interface FuzzReport {
  readonly cases: number;
  /** How often each observation was made, over all cases. */
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

/** Ends all faults and lets everything that is under way finish. */
async function runToQuiescence(simulation: ClaimSimulation): Promise<void> {
  for (let i = 0; i < simulation.writers.length; i++)
    simulation.setPaused(i, false);
  await processEverything(simulation);
  // Callers whose answer was dropped run into their timeout.
  for (const call of simulation.calls) simulation.abandonCall(call, 0);
  await processEverything(simulation);
}

async function processEverything(simulation: ClaimSimulation): Promise<void> {
  for (let round = 0; round < 30; round++) {
    for (const call of simulation.platform.pending()) call.answer();
    for (const message of simulation.messages.splice(0)) message.deliver();
    await flushPromises();
    simulation.clock.advance(100);
    await flushPromises();
    simulation.oracle.check();
  }
  invariant(simulation.messages.length === 0, 'all messages are delivered');
  invariant(
    simulation.platform.pending().length === 0,
    'all calls are answered',
  );
}

/** A key that no call ran, and whose claims were all released, is free. */
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
      `released key ${key} is free`,
    );
  }
}
