/**
 * Notifies holders that the upstream of a job is suspect, so that they may send
 * a hedge.
 */
import type {SchedulerState} from './SchedulerState.js';
import type {RunningJob} from './SchedulerTypes.js';

/**
 * Notifies the holders of short idempotent jobs on suspect upstreams. The
 * notification is sent again while the job runs there, because a holder may
 * have had no hedge budget at first.
 */
export function notifySuspects(state: SchedulerState, nowMs: number): void {
  const {tracker} = state;
  if (!tracker.ids().some(id => tracker.state(id) === 'suspect')) return;
  for (const job of state.jobs.values()) {
    if (!mayBeHedged(job) || wasNotifiedRecently(state, job, nowMs)) continue;
    if (tracker.state(job.upstreamId) !== 'suspect') continue;
    job.suspectNotifiedAtMs = nowMs;
    state.effects.push({
      kind: 'suspect',
      holder: job.holder,
      requestId: job.requestId,
      permitId: job.permitId,
    });
  }
}

function mayBeHedged(job: RunningJob): boolean {
  if (!job.idempotent || job.hedge || job.isProbe || job.isLong) return false;
  return job.preemption === undefined;
}

function wasNotifiedRecently(
  state: SchedulerState,
  {suspectNotifiedAtMs}: RunningJob,
  nowMs: number,
): boolean {
  if (suspectNotifiedAtMs === undefined) return false;
  return nowMs - suspectNotifiedAtMs < state.parameters.suspectResendIntervalMs;
}
