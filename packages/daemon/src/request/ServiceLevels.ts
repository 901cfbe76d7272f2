/**
 * Turns ended calls into observations for the service-level report.
 */
import type {ErrorKind, RouterError} from '@toucanrouter/common';
import {errorResponseFor} from '@toucanrouter/common';
import type {
  ObservedOutcome,
  ServiceLevelObservation,
} from '@toucanrouter/report';
import type {EndedCall} from './RecordCall.js';

/** Errors that the caller causes; they say nothing about the service level. */
const callerFaults: ReadonlySet<ErrorKind> = new Set<ErrorKind>([
  'bad_request',
  'idempotency_key_in_progress',
  'idempotency_key_missing',
  'idempotency_key_reused',
  'not_found',
]);

/**
 * Returns undefined for a call that belongs to no class or workspace, and for
 * one that failed through its caller.
 */
export function toObservation({
  error,
  exchange,
  totalMs,
}: EndedCall): ServiceLevelObservation | undefined {
  const {figures, serviceClass, workspaceId} = exchange;
  if (serviceClass === undefined || workspaceId === undefined) return undefined;
  if (error !== undefined && callerFaults.has(error.kind)) return undefined;
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
  const {runStatus} = errorResponseFor(error.kind);
  return runStatus === 'not_run' ? 'refused' : 'failed';
}
