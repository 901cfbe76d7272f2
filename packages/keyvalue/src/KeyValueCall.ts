/**
 * Unary calls of the key-value service. A call waits for the connection, is
 * sent, and fails after a timeout. Its error states whether it may have taken
 * effect.
 */
import type {Client, ClientUnaryCall, ServiceError} from '@grpc/grpc-js';
import type {Clock} from '@toucanrouter/common';
import {PlatformError} from '@toucanrouter/common';
import {ResultAsync} from 'neverthrow';

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

/** Whether a call can change stored values. */
export type CallEffect = 'read' | 'write';

/** Sends a unary call. Fails if there is no response within the timeout. */
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
      // A call that was not handed to the connection can't take effect.
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
      fail(`no response within ${context.timeoutMs} ms`),
    );
    const connectDeadline = Date.now() + context.timeoutMs;
    context.client.waitForReady(connectDeadline, connectError => {
      if (completed) return;
      if (connectError) return fail('not connected', connectError);
      call = send((error, value) => {
        if (error) fail(error.message, error);
        else if (value === undefined) fail('empty response');
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
