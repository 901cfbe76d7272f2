/**
 * Entry point of the load driver. Exits with 1 if the oracle finds a fault.
 */
import {readFileSync} from 'node:fs';
import {parseArgs} from 'node:util';
import {parseClasses} from '@toucanrouter/settings';
import {createFixedPool} from '../load/EntryPool.js';
import {runLoad} from '../load/LoadDriver.js';
import {readLoadProfile} from '../load/LoadProfile.js';
import {formatLoadTable} from '../load/LoadTable.js';
import {readUpstreamRuns} from '../load/UpstreamRuns.js';
import {numberFlag} from '../shared/ProcessUtils.js';

const {values} = parseArgs({
  options: {
    profile: {type: 'string'},
    classes: {type: 'string'},
    entries: {type: 'string'},
    engines: {type: 'string', default: ''},
    services: {type: 'string', default: ''},
    seconds: {type: 'string', default: '10'},
    seed: {type: 'string'},
    tag: {type: 'string'},
    'rate-factor': {type: 'string', default: '1'},
    json: {type: 'boolean', default: false},
  },
});

function requiredFlag(name: 'classes' | 'entries' | 'profile'): string {
  const value = values[name];
  if (value === undefined) throw new Error(`--${name} is missing`);
  return value;
}

function parseAddresses(text: string): readonly string[] {
  return text.split(',').filter(address => address !== '');
}

const classesFile = requiredFlag('classes');
const classes = parseClasses(readFileSync(classesFile, 'utf8'), classesFile);
if (classes.isErr()) throw classes.error;
const report = await runLoad({
  profile: readLoadProfile(requiredFlag('profile')),
  classes: classes.value.classes,
  entries: createFixedPool(parseAddresses(requiredFlag('entries'))),
  seconds: numberFlag('seconds', values.seconds),
  seed: values.seed === undefined ? undefined : numberFlag('seed', values.seed),
  rateFactor: numberFlag('rate-factor', values['rate-factor']),
  tag: values.tag,
  readRuns: () =>
    readUpstreamRuns(
      parseAddresses(values.engines),
      parseAddresses(values.services),
    ),
});

const {seed, seconds, summaries, faults, runs} = report;
if (values.json) {
  const {unreachable} = runs;
  const document = {seed, seconds, classes: summaries, faults, unreachable};
  process.stdout.write(`${JSON.stringify(document, null, 2)}\n`);
} else {
  process.stdout.write(`seed ${seed}, ${seconds} s, times in ms\n`);
  process.stdout.write(`${formatLoadTable(summaries)}\n`);
  for (const address of runs.unreachable) {
    process.stdout.write(`runs of ${address} are missing\n`);
  }
  for (const {requestId, classId, message} of faults) {
    process.stdout.write(`FAULT ${classId} ${requestId}: ${message}\n`);
  }
}
process.exitCode = faults.length > 0 ? 1 : 0;
