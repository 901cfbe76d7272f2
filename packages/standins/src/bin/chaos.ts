/**
 * Runs a load on a deployment with random faults, determined by a seed, and
 * checks the results with the oracle:
 * `chaos --only tkacik --seed 1 --runs 3 --seconds 20`.
 * Exits with 1 if a run shows a fault.
 */
import {parseArgs} from 'node:util';
import {runChaos} from '../deployment/Chaos.js';
import {createDeployment} from '../deployment/Deployment.js';
import type {DeploymentName} from '../deployment/DeploymentShape.js';
import {formatLoadTable} from '../load/LoadTable.js';
import {numberFlag} from '../shared/ProcessUtils.js';

const {values} = parseArgs({
  options: {
    only: {type: 'string', default: 'tkacik'},
    seed: {type: 'string', default: '1'},
    runs: {type: 'string', default: '1'},
    seconds: {type: 'string', default: '20'},
    'rate-factor': {type: 'string', default: '0.5'},
  },
});

const name = values.only as DeploymentName;
const seconds = numberFlag('seconds', values.seconds);
const rateFactor = numberFlag('rate-factor', values['rate-factor']);

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Runs one seed and returns the number of faults found. */
async function runOnce(seed: number): Promise<number> {
  const directory = `chaos-${name}-${seed}`;
  const deployment = await createDeployment({name, directory});
  try {
    const [report, events] = await Promise.all([
      deployment.load({seconds, seed, rateFactor}),
      runChaos(deployment, seconds, seed),
    ]);
    for (const {atMs, description} of events)
      print(`  ${atMs} ms: ${description}`);
    print(formatLoadTable(report.summaries));
    for (const {classId, requestId, message} of report.faults) {
      print(`FAULT ${classId} ${requestId}: ${message}`);
    }
    return report.faults.length;
  } finally {
    const stopped = await deployment.stopAll();
    const unclean = stopped.filter(({exit}) => exit?.code !== 0);
    if (unclean.length > 0) print(`FAULT stops: ${JSON.stringify(unclean)}`);
    if (unclean.length > 0) process.exitCode = 1;
  }
}

const firstSeed = numberFlag('seed', values.seed);
const runs = numberFlag('runs', values.runs);
for (let seed = firstSeed; seed < firstSeed + runs; seed++) {
  print(`${name}, seed ${seed}, ${seconds} s`);
  if ((await runOnce(seed)) > 0) process.exitCode = 1;
}
