/**
 * Command-line entry point of the scaling measurements, which fit the slope of
 * each cost over the size that causes it.
 */
import {readFileSync, writeFileSync} from 'node:fs';
import {parseArgs} from 'node:util';
import {designScale} from './CapacityScale.js';
import {createFindFit, formatCapacity} from './CapacityTable.js';
import {describeMachine} from './Machine.js';
import {measurements} from './Measurements.js';
import {replaceOutput} from './PageUpdate.js';
import type {FittedSeries, Measurement} from './Series.js';
import {fitSeries} from './Series.js';
import {formatSeries} from './SeriesTable.js';

const usage = `Usage: npm run slopes -- [options]

  --only NAME   ${measurements.map(m => m.name).join(', ')}; may be repeated
  --json        prints the points and fitted lines as JSON
  --from FILE   reads the output of an earlier run with --json
  --capacity    prints the capacity tables that follow from the slopes
  --page FILE   writes slopes and capacity tables between the page's markers
`;

function selectMeasurements(
  names: readonly string[] | undefined,
): readonly Measurement[] {
  if (names === undefined) return measurements;
  return names.map(name => {
    const found = measurements.find(m => m.name === name);
    if (found !== undefined) return found;
    const known = measurements.map(m => m.name).join(', ');
    throw new Error(`measurement "${name}" is not one of ${known}`);
  });
}

async function measureAll(
  selected: readonly Measurement[],
): Promise<readonly FittedSeries[]> {
  const all: FittedSeries[] = [];
  for (const {name, run} of selected) {
    process.stderr.write(`measuring ${name}\n`);
    all.push(...(await run()).map(fitSeries));
  }
  return all;
}

interface SavedRun {
  readonly machine: string;
  readonly series: readonly FittedSeries[];
}

async function loadOrMeasure(
  from: string | undefined,
  only: readonly string[] | undefined,
): Promise<SavedRun> {
  if (from !== undefined) {
    return JSON.parse(readFileSync(from, 'utf8')) as SavedRun;
  }
  return {
    machine: describeMachine(),
    series: await measureAll(selectMeasurements(only)),
  };
}

function formatRun(run: SavedRun, withCapacity: boolean): string {
  const slopes = `### Measured slopes\n\n${run.machine}\n\n${formatSeries(run.series)}\n`;
  if (!withCapacity) return slopes;
  const tables = formatCapacity(designScale, createFindFit(run.series));
  return `${slopes}\n${tables}\n`;
}

async function main(): Promise<void> {
  const {values} = parseArgs({
    options: {
      only: {type: 'string', multiple: true},
      json: {type: 'boolean', default: false},
      from: {type: 'string'},
      capacity: {type: 'boolean', default: false},
      page: {type: 'string'},
      help: {type: 'boolean', default: false},
    },
  });
  if (values.help) {
    process.stdout.write(usage);
    return;
  }
  const run = await loadOrMeasure(values.from, values.only);
  if (values.json) {
    process.stdout.write(`${JSON.stringify(run, undefined, 2)}\n`);
    return;
  }
  const output = formatRun(run, values.capacity || values.page !== undefined);
  if (values.page === undefined) {
    process.stdout.write(output);
    return;
  }
  const page = readFileSync(values.page, 'utf8');
  writeFileSync(values.page, replaceOutput(page, output));
}

await main();
