import {expect} from 'chai';
import {computeCapacity} from '../../Capacity.js';
import {computeRunFigures} from '../../Measurements.js';
import {scenarios} from '../../Scenarios.js';
import {runScenario} from '../../Simulation.js';
import {variants} from '../../Variants.js';
import {loadWorkload} from '../../Workload.js';

function runSimulation(variantName: string, scenarioName: string) {
  const workload = loadWorkload('tkacik');
  const capacity = computeCapacity(workload);
  const variant = variants.find(({name}) => name === variantName)!;
  const fullScenario = scenarios.find(({name}) => name === scenarioName)!;
  const scenario = {...fullScenario, durationMs: 30_000, warmupMs: 5000};
  const options = {workload, capacity, scenario, variant, seed: 7};
  const {exchanges} = runScenario(options);
  return {
    exchanges,
    figures: computeRunFigures(workload, capacity, scenario, exchanges),
  };
}

describe('runScenario', () => {
  it('returns the same figures for the same seed, so that runs are comparable', () => {
    expect(runSimulation('shard', 'double').figures).to.deep.equal(
      runSimulation('shard', 'double').figures,
    );
  });

  for (const {name} of variants) {
    it(`leaves no request unfinished and no permit in use under ${name}`, () => {
      const {exchanges} = runSimulation(name, 'double');
      const outcomes = exchanges.map(({outcome}) => outcome);
      expect(outcomes).not.to.include(undefined);
      for (const {outcome, receivedTokens, arrival, attempts} of exchanges) {
        expect(attempts.size).to.equal(0);
        if (outcome === 'completed')
          expect(receivedTokens).to.equal(arrival.outputTokens);
        if (outcome === 'refused') expect(receivedTokens).to.equal(0);
      }
    });
  }
});
