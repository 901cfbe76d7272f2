/**
 * Store of the operators' configuration: one versioned value in the platform's
 * key-value service, changed by compare-and-swap.
 */
import type {
  Clock,
  KeyValue,
  KeyValueStore,
  PlatformError,
  StoredConfig,
  Undo,
  UpstreamId,
} from '@toucanrouter/common';
import {RouterError} from '@toucanrouter/common';
import {errAsync, okAsync, ResultAsync} from 'neverthrow';
import type {ConfigChangeResult} from './ConfigChange.js';
import {writeConfig} from './ConfigChange.js';
import type {RestoredConfig} from './ConfigRestore.js';
import {isBehind, restoreConfig} from './ConfigRestore.js';
import {
  configKey,
  defaultResolveTimeoutMs,
  maxHistoryVersions,
  maxConfigBytes,
} from './ConfigStoreConstants.js';
import {decodeConfig, encodeConfig, historyKey} from './ConfigStoreUtils.js';
import {startConfigWatch} from './ConfigWatch.js';

/** A change requested by an operator. */
export interface ConfigChangeRequest {
  /** The version that the change is based on; 0 if there was none. */
  readonly expectedVersion: number;
  readonly classesText: string;
  readonly drainedUpstreams: readonly UpstreamId[];
  readonly author: string;
  /** Identifies the write. The store creates an id if it is absent. */
  readonly writeId?: string;
}

export interface ConfigStoreOptions {
  readonly store: KeyValueStore;
  readonly clock: Clock;
  /** Returns a unique id. */
  readonly createWriteId: () => string;
  /**
   * Time limit for finding out whether a write without a response took effect;
   * 5 s if absent.
   */
  readonly resolveTimeoutMs?: number;
  /**
   * The configuration in force, which the store may lack after it came back
   * from a copy.
   */
  readonly inForce?: () => StoredConfig | undefined;
  /** Called when a configuration was written because the store was behind. */
  readonly onRestored?: (restored: RestoredConfig) => void;
}

export interface ConfigStore {
  /** Reads the current configuration; undefined if there is none. */
  read(): ResultAsync<StoredConfig | undefined, PlatformError>;
  /**
   * Changes the configuration. A `PlatformError` means that nothing was
   * changed, and `config_invalid` that the value is too large to store.
   */
  change(
    request: ConfigChangeRequest,
  ): ResultAsync<ConfigChangeResult, RouterError>;
  /** Returns up to `limit` versions, newest first. */
  history(limit: number): ResultAsync<readonly StoredConfig[], PlatformError>;
  /** Reports each higher version, also after outages, until undone. */
  watchConfig(
    onConfig: (config: StoredConfig) => void,
    onError?: (error: PlatformError) => void,
  ): Undo;
}

export function createConfigStore(options: ConfigStoreOptions): ConfigStore {
  const {store, clock, inForce = () => undefined} = options;
  const resolveTimeoutMs = options.resolveTimeoutMs ?? defaultResolveTimeoutMs;

  function createProposal(request: ConfigChangeRequest): StoredConfig {
    return {
      version: request.expectedVersion + 1,
      writeId: request.writeId ?? options.createWriteId(),
      author: request.author,
      changedAtWallMs: clock.wallMs(),
      classesText: request.classesText,
      drainedUpstreams: request.drainedUpstreams,
    };
  }

  function writeIfCurrent(
    entry: KeyValue | undefined,
    current: StoredConfig | undefined,
    proposed: StoredConfig,
  ): ResultAsync<ConfigChangeResult, PlatformError> {
    if ((current?.version ?? 0) !== proposed.version - 1) {
      return okAsync({kind: 'conflict', winner: current});
    }
    const context = {store, clock, resolveTimeoutMs};
    return new ResultAsync(writeConfig(context, proposed, entry));
  }

  function writeProposal(
    proposed: StoredConfig,
    beforeWrite: (
      current: StoredConfig | undefined,
    ) => ResultAsync<'ready' | 'read_again', PlatformError>,
  ): ResultAsync<ConfigChangeResult, PlatformError> {
    return store
      .get(configKey)
      .andThen(entry =>
        decodeConfig(entry).asyncAndThen(current =>
          beforeWrite(current).andThen(next =>
            next === 'ready'
              ? writeIfCurrent(entry, current, proposed)
              : writeProposal(proposed, () => okAsync('ready')),
          ),
        ),
      );
  }

  function catchUpIfBehind(
    current: StoredConfig | undefined,
  ): ResultAsync<'ready' | 'read_again', PlatformError> {
    if (!isBehind(current, inForce())) return okAsync('ready');
    return catchUp().map(() => 'read_again');
  }

  /** Writes what the store lacks, if it is behind the configuration in force. */
  function catchUp(): ResultAsync<void, PlatformError> {
    const known = inForce();
    if (known === undefined) return okAsync(undefined);
    return new ResultAsync(restoreConfig(store, known)).map(restored => {
      if (restored !== undefined) options.onRestored?.(restored);
    });
  }

  function readVersions(
    newestVersion: number,
    limit: number,
  ): ResultAsync<readonly StoredConfig[], PlatformError> {
    const count = Math.min(newestVersion, limit, maxHistoryVersions);
    const reads = Array.from({length: count}, (_, i) =>
      store.get(historyKey(newestVersion - i)).andThen(decodeConfig),
    );
    return ResultAsync.combine(reads).map(configs =>
      configs.filter(config => config !== undefined),
    );
  }

  return {
    read: () => store.get(configKey).andThen(decodeConfig),

    change: request => {
      const proposed = createProposal(request);
      const sizeError = checkSize(proposed);
      if (sizeError !== undefined) return errAsync(sizeError);
      return writeProposal(proposed, catchUpIfBehind);
    },

    history: limit =>
      store
        .get(configKey)
        .andThen(decodeConfig)
        .andThen(current => readVersions(current?.version ?? 0, limit)),

    watchConfig: (onConfig, onError = () => {}) =>
      startConfigWatch({store, clock, inForce, catchUp, onConfig, onError}),
  };
}

function checkSize(config: StoredConfig): RouterError | undefined {
  const sizeBytes = encodeConfig(config).length;
  if (sizeBytes <= maxConfigBytes) return undefined;
  const message = `configuration of ${sizeBytes} bytes exceeds the maximum of ${maxConfigBytes}`;
  return new RouterError('config_invalid', message);
}
