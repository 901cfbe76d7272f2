import {expect} from 'chai';
import {capacityOf} from '../../Capacity.js';
import {measure} from '../../Measurements.js';
import {scenarios} from '../../Scenarios.js';
import {runScenario} from '../../Simulation.js';
import {variants} from '../../Variants.js';
import {loadWorkload} from '../../Workload.js';

function run(variantName: string, scenarioName: string) {
  const workload = loadWorkload('tkacik');
  const capacity = capacityOf(workload);
  const variant = variants.find(({name}) => name === variantName)!;
  const full = scenarios.find(({name}) => name === scenarioName)!;
  const scenario = {...full, durationMs: 30_000, warmupMs: 5000};
  const options = {workload, capacity, scenario, variant, seed: 7};
  const {exchanges} = runScenario(options);
  return {
    exchanges,
    figures: measure(workload, capacity, scenario, exchanges),
  };
}

describe('runScenario', () => {
  it('gives the same figures for the same seed, so that rounds compare', () => {
    expect(run('shard', 'double').figures).to.deep.equal(
      run('shard', 'double').figures,
    );
  });

  for (const {name} of variants) {
    it(`ends every request exactly once under ${name}`, () => {
      const {exchanges} = run(name, 'double');
      const ends = exchanges.map(({end}) => end);
      expect(ends).not.to.include(undefined);
      for (const {end, received, arrival, attempts} of exchanges) {
        expect(attempts.size).to.equal(0);
        if (end === 'completed')
          expect(received).to.equal(arrival.outputTokens);
        if (end === 'refused') expect(received).to.equal(0);
      }
    });
  }
});
