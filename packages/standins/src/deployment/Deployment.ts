/**
 * Runs a complete deployment as processes on loopback: platform, engines, plain
 * services and router instances. Used by the demo and the process-level tests.
 */
import {mkdirSync, readFileSync, rmSync} from 'node:fs';
import {join} from 'node:path';
import type {ServiceClass} from '@toucanrouter/common';
import {parseClasses} from '@toucanrouter/settings';
import type {EngineSwitchChange} from '../engine/EngineSwitches.js';
import type {EntryPool} from '../load/EntryPool.js';
import {createReadyPool} from '../load/EntryPool.js';
import type {LoadOptions, LoadRunReport} from '../load/LoadDriver.js';
import {runLoad} from '../load/LoadDriver.js';
import type {LoadProfile} from '../load/LoadProfile.js';
import {readLoadProfile} from '../load/LoadProfile.js';
import type {UpstreamRuns} from '../load/UpstreamRuns.js';
import type {SwitchChangeInput} from '../store/Switches.js';
import type {ServiceSwitchChange} from '../service/ServiceSwitches.js';
import {
  applyClassesAt,
  configVersion,
  isReady,
  postSwitches,
} from './AdminClient.js';
import {runDirectory, samplesDirectory} from './DeploymentConstants.js';
import {readDeploymentRuns} from './DeploymentRuns.js';
import type {DeploymentName, DeploymentShape} from './DeploymentShape.js';
import {deploymentShapes} from './DeploymentShape.js';
import type {DeploymentRole} from './ProcessPlan.js';
import {planProcesses} from './ProcessPlan.js';
import type {ProcessGroup, StoppedProcess} from './ProcessGroup.js';
import {createProcessGroup} from './ProcessGroup.js';
import {writeRouterFiles} from './RouterFiles.js';
import {waitUntil} from './WaitUntil.js';

export interface DeploymentOptions {
  readonly name: DeploymentName;
  /** Overrides parts of the deployment's default shape. */
  readonly shape?: Partial<DeploymentShape>;
  /** Directory below `.run/`; by default the deployment's name. */
  readonly directory?: string;
  /** Time until changes of the instance list become visible. */
  readonly listLagMs?: number;
  readonly logLevel?: string;
}

/** Options of a load run on a deployment. */
export type DeploymentLoad = Partial<
  Pick<LoadOptions, 'profile' | 'rateFactor' | 'seed' | 'tag'>
> &
  Pick<LoadOptions, 'seconds'>;

/** A change of the switches of any stand-in. */
export type AnySwitchChange =
  EngineSwitchChange | ServiceSwitchChange | SwitchChangeInput;

export interface Deployment {
  readonly name: DeploymentName;
  readonly classes: readonly ServiceClass[];
  readonly classesText: string;
  readonly profile: LoadProfile;
  names(role: DeploymentRole): readonly string[];
  /** Returns `host:port` for callers, or of the stand-in's HTTP server. */
  addressOf(name: string): string;
  /** Returns `host:port` of a router's administration API. */
  adminAddressOf(name: string): string;
  /** Applies a classes file and waits until it is in force on every router. */
  applyClasses(text: string): Promise<void>;
  /** Runs a load; several can run concurrently. */
  load(options: DeploymentLoad): Promise<LoadRunReport>;
  readRuns(): Promise<UpstreamRuns>;
  switch(name: string, change: AnySwitchChange): Promise<void>;
  /** Kills a process (SIGKILL) and waits until it has exited. */
  kill(name: string): Promise<void>;
  pause(name: string): void;
  resume(name: string): void;
  /** Stops a process (SIGTERM) and waits until it has exited. */
  stop(name: string): Promise<StoppedProcess>;
  /** Restarts an exited process with the same addresses. */
  restart(name: string): Promise<void>;
  /** Stops all running processes. */
  stopAll(): Promise<readonly StoppedProcess[]>;
}

