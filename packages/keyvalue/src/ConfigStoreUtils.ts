/**
 * Keys and JSON encoding of stored configurations.
 */
import type {
  KeyValue,
  RevisionCompare,
  StoredConfig,
} from '@toucanrouter/common';
import {PlatformError, toUpstreamId} from '@toucanrouter/common';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import {z} from 'zod';
import {historyKeyDigits, historyPrefix} from './ConfigStoreConstants.js';

const storedConfigSchema = z.object({
  version: z.number().int().positive(),
  writeId: z.string().min(1),
  author: z.string(),
  changedAtWallMs: z.number(),
  classesText: z.string(),
  drainedUpstreams: z.array(z.string().transform(toUpstreamId)),
});

export function historyKey(version: number): string {
  return historyPrefix + String(version).padStart(historyKeyDigits, '0');
}

export function encodeConfig(config: StoredConfig): Uint8Array {
  return Buffer.from(JSON.stringify(config));
}

/**
 * Requires that a key still has `entry`. The value is unique to its write, so
 * the compare fails in a history that gave the revision to another write.
 */
export function compareOf(
  key: string,
  entry: KeyValue | undefined,
): RevisionCompare {
  if (entry === undefined) return {key, modRevision: 0};
  return {key, modRevision: entry.modRevision, value: entry.value};
}

/**
 * Decodes and validates a stored entry. Returns undefined for an absent one.
 */
export function decodeConfig(
  entry: KeyValue | undefined,
): Result<StoredConfig | undefined, PlatformError> {
  if (entry === undefined) return ok(undefined);
  const parsed = storedConfigSchema.safeParse(parseJson(entry.value));
  if (parsed.success) return ok(parsed.data);
  const message = `${entry.key} is not a valid configuration: ${parsed.error.message}`;
  return err(new PlatformError(message, false));
}

function parseJson(value: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(value).toString('utf8'));
  } catch {
    return undefined;
  }
}
