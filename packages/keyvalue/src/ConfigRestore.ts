/**
 * Brings the stored configuration up to the one in force, after the service came
 * back from a copy. An accepted version is never given up for an older one, so
 * instances that know a newer one write it again. A change that was accepted on
 * top of the older one, under a number that is taken, gets the next number, so
 * that it comes into force as well.
 */
import type {
  KeyValueStore,
  PlatformError,
  StoredConfig,
} from '@toucanrouter/common';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import {configKey} from './ConfigStoreConstants.js';
import {
  compareOf,
  decodeConfig,
  encodeConfig,
  historyKey,
} from './ConfigStoreUtils.js';

/** A configuration that was written because the store was behind. */
export interface RestoredConfig {
  readonly written: StoredConfig;
  /** What the store held; undefined if it held none. */
  readonly replaced: StoredConfig | undefined;
}

/** Whether the store lacks the configuration in force. */
export function isBehind(
  stored: StoredConfig | undefined,
  inForce: StoredConfig | undefined,
): inForce is StoredConfig {
  if (inForce === undefined) return false;
  if (stored === undefined) return true;
  if (stored.version !== inForce.version) {
    return stored.version < inForce.version;
  }
  return stored.writeId !== inForce.writeId;
}

/**
 * Writes what the store lacks, in one transaction that holds only if the store
 * has not changed since it was read. Returns undefined when nothing was written.
 */
export async function restoreConfig(
  store: KeyValueStore,
  inForce: StoredConfig,
): Promise<Result<RestoredConfig | undefined, PlatformError>> {
  const entry = await store.get(configKey);
  if (entry.isErr()) return err(entry.error);
  const stored = decodeConfig(entry.value);
  if (stored.isErr()) return err(stored.error);
  if (!isBehind(stored.value, inForce)) return ok(undefined);
  const written = configToWrite(stored.value, inForce);
  const value = encodeConfig(written);
  const response = await store.transact({
    compares: [compareOf(configKey, entry.value)],
    puts: [
      {key: configKey, value},
      {key: historyKey(written.version), value},
    ],
    deletes: [],
  });
  if (response.isErr()) return err(response.error);
  return ok(
    response.value.succeeded ? {written, replaced: stored.value} : undefined,
  );
}

/**
 * A stored configuration is a change of its own if it has the number of the one
 * in force, or was made after it; otherwise it is from the copy.
 */
function configToWrite(
  stored: StoredConfig | undefined,
  inForce: StoredConfig,
): StoredConfig {
  if (stored === undefined) return inForce;
  const isOwnChange =
    stored.version === inForce.version ||
    stored.changedAtWallMs > inForce.changedAtWallMs;
  return isOwnChange ? {...stored, version: inForce.version + 1} : inForce;
}
