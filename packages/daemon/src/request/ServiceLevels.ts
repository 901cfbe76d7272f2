/**
 * Turns ended calls into observations for the service-level report.
 */
import type {RouterError} from '@toucanrouter/common';
import {answerFor} from '@toucanrouter/common';
import type {
  ObservedOutcome,
  ServiceLevelObservation,
} from '@toucanrouter/report';
import type {EndedCall} from './RecordCall.js';

/** Returns undefined for a call that belongs to no class or workspace. */
export function toObservation({
  error,
  exchange,
  totalMs,
}: EndedCall): ServiceLevelObservation | undefined {
  const {figures, serviceClass, workspaceId} = exchange;
  if (serviceClass === undefined || workspaceId === undefined) return undefined;
  return {
    serviceClass,
    workspaceId,
    outcome: toOutcome(error),
    firstTokenMs: figures.firstTokenMs,
    tokenGapMs: figures.tokenGapMs,
    totalMs,
  };
}

function toOutcome(error: RouterError | undefined): ObservedOutcome {
  if (error === undefined) return 'completed';
  if (error.kind === 'canceled') return 'canceled';
  const {runStatus} = answerFor(error.kind);
  return runStatus === 'not_run' ? 'refused' : 'failed';
}
