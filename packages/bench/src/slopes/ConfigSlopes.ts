/**
 * Measures the size, parse time, apply time and memory of the operators'
 * configuration by number of workspaces.
 */
import type {ConfigHolder, Logger} from '@toucanrouter/daemon';
import {createConfigHolder, createWorkspaceKeys} from '@toucanrouter/daemon';
import {encodeConfig} from '@toucanrouter/peer';
import {parseClasses} from '@toucanrouter/settings';
import {measureRetainedBytes, measureMicrosPerCall} from './Cost.js';
import type {Point} from './Fit.js';
import {sampleConfig} from './SampleConfig.js';
import type {Measurement, Series} from './Series.js';
import {measurePoints} from './Series.js';
import {wireSizeBytes} from './WireBytes.js';

const workspaceCounts = [100, 400, 700, 1_000, 1_300];
const callsPerPoint = 20;

/** Turns a logged error into a failed measurement. */
const throwingLogger: Logger = {
  debug: () => {},
  error: message => {
    throw new Error(message);
  },
  info: () => {},
  warn: () => {},
};

function createHolder(): ConfigHolder {
  const holder = createConfigHolder(parseClasses, throwingLogger);
  const keys = createWorkspaceKeys();
  holder.registerChangeHandler(keys.apply);
  return holder;
}

function measureParse(workspaces: number): Point {
  const {classesText} = sampleConfig(workspaces, 1);
  const run = () => void parseClasses(classesText, 'sample');
  return {x: workspaces, y: measureMicrosPerCall(callsPerPoint, run)};
}

function measureApply(workspaces: number): Point {
  const holder = createHolder();
  const config = sampleConfig(workspaces, 1);
  let version = 0;
  const run = () => holder.offer({...config, version: ++version});
  return {x: workspaces, y: measureMicrosPerCall(callsPerPoint, run)};
}

function measureMemory(workspaces: number): Point {
  const retainedBytes = measureRetainedBytes(() => {
    const holder = createHolder();
    // A deep copy, so that no strings are shared with earlier calls.
    holder.offer(
      JSON.parse(JSON.stringify(sampleConfig(workspaces, 1))) as ReturnType<
        typeof sampleConfig
      >,
    );
    return holder;
  });
  return {x: workspaces, y: retainedBytes};
}

async function run(): Promise<readonly Series[]> {
  const x = 'workspaces';
  return [
    {
      key: 'config.bytes',
      title: 'a change passed on to one peer: the whole configuration',
      x,
      y: 'bytes',
      points: await measurePoints(workspaceCounts, workspaces => ({
        x: workspaces,
        y: wireSizeBytes(encodeConfig(sampleConfig(workspaces, 1))),
      })),
    },
    {
      key: 'config.parse',
      title: 'parsing and checking the classes file',
      x,
      y: 'µs',
      points: await measurePoints(workspaceCounts, measureParse),
    },
    {
      key: 'config.apply',
      title: 'taking a new version into effect, parsing included',
      x,
      y: 'µs',
      points: await measurePoints(workspaceCounts, measureApply),
    },
    {
      key: 'config.memory',
      title: 'memory of the configuration and the workspace keys',
      x,
      y: 'bytes',
      points: await measurePoints(workspaceCounts, measureMemory),
    },
  ];
}

/** Measurements of the operators' configuration. */
export const configSlopes: Measurement = {
  name: 'config',
  description: 'parseClasses, createConfigHolder and createWorkspaceKeys',
  run,
};
