/**
 * Changes the operators' configuration by compare-and-swap.
 *
 * A write without a response is sent again unchanged. Both copies compare the
 * same revision, so at most one takes effect. The write id in the history entry
 * of the proposed version then shows whose write took effect.
 */
import type {
  Clock,
  KeyValue,
  KeyValueStore,
  KeyValueTransaction,
  StoredConfig,
} from '@toucanrouter/common';
import {delay, PlatformError} from '@toucanrouter/common';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import {
  configKey,
  maxHistoryVersions,
  maxRetryDelayMs,
  minRetryDelayMs,
} from './ConfigStoreConstants.js';
import {
  compareOf,
  decodeConfig,
  encodeConfig,
  historyKey,
} from './ConfigStoreUtils.js';

export type ConfigChangeResult =
  | {readonly kind: 'accepted'; readonly config: StoredConfig}
  | {
      /** Another version is stored. This change will never take effect. */
      readonly kind: 'conflict';
      /** The stored configuration; undefined if it could not be read. */
      readonly winner: StoredConfig | undefined;
    }
  | {
      /** The change may have taken effect, or may still take effect. */
      readonly kind: 'not_yet_known';
      readonly proposed: StoredConfig;
      readonly cause: PlatformError;
    };

export interface ConfigChangeContext {
  readonly store: KeyValueStore;
  readonly clock: Clock;
  /**
   * Time limit for finding out whether a write without a response took effect.
   */
  readonly resolveTimeoutMs: number;
}

/** Whose write the history holds under the proposed version. */
type HistoryLookup =
  | {readonly kind: 'ours' | 'none'}
  | {readonly kind: 'other'; readonly config: StoredConfig}
  | {readonly kind: 'unreadable'; readonly error: PlatformError};

/**
 * Replaces `entry` (undefined if absent) by `proposed` and determines whether
 * the write took effect. An error means that nothing was written.
 */
export async function writeConfig(
  context: ConfigChangeContext,
  proposed: StoredConfig,
  entry: KeyValue | undefined,
): Promise<Result<ConfigChangeResult, PlatformError>> {
  const transaction = toTransaction(proposed, entry);
  const resolveDeadlineMs = context.clock.nowMs() + context.resolveTimeoutMs;
  let retryDelayMs = minRetryDelayMs;
  let mayBeStored = false;
  for (;;) {
    const response = await context.store.transact(transaction);
    if (response.isOk() && response.value.succeeded) {
      return ok({kind: 'accepted', config: proposed});
    }
    if (response.isErr() && response.error.mayHaveTakenEffect)
      mayBeStored = true;
    if (!mayBeStored) {
      if (response.isErr()) return err(response.error);
      return ok(await toConflict(context.store, undefined));
    }
    const lookup = await lookUpHistory(context.store, proposed);
    if (lookup.kind === 'ours') return ok({kind: 'accepted', config: proposed});
    if (lookup.kind === 'other') {
      return ok(await toConflict(context.store, lookup.config));
    }
    if (context.clock.nowMs() + retryDelayMs > resolveDeadlineMs) {
      const cause = response.isErr()
        ? response.error
        : toUnresolvedCause(lookup, proposed);
      return ok({kind: 'not_yet_known', proposed, cause});
    }
    await delay(context.clock, retryDelayMs);
    retryDelayMs = Math.min(retryDelayMs * 2, maxRetryDelayMs);
  }
}

function toTransaction(
  proposed: StoredConfig,
  entry: KeyValue | undefined,
): KeyValueTransaction {
  const value = encodeConfig(proposed);
  const evictedVersion = proposed.version - maxHistoryVersions;
  return {
    compares: [compareOf(configKey, entry)],
    puts: [
      {key: configKey, value},
      {key: historyKey(proposed.version), value},
    ],
    deletes: evictedVersion > 0 ? [historyKey(evictedVersion)] : [],
  };
}

async function lookUpHistory(
  store: KeyValueStore,
  proposed: StoredConfig,
): Promise<HistoryLookup> {
  const stored = await store
    .get(historyKey(proposed.version))
    .andThen(decodeConfig);
  if (stored.isErr()) return {kind: 'unreadable', error: stored.error};
  if (stored.value === undefined) return {kind: 'none'};
  if (stored.value.writeId === proposed.writeId) return {kind: 'ours'};
  return {kind: 'other', config: stored.value};
}

async function toConflict(
  store: KeyValueStore,
  fallback: StoredConfig | undefined,
): Promise<ConfigChangeResult> {
  const stored = await store.get(configKey).andThen(decodeConfig);
  return {kind: 'conflict', winner: stored.unwrapOr(undefined) ?? fallback};
}

function toUnresolvedCause(
  lookup: HistoryLookup,
  proposed: StoredConfig,
): PlatformError {
  if (lookup.kind === 'unreadable') return lookup.error;
  const message = `version ${proposed.version} is not in the history`;
  return new PlatformError(message, true);
}
