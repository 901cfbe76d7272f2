/**
 * The interface to the platform's key-value service.
 */
import type {ResultAsync} from 'neverthrow';
import type {Undo} from './Clock.js';
import type {PlatformError} from './Errors.js';
import type {StoreHistoryId} from './Ids.js';

/** A key with its value and the revision that last changed it. */
export interface KeyValue {
  readonly key: string;
  readonly value: Uint8Array;
  readonly modRevision: number;
}

/** Precondition of a transaction; revision 0 means that the key is absent. */
export interface RevisionCompare {
  readonly key: string;
  readonly modRevision: number;
  /**
   * Value that the key must have, too. A revision is given out again when the
   * service comes back from a copy; a value that no other write has isn't.
   */
  readonly value?: Uint8Array;
}

/** Puts and deletes that are applied atomically if all compares succeed. */
export interface KeyValueTransaction {
  readonly compares: readonly RevisionCompare[];
  readonly puts: readonly {readonly key: string; readonly value: Uint8Array}[];
  readonly deletes: readonly string[];
}

/** Response to a transaction. */
export interface TransactionResponse {
  /** False when a compare failed and nothing was changed. */
  readonly succeeded: boolean;
  readonly revision: number;
}

/** A change reported by a watch. */
export interface WatchEvent {
  readonly key: string;
  /** Undefined when the key was deleted. */
  readonly entry: KeyValue | undefined;
}

/**
 * What a client knows of the service's history. Another one begins when the
 * service comes back from a copy: what was written since is gone, and revisions
 * go back and are given out again.
 */
export interface StoreHistoryStatus {
  /** Undefined before the first response. */
  readonly id: StoreHistoryId | undefined;
  /** As a double: ids of 64 bits lose their last digits. */
  readonly clusterId: number;
  /** Highest revision seen in this history. */
  readonly revision: number;
  /** Number of histories seen by this client. */
  readonly count: number;
}

/** A history that began while the client was in use. */
export interface NewStoreHistory {
  readonly id: StoreHistoryId;
  readonly clusterId: number;
  readonly revision: number;
  readonly previousClusterId: number;
  readonly previousRevision: number;
}

/** Client of the key-value service. */
export interface KeyValueStore {
  get(key: string): ResultAsync<KeyValue | undefined, PlatformError>;
  /** Returns all entries whose keys start with `prefix`, in key order. */
  list(prefix: string): ResultAsync<readonly KeyValue[], PlatformError>;
  transact(
    transaction: KeyValueTransaction,
  ): ResultAsync<TransactionResponse, PlatformError>;
  /**
   * Reports changes of keys that start with `prefix`. The watch reconnects
   * automatically until it is canceled. After a gap, or when another history
   * begins, it reports every entry, and those that it reported before and that
   * are gone as deleted.
   */
  watch(
    prefix: string,
    onEvents: (events: readonly WatchEvent[]) => void,
  ): Undo;
  history(): StoreHistoryStatus;
  /** Calls `handler` whenever another history begins. */
  registerHistoryHandler(handler: (history: NewStoreHistory) => void): Undo;
  close(): void;
}
