/**
 * Runs unary calls of the key-value stand-in with the injected faults.
 */
import type {sendUnaryData, ServerErrorResponse} from '@grpc/grpc-js';
import {status} from '@grpc/grpc-js';
import type {Clock} from '@toucanrouter/common';
import type {CountedCall, Counters} from './Counters.js';
import {StatusError} from './KeyValueTransactions.js';
import type {Switches, WriteFault} from './Switches.js';

export interface CallRunnerOptions {
  readonly clock: Clock;
  readonly counters: Counters;
  readonly switches: Switches;
}

/** Runs a call; `execute` returns its response or throws `StatusError`. */
export type CallRunner = <T>(
  call: CountedCall,
  execute: () => T,
  callback: sendUnaryData<T>,
) => void;

const writeCalls: ReadonlySet<CountedCall> = new Set([
  'put',
  'deleteRange',
  'txn',
  'leaseGrant',
  'leaseRevoke',
]);

/**
 * Creates a runner that counts, delays and fails calls according to the
 * switches.
 */
export function createCallRunner(options: CallRunnerOptions): CallRunner {
  const {clock, counters, switches} = options;

  return (call, execute, callback) => {
    counters.add(call);
    const {delayMs} = switches.state();
    // A delayed call takes effect even if its caller has timed out meanwhile.
    if (delayMs > 0) clock.after(delayMs, run);
    else run();

    function run(): void {
      const {outage} = switches.state();
      if (outage === 'hang') return;
      if (outage === 'refuse') return callback(unavailableError());
      const fault = writeCalls.has(call)
        ? switches.consumeWriteFault()
        : 'none';
      if (fault === 'refuse') return callback(unavailableError());
      respond(fault);
    }

    function respond(fault: WriteFault): void {
      try {
        const value = execute();
        if (fault === 'none') callback(null, value);
        else if (fault === 'fail_answer') callback(unavailableError());
      } catch (error) {
        callback(toServerError(error));
      }
    }
  };
}

/** Creates the error that calls receive during an outage. */
export function unavailableError(): ServerErrorResponse {
  return new StatusError(status.UNAVAILABLE, 'switched off by a test');
}

function toServerError(error: unknown): ServerErrorResponse {
  if (error instanceof StatusError) return error;
  return new StatusError(status.INTERNAL, String(error));
}
