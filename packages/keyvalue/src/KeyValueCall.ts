/**
 * One unary call of the key-value service: waits for the connection, sends,
 * and gives up after a timeout. Failures tell whether the call was sent.
 */
import type {Client, ClientUnaryCall, ServiceError} from '@grpc/grpc-js';
import type {Clock} from '@toucanrouter/common';
import {PlatformError} from '@toucanrouter/common';
import {ResultAsync} from 'neverthrow';

/** What every call needs. */
export interface CallContext {
  readonly client: Client;
  readonly clock: Clock;
  readonly timeoutMs: number;
}

type ResponseCallback<Response> = (
  error: ServiceError | null,
  value?: Response,
) => void;

/** Starts the call on a connected client. */
type SendCall<Response> = (
  callback: ResponseCallback<Response>,
) => ClientUnaryCall;

/** Whether a call changes stored values. */
export type CallEffect = 'read' | 'write';

/** Sends a unary call and returns its answer, or an error after the timeout. */
export function callUnary<Response>(
  context: CallContext,
  name: string,
  effect: CallEffect,
  send: SendCall<Response>,
): ResultAsync<Response, PlatformError> {
  return ResultAsync.fromPromise(
    runCall(context, name, effect, send),
    toPlatformError,
  );
}

function runCall<Response>(
  context: CallContext,
  name: string,
  effect: CallEffect,
  send: SendCall<Response>,
): Promise<Response> {
  return new Promise((resolve, reject) => {
    let call: ClientUnaryCall | undefined;
    let completed = false;

    function fail(reason: string, cause?: unknown): void {
      if (completed) return;
      completed = true;
      stopTimer();
      // A call that was never handed to the connection cannot take effect.
      const mayHaveTakenEffect = effect === 'write' && call !== undefined;
      const message = `key-value call ${name} failed: ${reason}`;
      reject(new PlatformError(message, mayHaveTakenEffect, {cause}));
      call?.cancel();
    }

    function succeed(value: Response): void {
      if (completed) return;
      completed = true;
      stopTimer();
      resolve(value);
    }

    const stopTimer = context.clock.after(context.timeoutMs, () =>
      fail(`no answer within ${context.timeoutMs} ms`),
    );
    const connectDeadline = Date.now() + context.timeoutMs;
    context.client.waitForReady(connectDeadline, connectError => {
      if (completed) return;
      if (connectError) return fail('not connected', connectError);
      call = send((error, value) => {
        if (error) fail(error.message, error);
        else if (value === undefined) fail('empty answer');
        else succeed(value);
      });
    });
  });
}

function toPlatformError(error: unknown): PlatformError {
  if (error instanceof PlatformError) return error;
  return new PlatformError(`key-value call failed: ${String(error)}`, true, {
    cause: error,
  });
}
