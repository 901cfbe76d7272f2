/**
 * One call of a caller and the pipeline of filters that processes it.
 */
import type {IncomingHttpHeaders} from 'node:http';
import type {
  ClassId,
  RequestId,
  ServiceClass,
  UpstreamKind,
  WorkspaceId,
} from '@toucanrouter/common';
import {RouterError} from '@toucanrouter/common';
import type {Result} from 'neverthrow';
import type {CallerResponse} from './CallerResponse.js';

/** The target of a call: a model, or a path of a plain service. */
export interface CallTarget {
  readonly kind: UpstreamKind;
  /** Name of the model or the plain service. */
  readonly serves: string;
  readonly method: string;
  /** Path and query that the upstream receives. */
  readonly path: string;
}

/** Statistics of a call that are recorded when it finishes. */
export interface CallStats {
  /** Time from arrival to the first token or the response of a plain call. */
  firstTokenMs: number | undefined;
  /** Mean gap between tokens. */
  tokenGapMs: number | undefined;
  tokens: number;
  wastedTokens: number;
  /** Time spent waiting for permits. */
  waitedMs: number;
  attempts: number;
}

/** A call in progress, with the properties that filters determine. */
export interface Exchange {
  /** Unique in the fleet; upstreams receive this id. */
  readonly requestId: RequestId;
  /** The id that the caller sent, returned in the response. */
  readonly callerRequestId: string | undefined;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  readonly target: CallTarget;
  readonly response: CallerResponse;
  readonly arrivedAtMs: number;
  /** The call must have started by this time. */
  readonly deadlineAtMs: number;
  /** Aborted when the caller disconnects or the timeout that it set expires. */
  readonly signal: AbortSignal;
  readonly stats: CallStats;
  workspaceId: WorkspaceId | undefined;
  serviceClass: ServiceClass | undefined;
}

/** A filter of the pipeline; it calls `next` to pass the call on. */
export type Filter = (
  exchange: Exchange,
  next: () => Promise<Result<void, RouterError>>,
) => Promise<Result<void, RouterError>>;

/** Runs the filters in order; the last one must not call `next`. */
export function runPipeline(
  filters: readonly Filter[],
  exchange: Exchange,
): Promise<Result<void, RouterError>> {
  const runFrom = (index: number): Promise<Result<void, RouterError>> => {
    const filter = filters[index];
    if (filter === undefined) {
      throw new Error('Invariant violation: the last filter called next');
    }
    return filter(exchange, () => runFrom(index + 1));
  };
  return runFrom(0);
}

/** Abort reason when the timeout that the caller set expires. */
export const callerTimeoutReason = 'caller timeout';

/** Abort reason when the instance can serve the call no longer. */
export const stopReason = 'the instance is stopping';

/** Returns the error of a call whose signal was aborted. */
export function abortError(
  exchange: Exchange,
  mayHaveRun: boolean,
): RouterError {
  const {reason} = exchange.signal as {reason: unknown};
  if (reason === stopReason) {
    return new RouterError(
      mayHaveRun ? 'answer_incomplete' : 'shutting_down',
      stopReason,
    );
  }
  if (reason instanceof RouterError) {
    // The instance gave the call up, which it does before the call is sent.
    return mayHaveRun ? incompleteError(reason.message, reason) : reason;
  }
  if (reason !== callerTimeoutReason) {
    return new RouterError('canceled', 'the caller closed the connection');
  }
  return mayHaveRun
    ? incompleteError('the response was not complete within the caller timeout')
    : new RouterError(
        'deadline_exceeded',
        'the request could not be started within the caller timeout',
      );
}

function incompleteError(message: string, cause?: unknown): RouterError {
  return new RouterError('answer_incomplete', message, {cause});
}

/**
 * Returns the error of a call that was refused a permit. After a first attempt
 * the call may have run, so the error must not report that it was not run.
 */
export function permitError(
  exchange: Exchange,
  error: RouterError,
): RouterError {
  const mayHaveRun = exchange.stats.attempts > 0;
  if (error.kind === 'canceled') return abortError(exchange, mayHaveRun);
  if (!mayHaveRun) return error;
  const message = `no further attempt could be made: ${error.message}`;
  return new RouterError('upstream_failed', message, {cause: error});
}

/** Returns the class of a call that has passed the classification filter. */
export function classOf(exchange: Exchange): ServiceClass {
  if (exchange.serviceClass === undefined) {
    throw new Error('Invariant violation: the call has not been classified');
  }
  return exchange.serviceClass;
}

/** Returns the workspace of a call that has been authenticated. */
export function workspaceOf(exchange: Exchange): WorkspaceId {
  if (exchange.workspaceId === undefined) {
    throw new Error('Invariant violation: the call has not been authenticated');
  }
  return exchange.workspaceId;
}

/** Returns the log fields that identify a call, as far as they are known. */
export function toLogFields(exchange: Exchange): {
  readonly requestId: RequestId;
  readonly callerRequestId: string | undefined;
  readonly classId: ClassId | undefined;
  readonly workspaceId: WorkspaceId | undefined;
} {
  return {
    requestId: exchange.requestId,
    callerRequestId: exchange.callerRequestId,
    classId: exchange.serviceClass?.id,
    workspaceId: exchange.workspaceId,
  };
}
