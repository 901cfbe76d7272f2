/**
 * Collects the run records of a deployment's upstreams, including those of
 * processes that have exited.
 */
import type {EngineRunRecord} from '../engine/EngineRun.js';
import type {UpstreamRuns} from '../load/UpstreamRuns.js';
import {readUpstreamRuns} from '../load/UpstreamRuns.js';
import type {ServiceRunRecord} from '../service/ServiceRuns.js';
import {readRunJournal} from '../shared/RunJournal.js';
import type {ProcessGroup} from './ProcessGroup.js';
import type {DeploymentRole} from './ProcessPlan.js';

/** Queries running upstreams and reads the journals of exited ones. */
export async function readDeploymentRuns(
  group: ProcessGroup,
): Promise<UpstreamRuns> {
  const addressesOf = (role: DeploymentRole): readonly string[] =>
    group.runningOf(role).map(plan => plan.address);
  const running = await readUpstreamRuns(
    addressesOf('engine'),
    addressesOf('service'),
  );
  const engineRuns = readExitedRuns<EngineRunRecord>(group, 'engine');
  const serviceRuns = readExitedRuns<ServiceRunRecord>(group, 'service');
  return {
    engineRuns: [...running.engineRuns, ...engineRuns],
    serviceRuns: [...running.serviceRuns, ...serviceRuns],
    unreachable: running.unreachable,
  };
}

function readExitedRuns<T extends object>(
  group: ProcessGroup,
  role: DeploymentRole,
): readonly T[] {
  return group
    .ofRole(role)
    .filter(plan => !group.isRunning(plan.name))
    .flatMap(plan => readRunJournal<T>(plan.runsFile));
}
