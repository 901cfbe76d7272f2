/**
 * Demo: starts both deployments in turn, runs a load of all their classes for
 * some seconds and prints the addresses and results.
 */
import {parseArgs} from 'node:util';
import type {Deployment} from '../deployment/Deployment.js';
import {createDeployment} from '../deployment/Deployment.js';
import type {DeploymentName} from '../deployment/DeploymentShape.js';
import type {StoppedProcess} from '../deployment/ProcessGroup.js';
import {formatLoadTable} from '../load/LoadTable.js';
import {numberFlag} from '../shared/ProcessUtils.js';

const {values} = parseArgs({
  options: {
    seconds: {type: 'string', default: '10'},
    seed: {type: 'string', default: '1'},
    'rate-factor': {type: 'string', default: '1'},
    only: {type: 'string'},
  },
});

const allNames: readonly DeploymentName[] = ['tkacik', 'plamenik'];
const names = allNames.filter(name => (values.only ?? name) === name);
if (names.length === 0) throw new Error(`--only must be one of ${allNames}`);

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function printAddresses(deployment: Deployment): void {
  for (const role of ['platform', 'engine', 'service', 'router'] as const) {
    for (const name of deployment.names(role)) {
      const admin = deployment.adminAddressOf(name);
      const suffix = admin === '' ? '' : `  admin ${admin}`;
      print(`  ${name.padEnd(12)} ${deployment.addressOf(name)}${suffix}`);
    }
  }
}

/** Runs the load and returns the number of faults found. */
async function driveLoad(deployment: Deployment): Promise<number> {
  const seconds = numberFlag('seconds', values.seconds);
  const seed = numberFlag('seed', values.seed);
  const rateFactor = numberFlag('rate-factor', values['rate-factor']);
  print(`load for ${seconds} s, seed ${seed}, times in ms`);
  const {summaries, faults} = await deployment.load({
    seconds,
    seed,
    rateFactor,
  });
  print(formatLoadTable(summaries));
  for (const {classId, requestId, message} of faults) {
    print(`FAULT ${classId} ${requestId}: ${message}`);
  }
  return faults.length;
}

/** Prints unclean exits and returns their number. */
function reportStops(stopped: readonly StoppedProcess[]): number {
  const unclean = stopped.filter(({exit}) => exit?.code !== 0);
  for (const {name, exit} of unclean) {
    print(`${name} did not stop cleanly: ${JSON.stringify(exit)}`);
  }
  print(`${stopped.length - unclean.length} processes stopped with code 0`);
  return unclean.length;
}

async function runDemo(name: DeploymentName): Promise<number> {
  print(`${name}: starting; files are in .run/${name}`);
  const deployment = await createDeployment({name});
  let faults = 1;
  try {
    printAddresses(deployment);
    faults = await driveLoad(deployment);
  } finally {
    faults += reportStops(await deployment.stopAll());
  }
  return faults;
}

let faults = 0;
for (const name of names) faults += await runDemo(name);
process.exitCode = faults > 0 ? 1 : 0;
