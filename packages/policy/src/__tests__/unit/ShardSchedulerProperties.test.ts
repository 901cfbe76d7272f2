/**
 * Arbitrary runs against SchedulerSimulation, which checks after every call
 * that no request is refused while a lower tier could be displaced, that tiers,
 * limits and maximum waits are respected, that each attempt is granted once,
 * that no permit leaks, that no slot is idle while a queued request could use
 * it, and that the counters are consistent.
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

// FUZZ_SEED and FUZZ_RUNS select other sequences than the default ones, and
// FUZZ_SHRINK reduces a failing sequence.
const seed = Number(process.env.FUZZ_SEED ?? 20);
const numRuns = Number(process.env.FUZZ_RUNS ?? 100);

describe('ShardScheduler: properties of arbitrary runs', () => {
  it('follows the rules in every state, and ends without running or queued requests', () => {
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
    // A run has several thousand steps, so shrinking it takes minutes.
    const endOnFailure = process.env.FUZZ_SHRINK === undefined;
    fc.assert(property, {seed, numRuns, endOnFailure});
    // Fails if the generator no longer produces these decisions.
    expect(covered.refused).to.be.greaterThan(numRuns);
    expect(covered.preempted).to.be.greaterThan(numRuns);
    expect(covered.granted).to.be.greaterThan(numRuns);
  });
});
