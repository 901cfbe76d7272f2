/**
 * Detection and limit of long jobs. Output lengths are unknown in advance, so a
 * job counts as long once it exceeds a length quantile of its class and
 * workspace. While short jobs are queued, long jobs hold at most a share of the
 * slots.
 */
import type {Tier, WorkspaceId, ClassId} from '@toucanrouter/common';
import {slotCount} from './Placement.js';
import type {SchedulerState} from './SchedulerState.js';
import type {QueuedRequest, RunningJob} from './SchedulerTypes.js';

function exceedsQuantile(
  state: SchedulerState,
  classId: ClassId,
  workspaceId: WorkspaceId,
  tokens: number,
): boolean {
  const fraction = state.parameters.longJobLengthQuantile;
  const {lengths} = state.options;
  const thresholdTokens = lengths.quantile(classId, workspaceId, fraction);
  return thresholdTokens !== undefined && tokens > thresholdTokens;
}

/** Returns true when a running job is longer than most of its kind. */
export function isLong(state: SchedulerState, job: RunningJob): boolean {
  const tokens = job.resumedTokens + job.tokens;
  return exceedsQuantile(state, job.classId, job.workspaceId, tokens);
}

/** Returns true when a queued request was long when its last attempt ended. */
export function isLongRequest(
  state: SchedulerState,
  {request}: QueuedRequest,
): boolean {
  if (request.resume === undefined) return false;
  const {classId, workspaceId, resume} = request;
  return exceedsQuantile(state, classId, workspaceId, resume.tokens);
}

/** Returns the long jobs above their share of the slots; negative below it. */
export function longJobExcess(
  state: SchedulerState,
  tier: Tier,
  nowMs: number,
): number {
  const slots = slotCount(state.tracker, tier, nowMs);
  const share = Math.floor(slots * state.parameters.longJobSlotShare);
  let running = 0;
  for (const job of state.jobs.values()) {
    if (job.isLong && job.preemption === undefined) running += 1;
  }
  return running - Math.max(1, share);
}
