/**
 * Plans the processes of a deployment: names, addresses and arguments.
 */
import {join} from 'node:path';
import {invariant} from '@toucanrouter/common';
import {routerScript, standInBin} from './DeploymentConstants.js';
import type {DeploymentShape} from './DeploymentShape.js';
import {findFreePorts} from './FreePorts.js';
import type {RouterAddresses} from './RouterFiles.js';
import {settingsFileOf} from './RouterFiles.js';

export type DeploymentRole = 'engine' | 'platform' | 'router' | 'service';

/** Name, addresses and command line of one process of a deployment. */
export interface ProcessPlan {
  readonly name: string;
  readonly role: DeploymentRole;
  /** `host:port` for callers, or of the stand-in's HTTP server. */
  readonly address: string;
  /** `host:port` of a router's administration API. */
  readonly adminAddress?: string;
  /** File for the run records of an upstream. */
  readonly runsFile?: string;
  readonly script: string;
  readonly args: readonly string[];
}

export interface DeploymentPlan {
  readonly keyValueAddress: string;
  readonly instanceListUrl: string;
  readonly routers: readonly RouterAddresses[];
  readonly processes: readonly ProcessPlan[];
}

interface PlanContext {
  readonly shape: DeploymentShape;
  readonly directory: string;
  readonly instanceListUrl: string;
  /** Returns the next free address. */
  readonly nextAddress: () => string;
}

const portsPerRouter = 3;
const platformPorts = 2;

/** Plans the processes and assigns free loopback ports to them. */
export async function planProcesses(
  shape: DeploymentShape,
  directory: string,
  listLagMs: number,
): Promise<DeploymentPlan> {
  const ports = [...(await findFreePorts(countPorts(shape)))];
  const nextAddress = (): string => `127.0.0.1:${ports.shift()}`;
  const keyValueAddress = nextAddress();
  const platformAddress = nextAddress();
  const instanceListUrl = `http://${platformAddress}/instances`;
  const context = {shape, directory, instanceListUrl, nextAddress};
  const routers = planRouters(context);
  return {
    keyValueAddress,
    instanceListUrl,
    routers,
    processes: [
      planPlatform(keyValueAddress, platformAddress, listLagMs),
      ...planEngines(context),
      ...planServices(context),
      ...routers.map(router => planRouterProcess(directory, router)),
    ],
  };
}

function countPorts(shape: DeploymentShape): number {
  const services = shape.services.reduce((sum, s) => sum + s.count, 0);
  const routers = shape.routerCount * portsPerRouter;
  return platformPorts + shape.engineCount + services + routers;
}

function planPlatform(
  keyValueAddress: string,
  address: string,
  listLagMs: number,
): ProcessPlan {
  return {
    name: 'platform',
    role: 'platform',
    address,
    script: join(standInBin, 'platform.js'),
    args: [
      ...['--kv-port', portOf(keyValueAddress)],
      ...['--http-port', portOf(address)],
      ...['--list-lag-ms', String(listLagMs)],
    ],
  };
}

function planEngines(context: PlanContext): ProcessPlan[] {
  const {engineCount, engineProfile, model} = context.shape;
  const flags = Object.entries(engineProfile).flatMap(([key, value]) => [
    `--${toFlag(key)}`,
    String(value),
  ]);
  return Array.from({length: engineCount}, (_, index) =>
    planUpstream(context, 'engine', `engine-${index + 1}`, index, [
      ...['--model', model],
      ...flags,
    ]),
  );
}

function planServices(context: PlanContext): ProcessPlan[] {
  return context.shape.services.flatMap(({service, count, workMs}) =>
    Array.from({length: count}, (_, index) =>
      planUpstream(context, 'service', `${service}-${index + 1}`, index, [
        ...['--service', service],
        ...['--work-ms', String(workMs)],
      ]),
    ),
  );
}

function planUpstream(
  context: PlanContext,
  role: 'engine' | 'service',
  name: string,
  index: number,
  args: readonly string[],
): ProcessPlan {
  const address = context.nextAddress();
  const runsFile = join(context.directory, `${name}.runs`);
  return {
    name,
    role,
    address,
    runsFile,
    script: join(standInBin, `${role}.js`),
    args: [
      ...['--id', name],
      ...['--port', portOf(address)],
      ...['--list-url', context.instanceListUrl],
      ...['--region', context.shape.region],
      ...['--failure-domain', failureDomainOf(context.shape, index)],
      ...['--runs-file', runsFile],
      ...args,
    ],
  };
}

function planRouters(context: PlanContext): readonly RouterAddresses[] {
  const {shape, nextAddress} = context;
  return Array.from({length: shape.routerCount}, (_, index) => ({
    name: `router-${index + 1}`,
    callers: nextAddress(),
    admin: nextAddress(),
    peers: nextAddress(),
    failureDomain: failureDomainOf(shape, index),
  }));
}

function planRouterProcess(
  directory: string,
  router: RouterAddresses,
): ProcessPlan {
  return {
    name: router.name,
    role: 'router',
    address: router.callers,
    adminAddress: router.admin,
    script: routerScript,
    args: ['--settings', settingsFileOf(directory, router.name)],
  };
}

function failureDomainOf(shape: DeploymentShape, index: number): string {
  const failureDomain =
    shape.failureDomains[index % shape.failureDomains.length];
  invariant(failureDomain !== undefined, 'a deployment has failure domains');
  return failureDomain;
}

function portOf(address: string): string {
  return address.slice(address.lastIndexOf(':') + 1);
}

function toFlag(key: string): string {
  return key.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);
}
