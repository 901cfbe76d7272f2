/**
 * Command-line entry point of the scheduling benchmark.
 */
import {parseArgs} from 'node:util';
import {computeCapacity} from './Capacity.js';
import {computeRunFigures} from './Measurements.js';
import type {ReportRow} from './Report.js';
import {formatReport} from './Report.js';
import type {Scenario} from './Scenarios.js';
import {scenarios} from './Scenarios.js';
import {runScenario} from './Simulation.js';
import type {Variant} from './Variants.js';
import {variants} from './Variants.js';
import type {Workload} from './Workload.js';
import {loadWorkload} from './Workload.js';

const deployments = ['tkacik', 'plamenik'];

const usage = `Usage: npm run bench -- [options]

  --seed N            seed of arrivals and random choices (default 1)
  --deployment NAME   ${deployments.join(', ')}
  --scenario NAME     ${scenarios.map(s => s.name).join(', ')}
  --variant NAME      ${variants.map(v => v.name).join(', ')}

Options other than --seed may be repeated; without them everything runs.
`;

interface Named {
  readonly name: string;
}

/** Returns the items with the given names, or all if `names` is absent. */
function selectByName<T extends Named>(
  what: string,
  available: readonly T[],
  names: readonly string[] | undefined,
): readonly T[] {
  if (names === undefined) return available;
  return names.map(name => {
    const found = available.find(member => member.name === name);
    if (found !== undefined) return found;
    const availableNames = available.map(member => member.name).join(', ');
    throw new Error(`${what} "${name}" is not one of ${availableNames}`);
  });
}

function runDeployment(
  workload: Workload,
  selectedScenarios: readonly Scenario[],
  selectedVariants: readonly Variant[],
  seed: number,
): ReportRow[] {
  const capacity = computeCapacity(workload);
  return selectedScenarios.flatMap(scenario =>
    selectedVariants.map(variant => {
      const options = {workload, capacity, scenario, variant, seed};
      const {exchanges} = runScenario(options);
      const figures = computeRunFigures(
        workload,
        capacity,
        scenario,
        exchanges,
      );
      return {scenario: scenario.name, variant: variant.name, figures};
    }),
  );
}

function main(): void {
  const {values} = parseArgs({
    options: {
      seed: {type: 'string', default: '1'},
      deployment: {type: 'string', multiple: true},
      scenario: {type: 'string', multiple: true},
      variant: {type: 'string', multiple: true},
      help: {type: 'boolean', default: false},
    },
  });
  if (values.help) {
    process.stdout.write(usage);
    return;
  }
  const seed = Number(values.seed);
  const workloads = deployments.map(loadWorkload);
  const selectedScenarios = selectByName(
    'Scenario',
    scenarios,
    values.scenario,
  );
  const selectedVariants = selectByName('Variant', variants, values.variant);
  for (const workload of selectByName(
    'Deployment',
    workloads,
    values.deployment,
  )) {
    const rows = runDeployment(
      workload,
      selectedScenarios,
      selectedVariants,
      seed,
    );
    process.stdout.write(`${formatReport(workload, rows)}\n`);
  }
}

main();
