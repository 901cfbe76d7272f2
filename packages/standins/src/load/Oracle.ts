/**
 * Test oracle: compares the outcomes reported to callers with the runs recorded
 * by the upstreams.
 */
import {promptKeyOf} from '../engine/EngineResponses.js';
import {callKeyOf, serviceRefusalType} from '../service/ServiceResponses.js';
import type {PlannedRequest} from './LoadPlan.js';
import type {Observation} from './Observation.js';
import type {UpstreamRuns} from './UpstreamRuns.js';

/** A violated guarantee. */
export interface OracleFault {
  readonly requestId: string;
  readonly classId: string;
  readonly message: string;
}

/** Returns the key under which upstreams record runs of a request. */
export function runKeyOf({content}: PlannedRequest): string {
  if (content.kind === 'chat') return promptKeyOf(content.messages);
  return callKeyOf(content);
}

/** Counts the started runs by run key. */
export function countRuns(runs: UpstreamRuns): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  const add = (key: string): void => {
    counts.set(key, (counts.get(key) ?? 0) + 1);
  };
  for (const run of runs.engineRuns) if (run.started) add(run.promptKey);
  for (const run of runs.serviceRuns) add(run.requestKey);
  return counts;
}

/** Returns every guarantee violation in the observations and runs. */
export function findFaults(
  observations: readonly Observation[],
  runs: UpstreamRuns,
): readonly OracleFault[] {
  const counts = countRuns(runs);
  const faults: OracleFault[] = [];
  for (const group of groupByRunKey(observations)) {
    for (const observation of group)
      faults.push(...responseFaults(observation));
    faults.push(...runFaults(group, counts, runs.unreachable.length === 0));
  }
  return faults;
}

function toFault({planned}: Observation, message: string): OracleFault {
  const {requestId, classId} = planned;
  return {requestId, classId, message};
}

function responseFaults(observation: Observation): OracleFault[] {
  return observation.faults.map(message => toFault(observation, message));
}

/** Requests with the same idempotency key have the same run key. */
function groupByRunKey(
  observations: readonly Observation[],
): readonly Observation[][] {
  const groups = new Map<string, Observation[]>();
  for (const observation of observations) {
    const key = runKeyOf(observation.planned);
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [observation]);
    else group.push(observation);
  }
  return [...groups.values()];
}

function runFaults(
  group: readonly Observation[],
  counts: ReadonlyMap<string, number>,
  runsAreComplete: boolean,
): OracleFault[] {
  const [first] = group;
  if (first === undefined) return [];
  const count = counts.get(runKeyOf(first.planned)) ?? 0;
  const faults: OracleFault[] = [];
  if (isOrder(first.planned) && count > 1) {
    faults.push(toFault(first, `the order ran ${count} times`));
  }
  if (group.every(wasReportedNotRun) && count > 0) {
    const kinds = [...new Set(group.map(o => o.errorType))].join(', ');
    faults.push(
      toFault(
        first,
        `reported as not_run (${kinds}), but it ran ${count} times`,
      ),
    );
  }
  const completed = group.find(o => o.outcome === 'completed');
  if (completed !== undefined && count === 0 && runsAreComplete) {
    faults.push(toFault(completed, 'completed, but no upstream ran it'));
  }
  return faults;
}

/** The refusal of a plain service also guarantees that the call did not run. */
function wasReportedNotRun({outcome, errorType}: Observation): boolean {
  return outcome === 'refused' || errorType === serviceRefusalType;
}

function isOrder({content}: PlannedRequest): boolean {
  return content.kind === 'call' && content.idempotencyKey !== undefined;
}