/** Starts a deployment and waits until every router is ready. */
export async function createDeployment(
  options: DeploymentOptions,
): Promise<Deployment> {
  const directory = join(runDirectory, options.directory ?? options.name);
  const group = await prepareProcesses(options, directory);
  const {classes, classesText} = readClasses(options.name);
  const profile = readLoadProfile(
    join(samplesDirectory, `${options.name}.load.ini`),
  );
  try {
    await startProcesses(group, classesText);
  } catch (error) {
    await group.stopAll();
    throw error;
  }
  const tagOf = createTagger(options.name);
  const readRuns = (): Promise<UpstreamRuns> => readDeploymentRuns(group);
  return {
    name: options.name,
    classes,
    classesText,
    profile,
    names: role => group.ofRole(role).map(plan => plan.name),
    addressOf: name => group.planOf(name).address,
    adminAddressOf: name => group.planOf(name).adminAddress ?? '',
    applyClasses: text => applyClasses(group, text),
    load: async load => {
      const entries = createRouterPool(group);
      const tag = tagOf(load.seed ?? profile.load.seed);
      const report = await runLoad({
        profile,
        classes,
        entries,
        tag,
        readRuns,
        ...load,
      });
      entries.close();
      return report;
    },
    readRuns,
    switch: (name, change) => postSwitches(group.planOf(name).address, change),
    kill: group.kill,
    pause: name => group.signal(name, 'SIGSTOP'),
    resume: name => group.signal(name, 'SIGCONT'),
    stop: group.stop,
    restart: async name => {
      await group.start(name);
      await waitUntilReady(group, name);
    },
    stopAll: group.stopAll,
  };
}

/** Gives each load run its own tag, so that its requests are distinct. */
function createTagger(name: DeploymentName): (seed: number) => string {
  let loads = 0;
  return seed => `${name}-${seed}-${++loads}`;
}

/** Rotates over the ready routers, as the platform's load balancer does. */
function createRouterPool(group: ProcessGroup): EntryPool {
  const entries = group.ofRole('router').map(({address, adminAddress}) => ({
    address,
    isReady: () => isReady(adminAddress ?? ''),
  }));
  return createReadyPool(entries);
}

function readClasses(name: DeploymentName) {
  const file = join(samplesDirectory, `${name}.classes.ini`);
  const classesText = readFileSync(file, 'utf8');
  const parsed = parseClasses(classesText, file);
  if (parsed.isErr()) throw parsed.error;
  return {classesText, classes: parsed.value.classes};
}

/** Plans the processes and writes the router settings files. */
async function prepareProcesses(
  options: DeploymentOptions,
  directory: string,
): Promise<ProcessGroup> {
  const shape = {...deploymentShapes[options.name], ...options.shape};
  rmSync(directory, {recursive: true, force: true});
  mkdirSync(directory, {recursive: true});
  const plan = await planProcesses(shape, directory, options.listLagMs ?? 0);
  writeRouterFiles(
    {
      directory,
      region: shape.region,
      keyValueAddress: plan.keyValueAddress,
      instanceListUrl: plan.instanceListUrl,
      logLevel: options.logLevel ?? 'info',
    },
    plan.routers,
  );
  return createProcessGroup(plan.processes, directory);
}

async function startProcesses(
  group: ProcessGroup,
  classesText: string,
): Promise<void> {
  const namesOf = (role: DeploymentRole): readonly string[] =>
    group.ofRole(role).map(plan => plan.name);
  await group.start('platform');
  const upstreams = [...namesOf('engine'), ...namesOf('service')];
  await Promise.all(upstreams.map(group.start));
  await Promise.all(namesOf('router').map(group.start));
  await applyWhenServed(group, classesText);
  await Promise.all(namesOf('router').map(name => waitUntilReady(group, name)));
}

/**
 * Routers are ready only with a configuration, so the first one comes before.
 */
async function applyWhenServed(
  group: ProcessGroup,
  classesText: string,
): Promise<void> {
  let reason = 'no attempt was made';
  const accepted = async (): Promise<boolean> => {
    for (const {name} of group.ofRole('router')) {
      if (!group.isRunning(name)) throw new Error(`${name} exited early`);
    }
    try {
      await applyClasses(group, classesText);
      return true;
    } catch (error) {
      reason = String(error);
      return false;
    }
  };
  await waitUntil('the classes file is accepted', accepted).catch(error => {
    throw new Error(`${String(error)}; last attempt: ${reason}`);
  });
}

async function applyClasses(group: ProcessGroup, text: string): Promise<void> {
  const [first] = group.runningOf('router');
  if (first === undefined) throw new Error('no router is running');
  const address = first.adminAddress ?? '';
  await applyClassesAt(address, text);
  const version = await configVersion(address);
  await waitUntil(`version ${version} is in force`, async () => {
    const versions = await Promise.all(
      group.runningOf('router').map(p => configVersion(p.adminAddress ?? '')),
    );
    return versions.every(v => v >= version);
  });
}

async function waitUntilReady(
  group: ProcessGroup,
  name: string,
): Promise<void> {
  const {adminAddress} = group.planOf(name);
  if (adminAddress === undefined) return;
  await waitUntil(`${name} is ready`, () => {
    if (!group.isRunning(name)) throw new Error(`${name} exited early`);
    return isReady(adminAddress);
  });
}
