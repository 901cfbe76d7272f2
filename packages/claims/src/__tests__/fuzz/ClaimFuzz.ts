/**
 * Runs random command sequences against claim writers and the oracle.
 */
import {invariant} from '@toucanrouter/common';
import fc from 'fast-check';
import {claimCommands} from './ClaimCommands.js';
import type {ClaimWorld} from './ClaimWorld.js';
import {createClaimWorld, fuzzLimits, settle} from './ClaimWorld.js';

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
    fc.commands(claimCommands, {maxCommands: 250, size: 'max'}),
    fc.integer({min: 2, max: 3}),
    async (commands, writerCount) => {
      const world = createClaimWorld(writerCount);
      cases++;
      await fc.asyncModelRun(() => ({model: {}, real: world}), commands);
      await drain(world);
      await checkReleasedKeys(world);
      for (const [name, count] of Object.entries(world.oracle.counts)) {
        observations[name] = (observations[name] ?? 0) + count;
      }
    },
  );
  await fc.assert(property, {seed, numRuns: runs});
  return {cases, observations};
}

/** Ends all faults and lets everything that is under way finish. */
async function drain(world: ClaimWorld): Promise<void> {
  for (let i = 0; i < world.writers.length; i++) world.setPaused(i, false);
  await answerEverything(world);
  // Callers whose answer was dropped run into their timeout.
  for (const call of world.calls) world.giveUp(call, 0);
  await answerEverything(world);
}

async function answerEverything(world: ClaimWorld): Promise<void> {
  for (let round = 0; round < 30; round++) {
    for (const call of world.platform.pending()) call.answer();
    for (const message of world.messages.splice(0)) message.deliver();
    await settle();
    world.clock.advance(100);
    await settle();
    world.oracle.check();
  }
  invariant(world.messages.length === 0, 'all messages are delivered');
  invariant(world.platform.pending().length === 0, 'all calls are answered');
}

/** A key that no call ran, and whose claims were all released, is free. */
async function checkReleasedKeys(world: ClaimWorld): Promise<void> {
  if (world.clock.nowMs() >= fuzzLimits.retentionMs) return;
  const before = [...world.calls];
  const keys = new Set(before.map(call => call.key));
  for (const key of keys) {
    if (world.oracle.runsOf(key) > 0) continue;
    world.startCall(key, 'fresh', 0);
    await drain(world);
    invariant(world.oracle.runsOf(key) === 1, `released key ${key} is free`);
  }
}
