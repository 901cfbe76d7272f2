/**
 * Numbers that distinguish instances for fencing, from a counter on the
 * platform. A number may be skipped but is never given out twice.
 */
import type {KeyValue, KeyValueStore} from '@toucanrouter/common';
import {PlatformError} from '@toucanrouter/common';
import type {Result, ResultAsync} from 'neverthrow';
import {err, errAsync, ok, okAsync} from 'neverthrow';

const counterKey = '/toucanrouter/instance-number';

/**
 * Number of compares that may fail before the allocation gives up. One
 * instance succeeds in each round, so this covers a start of a whole region.
 */
const maxAttempts = 100;

/** Takes the next instance number; the first one is 1. */
export function allocateInstanceNumber(
  store: KeyValueStore,
): ResultAsync<number, PlatformError> {
  return attemptAllocation(store, maxAttempts);
}

function attemptAllocation(
  store: KeyValueStore,
  attemptsLeft: number,
): ResultAsync<number, PlatformError> {
  if (attemptsLeft === 0) {
    const message = `instance number: ${maxAttempts} compares failed in a row`;
    return errAsync(new PlatformError(message, false));
  }
  return store.get(counterKey).andThen(current =>
    parseCounter(current).asyncAndThen(last =>
      store
        .transact({
          compares: [{key: counterKey, modRevision: current?.modRevision ?? 0}],
          puts: [{key: counterKey, value: Buffer.from(String(last + 1))}],
          deletes: [],
        })
        .andThen(reply =>
          reply.succeeded
            ? okAsync(last + 1)
            : attemptAllocation(store, attemptsLeft - 1),
        ),
    ),
  );
}

function parseCounter(
  entry: KeyValue | undefined,
): Result<number, PlatformError> {
  if (entry === undefined) return ok(0);
  const text = Buffer.from(entry.value).toString('utf8');
  const value = Number(text);
  if (Number.isSafeInteger(value) && value >= 0) return ok(value);
  const message = `${counterKey} holds ${JSON.stringify(text)}, not a number`;
  return err(new PlatformError(message, false));
}
