/**
 * Size, parse time, apply time and memory of the operators' configuration by
 * number of workspaces.
 */
import type {ConfigHolder, Logger} from '@toucanrouter/daemon';
import {createConfigHolder, createWorkspaceKeys} from '@toucanrouter/daemon';
import {encodeConfig} from '@toucanrouter/peer';
import {parseClasses} from '@toucanrouter/settings';
import {bytesHeldBy, microsPerCall} from './Cost.js';
import type {Point} from './Fit.js';
import {sampleConfig} from './SampleConfig.js';
import type {Measurement, Series} from './Series.js';
import {measurePoints} from './Series.js';
import {wireBytes} from './WireBytes.js';

const sizes = [100, 400, 700, 1_000, 1_300];
const parseCalls = 20;

const silentLogger: Logger = {
  debug: () => {},
  error: message => {
    throw new Error(message);
  },
  info: () => {},
  warn: () => {},
};

function createHolder(): ConfigHolder {
  const holder = createConfigHolder(parseClasses, silentLogger);
  const keys = createWorkspaceKeys();
  holder.registerChangeHandler(keys.apply);
  return holder;
}

function measureParse(workspaces: number): Point {
  const {classesText} = sampleConfig(workspaces, 1);
  const run = () => void parseClasses(classesText, 'sample');
  return {x: workspaces, y: microsPerCall(parseCalls, run)};
}

function measureApply(workspaces: number): Point {
  const holder = createHolder();
  const config = sampleConfig(workspaces, 1);
  let version = 0;
  const run = () => holder.offer({...config, version: ++version});
  return {x: workspaces, y: microsPerCall(parseCalls, run)};
}

function measureMemory(workspaces: number): Point {
  const heldBytes = bytesHeldBy(() => {
    const holder = createHolder();
    // A copy whose strings are not shared with those of earlier calls.
    holder.offer(
      JSON.parse(JSON.stringify(sampleConfig(workspaces, 1))) as ReturnType<
        typeof sampleConfig
      >,
    );
    return holder;
  });
  return {x: workspaces, y: heldBytes};
}

async function run(): Promise<readonly Series[]> {
  const x = 'workspaces';
  return [
    {
      key: 'config.bytes',
      title: 'a change passed on to one peer: the whole configuration',
      x,
      y: 'bytes',
      points: await measurePoints(sizes, workspaces => ({
        x: workspaces,
        y: wireBytes(encodeConfig(sampleConfig(workspaces, 1))),
      })),
    },
    {
      key: 'config.parse',
      title: 'parsing and checking the classes file',
      x,
      y: 'µs',
      points: await measurePoints(sizes, measureParse),
    },
    {
      key: 'config.apply',
      title: 'taking a new version into effect, parsing included',
      x,
      y: 'µs',
      points: await measurePoints(sizes, measureApply),
    },
    {
      key: 'config.memory',
      title: 'memory of the configuration and the workspace keys',
      x,
      y: 'bytes',
      points: await measurePoints(sizes, measureMemory),
    },
  ];
}

/** The operators' configuration. */
export const configSlopes: Measurement = {
  name: 'config',
  description: 'parseClasses, createConfigHolder and createWorkspaceKeys',
  run,
};
