/**
 * Runs a unary call of the key-value stand-in under the switched faults.
 */
import type {sendUnaryData, ServerErrorResponse} from '@grpc/grpc-js';
import {status} from '@grpc/grpc-js';
import type {Clock} from '@toucanrouter/common';
import type {CountedCall, Counters} from './Counters.js';
import {StatusError} from './KeyValueTransactions.js';
import type {Switches, WriteFault} from './Switches.js';

/** What faulty calls need. */
export interface FaultyCallOptions {
  readonly clock: Clock;
  readonly counters: Counters;
  readonly switches: Switches;
}

/** Runs a call; `execute` returns its answer or throws `StatusError`. */
export type CallRunner = <Answer>(
  call: CountedCall,
  execute: () => Answer,
  reply: sendUnaryData<Answer>,
) => void;

const writes: ReadonlySet<CountedCall> = new Set([
  'put',
  'deleteRange',
  'txn',
  'leaseGrant',
  'leaseRevoke',
]);

/** Creates a runner that counts, delays and fails calls as switched. */
export function createCallRunner(options: FaultyCallOptions): CallRunner {
  const {clock, counters, switches} = options;

  return (call, execute, reply) => {
    counters.add(call);
    const {delayMs} = switches.state();
    // A delayed call takes effect even when its caller gave up meanwhile.
    if (delayMs > 0) clock.after(delayMs, run);
    else run();

    function run(): void {
      const {outage} = switches.state();
      if (outage === 'hang') return;
      if (outage === 'refuse') return reply(unavailable());
      const fault = writes.has(call) ? switches.takeWriteFault() : 'none';
      if (fault === 'refuse') return reply(unavailable());
      answer(fault);
    }

    function answer(fault: WriteFault): void {
      try {
        const value = execute();
        if (fault === 'none') reply(null, value);
        else if (fault === 'fail_answer') reply(unavailable());
      } catch (error) {
        reply(toServerError(error));
      }
    }
  };
}

/** The status that an outage answers with. */
export function unavailable(): ServerErrorResponse {
  return new StatusError(status.UNAVAILABLE, 'switched off by a test');
}

function toServerError(error: unknown): ServerErrorResponse {
  if (error instanceof StatusError) return error;
  return new StatusError(status.INTERNAL, String(error));
}
