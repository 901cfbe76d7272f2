/**
 * The interface to the platform's key-value service.
 */
import type {ResultAsync} from 'neverthrow';
import type {Undo} from './Clock.js';
import type {PlatformError} from './Errors.js';

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
   * automatically until it is canceled.
   */
  watch(
    prefix: string,
    onEvents: (events: readonly WatchEvent[]) => void,
  ): Undo;
  close(): void;
}
