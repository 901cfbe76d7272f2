/**
 * An in-memory key-value service whose calls take effect and complete only when
 * a test triggers it. A response can be delayed or lost, and a call can take
 * effect after its caller was notified of a failure.
 */
import type {
  KeyValue,
  KeyValueStore,
  KeyValueTransaction,
  TransactionResponse,
  Undo,
  WatchEvent,
} from '@toucanrouter/common';
import {PlatformError, toStoreHistoryId} from '@toucanrouter/common';
import {ResultAsync} from 'neverthrow';
import type {KeyValueState, VersionedEntry} from './KeyValueState.js';
import {createKeyValueState} from './KeyValueState.js';

/** A call that has not taken effect yet, or whose response is outstanding. */
export interface PendingCall {
  readonly client: string;
  readonly kind: 'get' | 'list' | 'transact';
  /** Applies the effect of the call; further invocations do nothing. */
  execute(): void;
  /** Sends the response; the call takes effect now if it has not yet. */
  respond(): void;
  /**
   * Fails the call for its caller; the error of a transaction states that it
   * may have taken effect. A transaction that has not stays pending and may
   * still take effect later.
   */
  timeOut(): void;
  /**
   * Discards a call that has not taken effect; its caller, unless it has a
   * response already, receives an error that rules out an effect. Does nothing
   * once the call has taken effect.
   */
  refuse(): void;
  readonly executed: boolean;
  readonly responded: boolean;
}

/** A key-value service controlled by a test. */
export interface ControlledKeyValue {
  readonly state: KeyValueState;
  /** Creates the store of one client. */
  storeFor(client: string): KeyValueStore;
  /** Calls that have not taken effect or have no response, oldest first. */
  pending(): readonly PendingCall[];
}

/** Creates a controlled service with empty state. */
export function createControlledKeyValue(): ControlledKeyValue {
  const state = createKeyValueState();
  const calls = new Set<PendingCall>();

  function submit<T>(
    client: string,
    kind: PendingCall['kind'],
    run: () => T,
  ): ResultAsync<T, PlatformError> {
    const promise = new Promise<T>((resolve, reject) => {
      calls.add(createPendingCall({client, kind, run, resolve, reject, calls}));
    });
    return ResultAsync.fromPromise(promise, error => error as PlatformError);
  }

  return {
    state,
    pending: () => [...calls],
    storeFor: client => ({
      get: key => submit(client, 'get', () => readKey(state, key)),
      list: prefix => submit(client, 'list', () => readPrefix(state, prefix)),
      transact: transaction =>
        submit(client, 'transact', () => runTransaction(state, transaction)),
      watch: (prefix, onEvents) => watchPrefix(state, prefix, onEvents),
      history: () => historyOf(state),
      registerHistoryHandler: handler => {
        let before = historyOf(state);
        return state.registerRestoreListener(previousRevision => {
          const {clusterId, id, revision} = historyOf(state);
          const previousClusterId = before.clusterId;
          before = historyOf(state);
          handler({
            id,
            clusterId,
            revision,
            previousClusterId,
            previousRevision,
          });
        });
      },
      close: () => {},
    }),
  };
}

interface PendingCallOptions<T> {
  readonly client: string;
  readonly kind: PendingCall['kind'];
  readonly run: () => T;
  readonly resolve: (value: T) => void;
  readonly reject: (error: PlatformError) => void;
  readonly calls: Set<PendingCall>;
}

function createPendingCall<T>(options: PendingCallOptions<T>): PendingCall {
  const {kind, calls} = options;
  let result: {readonly value: T} | undefined;
  let answered = false;

  function execute(): {readonly value: T} {
    result ??= {value: options.run()};
    if (answered) calls.delete(call);
    return result;
  }

  function completeOnce(run: () => void): void {
    if (answered) return;
    answered = true;
    run();
  }

  function fail(mayHaveTakenEffect: boolean): void {
    const message = `controlled ${kind} call failed`;
    options.reject(new PlatformError(message, mayHaveTakenEffect));
  }

  const call: PendingCall = {
    client: options.client,
    kind,
    execute,
    respond: () => {
      const {value} = execute();
      completeOnce(() => options.resolve(value));
      calls.delete(call);
    },
    timeOut: () => {
      completeOnce(() => fail(kind === 'transact'));
      if (result !== undefined || kind !== 'transact') calls.delete(call);
    },
    refuse: () => {
      if (result !== undefined) return;
      completeOnce(() => fail(false));
      calls.delete(call);
    },
    get executed() {
      return result !== undefined;
    },
    get responded() {
      return answered;
    },
  };
  return call;
}

function readKey(state: KeyValueState, key: string): KeyValue | undefined {
  const entry = state.get(key);
  return entry && toKeyValue(entry);
}

function readPrefix(state: KeyValueState, prefix: string): KeyValue[] {
  const end = `${prefix}\u{10ffff}`;
  return state.range({key: prefix, end}).entries.map(toKeyValue);
}

function runTransaction(
  state: KeyValueState,
  transaction: KeyValueTransaction,
): TransactionResponse {
  const succeeded = transaction.compares.every(({key, modRevision, value}) => {
    const entry = state.get(key);
    if ((entry?.modRevision ?? 0) !== modRevision) return false;
    return value === undefined || entry?.value.equals(value) === true;
  });
  if (succeeded) {
    state.commit(writer => {
      for (const {key, value} of transaction.puts) {
        writer.put(key, Buffer.from(value), 0);
      }
      for (const key of transaction.deletes) writer.remove({key});
    });
  }
  return {succeeded, revision: state.revision()};
}

function historyOf(state: KeyValueState) {
  const clusterId = state.clusterId();
  const id = toStoreHistoryId(String(clusterId));
  return {id, clusterId, revision: state.revision(), count: clusterId};
}

/** Reports commits, and after a restore all entries and the missing keys. */
function watchPrefix(
  state: KeyValueState,
  prefix: string,
  onEvents: (events: readonly WatchEvent[]) => void,
): Undo {
  const reportedKeys = new Set<string>();

  function report(events: readonly WatchEvent[]): void {
    for (const {key, entry} of events) {
      if (entry === undefined) reportedKeys.delete(key);
      else reportedKeys.add(key);
    }
    if (events.length > 0) onEvents(events);
  }

  const stopCommits = state.registerCommitListener(entries =>
    report(entries.filter(({key}) => key.startsWith(prefix)).map(toWatchEvent)),
  );
  const stopRestores = state.registerRestoreListener(() => {
    const entries = readPrefix(state, prefix);
    const keys = new Set(entries.map(({key}) => key));
    const deletedKeys = [...reportedKeys].filter(key => !keys.has(key));
    report([
      ...deletedKeys.map(key => ({key, entry: undefined})),
      ...entries.map(entry => ({key: entry.key, entry})),
    ]);
  });
  return () => {
    stopCommits();
    stopRestores();
  };
}

function toWatchEvent(entry: VersionedEntry) {
  const deleted = entry.version === 0;
  return {key: entry.key, entry: deleted ? undefined : toKeyValue(entry)};
}

function toKeyValue({key, value, modRevision}: VersionedEntry): KeyValue {
  return {key, value, modRevision};
}
