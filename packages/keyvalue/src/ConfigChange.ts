/**
 * One change of the operators' configuration by compare-and-swap.
 *
 * A write without an answer is sent again unchanged: both copies compare the
 * same revision, so at most one takes effect. The history entry of the
 * proposed version then tells whose write took effect.
 */
import type {
  Clock,
  KeyValueStore,
  KeyValueTransaction,
  StoredConfig,
} from '@toucanrouter/common';
import {delay, PlatformError} from '@toucanrouter/common';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import {
  configKey,
  keptVersions,
  maxRetryMs,
  minRetryMs,
} from './ConfigStoreConstants.js';
import {decodeConfig, encodeConfig, historyKey} from './ConfigStoreUtils.js';

/** How a change ended. */
export type ConfigChangeResult =
  | {readonly kind: 'accepted'; readonly config: StoredConfig}
  | {
      /** Another version is stored; this change never takes effect. */
      readonly kind: 'conflict';
      /** The stored configuration; undefined when it could not be read. */
      readonly winner: StoredConfig | undefined;
    }
  | {
      /** The change may have taken effect, or may still do so. */
      readonly kind: 'not_yet_known';
      readonly proposed: StoredConfig;
      readonly cause: PlatformError;
    };

/** What a change works with. */
export interface ConfigChangeContext {
  readonly store: KeyValueStore;
  readonly clock: Clock;
  /** Time within which an unanswered write is resolved. */
  readonly resolveMs: number;
}

/** Whose write is in the history under the proposed version. */
type Lookup =
  | {readonly kind: 'ours' | 'none'}
  | {readonly kind: 'other'; readonly config: StoredConfig}
  | {readonly kind: 'unreadable'; readonly error: PlatformError};

/**
 * Writes `proposed` over the entry with `modRevision` (0 when absent) and finds
 * out whether it took effect. An error means that nothing was written.
 */
export async function writeConfig(
  context: ConfigChangeContext,
  proposed: StoredConfig,
  modRevision: number,
): Promise<Result<ConfigChangeResult, PlatformError>> {
  const transaction = toTransaction(proposed, modRevision);
  const giveUpAtMs = context.clock.nowMs() + context.resolveMs;
  let retryMs = minRetryMs;
  let mayBeInEffect = false;
  for (;;) {
    const reply = await context.store.transact(transaction);
    if (reply.isOk() && reply.value.succeeded) {
      return ok({kind: 'accepted', config: proposed});
    }
    if (reply.isErr() && reply.error.mayHaveTakenEffect) mayBeInEffect = true;
    if (!mayBeInEffect) {
      if (reply.isErr()) return err(reply.error);
      return ok(await toConflict(context.store, undefined));
    }
    const found = await lookUp(context.store, proposed);
    if (found.kind === 'ours') return ok({kind: 'accepted', config: proposed});
    if (found.kind === 'other') {
      return ok(await toConflict(context.store, found.config));
    }
    if (context.clock.nowMs() + retryMs > giveUpAtMs) {
      const cause = reply.isErr() ? reply.error : toCause(found, proposed);
      return ok({kind: 'not_yet_known', proposed, cause});
    }
    await delay(context.clock, retryMs);
    retryMs = Math.min(retryMs * 2, maxRetryMs);
  }
}

function toTransaction(
  proposed: StoredConfig,
  modRevision: number,
): KeyValueTransaction {
  const value = encodeConfig(proposed);
  const outdated = proposed.version - keptVersions;
  return {
    compares: [{key: configKey, modRevision}],
    puts: [
      {key: configKey, value},
      {key: historyKey(proposed.version), value},
    ],
    deletes: outdated > 0 ? [historyKey(outdated)] : [],
  };
}

async function lookUp(
  store: KeyValueStore,
  proposed: StoredConfig,
): Promise<Lookup> {
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

function toCause(found: Lookup, proposed: StoredConfig): PlatformError {
  if (found.kind === 'unreadable') return found.error;
  const message = `version ${proposed.version} is not in the history`;
  return new PlatformError(message, true);
}
