/**
 * Arbitrary runs against the model in SchedulerWorld, which checks after every
 * call: no refusal above a tier that could be displaced, tier order, limits,
 * waits within their bounds, one grant for each attempt, no leaked permit, no
 * idle slot that a waiting request could use, and consistent counters.
 */
import type {Tier} from '@toucanrouter/common';
import {expect} from 'chai';
import fc from 'fast-check';
import type {SimulationStep} from './SchedulerSimulation.js';
import {createSimulation} from './SchedulerSimulation.js';

const tier = fc.constantFrom<Tier>(1, 2, 3, 4);
const pick = fc.nat(50);
const jobMs = fc.integer({min: 50, max: 2000});

function kind<K extends SimulationStep['kind']>(name: K): fc.Arbitrary<K> {
  return fc.constant(name);
}

const arrive = fc.record({
  kind: kind('arrive'),
  tier,
  jobMs,
  callerTimeoutMs: fc.constantFrom(100, 700, 5000, 60_000),
  idempotent: fc.integer({min: 0, max: 4}).map(n => n > 0),
  holder: fc.nat(1),
  exclude: fc.nat(7).map(n => n === 0),
});
const wait = fc.record({
  kind: kind('wait'),
  ticks: fc.constantFrom(1, 1, 3, 10, 40),
});
const existingRequest = fc.record({
  kind: fc.constantFrom('cancel', 'hedge', 'repeat'),
  pick,
});
const limits = fc.record({
  kind: kind('limits'),
  limits: fc.array(fc.nat(3), {minLength: 3, maxLength: 3}),
});
const state = fc.constantFrom(
  'absent',
  'healthy',
  'healthy',
  'leaving',
  'suspect',
);
const upstreams = fc.record({
  kind: kind('upstreams'),
  states: fc.array(state, {minLength: 3, maxLength: 3}),
});
const classes = fc.record({
  kind: kind('classes'),
  tiers: fc.array(tier, {minLength: 4, maxLength: 4}),
});
const rareStep = fc.oneof(
  limits,
  upstreams,
  classes,
  fc.record({kind: kind('adopt'), tier, jobMs}),
  fc.record({kind: kind('drop'), holder: fc.nat(1)}),
);
const step: fc.Arbitrary<SimulationStep> = fc.oneof(
  {weight: 12, arbitrary: arrive},
  {weight: 5, arbitrary: wait},
  {weight: 2, arbitrary: existingRequest},
  {weight: 1, arbitrary: rareStep},
);

// FUZZ_SEED and FUZZ_RUNS run other sequences than the fixed ones, and
// FUZZ_SHRINK reduces a failing one.
const seed = Number(process.env.FUZZ_SEED ?? 20);
const numRuns = Number(process.env.FUZZ_RUNS ?? 100);

describe('ShardScheduler: properties of arbitrary runs', () => {
  it('keeps the rules in every state, and ends with nothing held or waiting', () => {
    const covered = {granted: 0, refused: 0, preempted: 0};
    const steps = fc.array(step, {minLength: 20, maxLength: 150, size: 'max'});
    const property = fc.property(steps, sequence => {
      const simulation = createSimulation();
      sequence.forEach(simulation.run);
      simulation.run({kind: 'limits', limits: [3, 3, 3]});
      simulation.run({kind: 'upstreams', states: Array(3).fill('healthy')});
      simulation.drain(2000);
      expect(simulation.remaining()).to.deep.equal({waiting: 0, running: 0});
      covered.granted += simulation.totals.granted;
      covered.refused += simulation.totals.refused;
      covered.preempted += simulation.totals.preempted;
    });
    // A run has some thousand steps; shrinking one takes minutes.
    const endOnFailure = process.env.FUZZ_SHRINK === undefined;
    fc.assert(property, {seed, numRuns, endOnFailure});
    // Guards against a generator that no longer reaches these decisions.
    expect(covered.refused).to.be.greaterThan(numRuns);
    expect(covered.preempted).to.be.greaterThan(numRuns);
    expect(covered.granted).to.be.greaterThan(numRuns);
  });
});
