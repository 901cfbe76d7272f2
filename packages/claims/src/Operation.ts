/**
 * An operation in the queue of a claim writer: a claim request or the end of a
 * claim. It completes once, with a result or by a timeout.
 */
import type {Clock, RouterError} from '@toucanrouter/common';
import {PlatformError} from '@toucanrouter/common';
import type {Result} from 'neverthrow';
import {err, ResultAsync} from 'neverthrow';
import type {ClaimView} from './ClaimIndex.js';
import type {ClaimRecord} from './ClaimRecords.js';
import type {Decision} from './ClaimRules.js';

/** An operation and the decision on it, without the type of the result. */
export interface PreparedOperation {
  readonly operation: Operation;
  readonly record: ClaimRecord | undefined;
  readonly needsConfirmation: boolean;
  /**
   * Completes the operation with its result, unless it has completed already.
   */
  readonly completeAt: (writeRevision: number | undefined) => void;
}

export interface Operation {
  readonly completed: boolean;
  /** True once a write that includes this operation's record was sent. */
  readonly sent: boolean;
  prepare(claims: ClaimView): PreparedOperation;
  markSent(): void;
  /** Stores the platform error to report if the operation times out. */
  recordFailure(error: PlatformError): void;
}

export interface SubmittedOperation<Value> {
  readonly operation: Operation;
  readonly result: ResultAsync<Value, RouterError>;
}

/** Creates an operation that fails unless it completes within `timeoutMs`. */
export function createOperation<Value>(
  decide: (claims: ClaimView) => Decision<Value>,
  clock: Clock,
  timeoutMs: number,
): SubmittedOperation<Value> {
  let completed = false;
  let sent = false;
  let failure: PlatformError | undefined;
  let resolve: (result: Result<Value, RouterError>) => void = () => {};
  const promise = new Promise<Result<Value, RouterError>>(resolvePromise => {
    resolve = resolvePromise;
  });

  function complete(result: Result<Value, RouterError>): void {
    if (completed) return;
    completed = true;
    stopTimer();
    resolve(result);
  }

  const stopTimer = clock.after(timeoutMs, () => {
    const reason = failure === undefined ? '' : `: ${failure.message}`;
    const message = `claim not confirmed within ${timeoutMs} ms${reason}`;
    complete(err(new PlatformError(message, sent, {cause: failure})));
  });

  const operation: Operation = {
    get completed() {
      return completed;
    },
    get sent() {
      return sent;
    },
    prepare: claims => {
      const {record, needsConfirmation, resultAt} = decide(claims);
      const completeAt = (revision: number | undefined) =>
        complete(resultAt(revision));
      return {operation, record, needsConfirmation, completeAt};
    },
    markSent: () => {
      sent = true;
    },
    recordFailure: error => {
      failure = error;
    },
  };
  return {operation, result: new ResultAsync(promise)};
}
