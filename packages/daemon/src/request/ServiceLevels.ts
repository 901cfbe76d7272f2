/**
 * Converts finished calls to observations for the service-level report.
 */
import type {ErrorKind, RouterError} from '@toucanrouter/common';
import {errorResponseFor} from '@toucanrouter/common';
import type {
  ObservedOutcome,
  ServiceLevelObservation,
} from '@toucanrouter/report';
import type {FinishedCall} from './RecordCall.js';

/** Errors that the caller causes; they do not count against the service level. */
const callerErrorKinds: ReadonlySet<ErrorKind> = new Set<ErrorKind>([
  'bad_request',
  'idempotency_key_in_progress',
  'idempotency_key_missing',
  'idempotency_key_reused',
  'not_found',
]);

/**
 * Returns undefined for a call without a class or workspace, and for one that
 * failed because of a caller error.
 */
export function toObservation({
  error,
  exchange,
  totalMs,
}: FinishedCall): ServiceLevelObservation | undefined {
  const {stats, serviceClass, workspaceId} = exchange;
  if (serviceClass === undefined || workspaceId === undefined) return undefined;
  if (error !== undefined && callerErrorKinds.has(error.kind)) return undefined;
  return {
    serviceClass,
    workspaceId,
    outcome: toOutcome(error),
    firstTokenMs: stats.firstTokenMs,
    tokenGapMs: stats.tokenGapMs,
    totalMs,
  };
}

function toOutcome(error: RouterError | undefined): ObservedOutcome {
  if (error === undefined) return 'completed';
  if (error.kind === 'canceled') return 'canceled';
  const {runStatus} = errorResponseFor(error.kind);
  return runStatus === 'not_run' ? 'refused' : 'failed';
}
