/**
 * Command-line entry point of the placement benchmark.
 */
import {parseArgs} from 'node:util';
import {formatFleetReport} from './FleetReport.js';
import {fleetScenarios} from './FleetScenarios.js';
import {runFleet} from './FleetSimulation.js';
import {knowledgeVariants} from './KnowledgeVariants.js';

const usage = `Usage: npm run bench:placement -- [options]

  --seeds N           number of seeds for each variant, from 1 (default 3)
  --scenario NAME     ${fleetScenarios.map(({name}) => name).join(', ')}
  --variant NAME      ${knowledgeVariants.map(({name}) => name).join(', ')}

--scenario and --variant may be repeated; without them everything runs.
`;

function main(): void {
  const {values} = parseArgs({
    options: {
      seeds: {type: 'string', default: '3'},
      scenario: {type: 'string', multiple: true},
      variant: {type: 'string', multiple: true},
      help: {type: 'boolean', default: false},
    },
  });
  if (values.help) {
    process.stdout.write(usage);
    return;
  }
  const seeds = Array.from({length: Number(values.seeds)}, (_, i) => i + 1);
  const isSelected = (names: readonly string[] | undefined, name: string) =>
    names === undefined || names.includes(name);
  for (const scenario of fleetScenarios) {
    if (!isSelected(values.scenario, scenario.name)) continue;
    const runs = knowledgeVariants
      .filter(({name}) => isSelected(values.variant, name))
      .map(({name, variant}) => ({
        variant: name,
        results: seeds.map(seed => runFleet(scenario, seed, variant)),
      }));
    process.stdout.write(`${formatFleetReport(scenario, runs)}\n`);
  }
}

main();
