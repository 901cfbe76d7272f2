/**
 * One operation that waits for a claim writer: a claim request or the end of a
 * claim. It settles once, with an answer or when its time is up.
 */
import type {Clock, RouterError} from '@toucanrouter/common';
import {PlatformError} from '@toucanrouter/common';
import type {Result} from 'neverthrow';
import {err, ResultAsync} from 'neverthrow';
import type {ClaimView} from './ClaimIndex.js';
import type {ClaimRecord} from './ClaimRecords.js';
import type {Decision} from './ClaimRules.js';

/** A decision whose answer type is hidden. */
export interface PreparedOperation {
  readonly operation: Operation;
  readonly record: ClaimRecord | undefined;
  readonly needsConfirmation: boolean;
  /** Answers, given the revision of the write; without effect when settled. */
  readonly answerAt: (writeRevision: number | undefined) => void;
}

/** An operation in the queue of a writer. */
export interface Operation {
  readonly settled: boolean;
  /** True once a write with this operation's record was sent. */
  readonly sent: boolean;
  prepare(claims: ClaimView): PreparedOperation;
  markSent(): void;
  /** Notes why the operation could not be settled yet. */
  noteFailure(error: PlatformError): void;
}

/** An operation and its answer. */
export interface SubmittedOperation<Answer> {
  readonly operation: Operation;
  readonly answer: ResultAsync<Answer, RouterError>;
}

/** Creates an operation that fails when it is not settled in time. */
export function createOperation<Answer>(
  decide: (claims: ClaimView) => Decision<Answer>,
  clock: Clock,
  timeoutMs: number,
): SubmittedOperation<Answer> {
  let settled = false;
  let sent = false;
  let failure: PlatformError | undefined;
  let resolve: (result: Result<Answer, RouterError>) => void = () => {};
  const answer = new Promise<Result<Answer, RouterError>>(resolvePromise => {
    resolve = resolvePromise;
  });

  function settle(result: Result<Answer, RouterError>): void {
    if (settled) return;
    settled = true;
    stopTimer();
    resolve(result);
  }

  const stopTimer = clock.after(timeoutMs, () => {
    const reason = failure === undefined ? '' : `: ${failure.message}`;
    const message = `claim not confirmed within ${timeoutMs} ms${reason}`;
    settle(err(new PlatformError(message, sent, {cause: failure})));
  });

  const operation: Operation = {
    get settled() {
      return settled;
    },
    get sent() {
      return sent;
    },
    prepare: claims => {
      const {record, needsConfirmation, resultAt} = decide(claims);
      const answerAt = (revision: number | undefined) =>
        settle(resultAt(revision));
      return {operation, record, needsConfirmation, answerAt};
    },
    markSent: () => {
      sent = true;
    },
    noteFailure: error => {
      failure = error;
    },
  };
  return {operation, answer: new ResultAsync(answer)};
}
