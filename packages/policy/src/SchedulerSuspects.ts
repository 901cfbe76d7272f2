/**
 * Tells holders that the upstream of a job has become a straggler, so that
 * they may ask for a second copy.
 */
import type {SchedulerState} from './SchedulerState.js';
import type {RunningJob} from './SchedulerTypes.js';

/** Tells the holders of short idempotent jobs on suspect upstreams, once. */
export function tellSuspects(state: SchedulerState): void {
  const {tracker} = state;
  if (!tracker.ids().some(id => tracker.state(id) === 'suspect')) return;
  for (const job of state.jobs.values()) {
    if (!mayBeHedged(job) || job.suspectKnown) continue;
    if (tracker.state(job.upstreamId) !== 'suspect') continue;
    job.suspectKnown = true;
    state.effects.push({
      kind: 'suspect',
      holder: job.holder,
      requestId: job.requestId,
      permitId: job.permitId,
    });
  }
}

function mayBeHedged(job: RunningJob): boolean {
  if (!job.idempotent || job.hedge || job.long) return false;
  return job.preemption === undefined;
}
