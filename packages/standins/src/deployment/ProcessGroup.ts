/**
 * Starts, signals and stops the processes of a deployment by name.
 */
import {join} from 'node:path';
import {
  killTimeoutMs,
  readyTimeoutMs,
  stopTimeoutMs,
} from './DeploymentConstants.js';
import type {ManagedProcess, ProcessExit} from './ManagedProcess.js';
import {startProcess} from './ManagedProcess.js';
import type {DeploymentRole, ProcessPlan} from './ProcessPlan.js';

/** A stopped process; `exit` is undefined if it had to be killed. */
export interface StoppedProcess {
  readonly name: string;
  readonly exit: ProcessExit | undefined;
}

export interface ProcessGroup {
  planOf(name: string): ProcessPlan;
  ofRole(role: DeploymentRole): readonly ProcessPlan[];
  runningOf(role: DeploymentRole): readonly ProcessPlan[];
  isRunning(name: string): boolean;
  /** Starts a process and, for stand-ins, waits until it is ready. */
  start(name: string): Promise<void>;
  signal(name: string, signal: NodeJS.Signals): void;
  kill(name: string): Promise<void>;
  stop(name: string): Promise<StoppedProcess>;
  stopAll(): Promise<readonly StoppedProcess[]>;
}

/** Creates a group of processes without starting any of them. */
export function createProcessGroup(
  plans: readonly ProcessPlan[],
  directory: string,
): ProcessGroup {
  const processes = new Map<string, ManagedProcess>();

  function planOf(name: string): ProcessPlan {
    const plan = plans.find(candidate => candidate.name === name);
    if (plan === undefined) throw new Error(`no process named ${name}`);
    return plan;
  }

  function isRunning(name: string): boolean {
    const process = processes.get(name);
    return process !== undefined && process.exit() === undefined;
  }

  function ofRole(role: DeploymentRole): readonly ProcessPlan[] {
    return plans.filter(plan => plan.role === role);
  }

  function runningOf(role: DeploymentRole): readonly ProcessPlan[] {
    return ofRole(role).filter(plan => isRunning(plan.name));
  }

  async function start(name: string): Promise<void> {
    const {role, script, args} = planOf(name);
    const logFile = join(directory, `${name}.log`);
    const process = startProcess({name, script, args, logFile});
    processes.set(name, process);
    if (role !== 'router') await process.readyLine(readyTimeoutMs);
  }

  function signal(name: string, value: NodeJS.Signals): void {
    processes.get(planOf(name).name)?.signal(value);
  }

  async function kill(name: string): Promise<void> {
    signal(name, 'SIGKILL');
    await processes.get(name)?.waitForExit(killTimeoutMs);
  }

  async function stop(name: string): Promise<StoppedProcess> {
    // A paused process handles SIGTERM only after SIGCONT.
    signal(name, 'SIGCONT');
    signal(name, 'SIGTERM');
    const exit = await processes.get(name)?.waitForExit(stopTimeoutMs);
    if (exit === undefined) await kill(name);
    return {name, exit};
  }

  function stopRole(role: DeploymentRole): Promise<readonly StoppedProcess[]> {
    return Promise.all(runningOf(role).map(plan => stop(plan.name)));
  }

  return {
    planOf,
    ofRole,
    runningOf,
    isRunning,
    start,
    signal,
    kill,
    stop,
    stopAll: async () => [
      ...(await stopRole('router')),
      ...(await Promise.all([stopRole('engine'), stopRole('service')])).flat(),
      ...(await stopRole('platform')),
    ],
  };
}
