/**
 * The multi-version state of the key-value stand-in: every change has a
 * revision, and older versions remain readable until compaction.
 */
import {invariant} from '@toucanrouter/common';

/** One version of a key. */
export interface VersionedEntry {
  readonly key: string;
  readonly value: Buffer;
  readonly createRevision: number;
  readonly modRevision: number;
  /** Number of changes since the key was created; 0 marks a deletion. */
  readonly version: number;
  readonly leaseId: number;
}

/** Keys from `key` up to but excluding `end`; without `end`, only `key`. */
export interface KeyRange {
  readonly key: string;
  readonly end?: string;
}

/** The entries of a range at one revision. */
export interface RangeResult {
  readonly entries: readonly VersionedEntry[];
  /** Number of entries in the range; a limit may leave fewer in `entries`. */
  readonly count: number;
}

/** Collects changes that take effect at one revision. */
export interface ChangeWriter {
  put(key: string, value: Buffer, leaseId: number): void;
  /** Deletes the keys of a range and returns their number. */
  remove(range: KeyRange): number;
}

/**
 * Number of revisions that stay readable. Older ones are compacted periodically
 * to bound the memory of long runs.
 */
const retainedRevisions = 1000;

const firstClusterId = 1;

/** Receives the versions written by one revision. */
export type CommitListener = (entries: readonly VersionedEntry[]) => void;

/** Receives the revision that the service had before it was restored. */
export type RestoreListener = (lostRevision: number) => void;

/** Thrown by a read below the compacted revision or above the current one. */
export class RevisionError extends Error {
  readonly reason: 'compacted' | 'future';

  constructor(reason: 'compacted' | 'future') {
    super(
      reason === 'compacted'
        ? 'required revision has been compacted'
        : 'required revision is a future revision',
    );
    this.name = 'RevisionError';
    this.reason = reason;
  }
}

/** The state at one moment, from which a service can be restored. */
export interface StateCopy {
  readonly revision: number;
  readonly compactedRevision: number;
  readonly versions: ReadonlyMap<string, readonly VersionedEntry[]>;
  readonly commitLog: readonly (readonly VersionedEntry[])[];
}

export interface KeyValueState {
  /** Identifies the history: a service that is restored gets another one. */
  clusterId(): number;
  revision(): number;
  compactedRevision(): number;
  get(key: string): VersionedEntry | undefined;
  /** Reads a range; throws `RevisionError` if the revision is not readable. */
  range(range: KeyRange, revision?: number, limit?: number): RangeResult;
  /** Runs `change`; all of its writes share one new revision. */
  commit<T>(change: (writer: ChangeWriter) => T): T;
  /** Returns the versions written since `revision`, inclusive, by revision. */
  changesSince(revision: number): readonly (readonly VersionedEntry[])[];
  compact(revision: number): void;
  copy(): StateCopy;
  /**
   * Goes back to a copy under a new cluster id. What was written since is gone,
   * and its revisions are given out again.
   */
  restore(copy: StateCopy): void;
  /** Registers a listener to restores; returns a function that removes it. */
  registerRestoreListener(listener: RestoreListener): () => void;
  /** Registers a listener; returns a function that removes it. */
  registerCommitListener(listener: CommitListener): () => void;
}

/** Reports whether a range contains a key; an end of `\0` is unbounded. */
export function rangeContains(range: KeyRange, key: string): boolean {
  if (range.end === undefined) return key === range.key;
  return key >= range.key && (range.end === '\0' || key < range.end);
}

/**
 * Creates an empty state at revision 1, where servers of the protocol start.
 */
export function createKeyValueState(): KeyValueState {
  const versions = new Map<string, VersionedEntry[]>();
  const listeners = new Set<CommitListener>();
  const restoreListeners = new Set<RestoreListener>();
  let clusterId = firstClusterId;
  let commitLog: (readonly VersionedEntry[])[] = [];
  let current = 1;
  let compacted = 0;

  function entryAt(key: string, revision: number): VersionedEntry | undefined {
    const entry = versions
      .get(key)
      ?.findLast(candidate => candidate.modRevision <= revision);
    return entry === undefined || entry.version === 0 ? undefined : entry;
  }

  function entriesIn(range: KeyRange, revision: number): VersionedEntry[] {
    if (range.end === undefined) {
      const entry = entryAt(range.key, revision);
      return entry === undefined ? [] : [entry];
    }
    return [...versions.keys()]
      .filter(key => rangeContains(range, key))
      .sort(compareKeys)
      .map(key => entryAt(key, revision))
      .filter(entry => entry !== undefined);
  }

  function checkReadable(revision: number): void {
    if (revision < compacted) throw new RevisionError('compacted');
    if (revision > current) throw new RevisionError('future');
  }

  function commit<T>(change: (writer: ChangeWriter) => T): T {
    const written: VersionedEntry[] = [];
    const revision = current + 1;

    function write(entry: VersionedEntry): void {
      const keyVersions = versions.get(entry.key) ?? [];
      versions.set(entry.key, keyVersions);
      const last = keyVersions.at(-1);
      invariant(
        last === undefined || last.modRevision < revision,
        `a transaction writes key ${entry.key} at most once`,
      );
      keyVersions.push(entry);
      written.push(entry);
    }

    const result = change({
      put: (key, value, leaseId) => {
        const previous = entryAt(key, current);
        write({
          key,
          value,
          createRevision: previous?.createRevision ?? revision,
          modRevision: revision,
          version: (previous?.version ?? 0) + 1,
          leaseId,
        });
      },
      remove: range => {
        const removed = entriesIn(range, current);
        for (const entry of removed) {
          write({
            ...entry,
            value: Buffer.alloc(0),
            createRevision: 0,
            modRevision: revision,
            version: 0,
            leaseId: 0,
          });
        }
        return removed.length;
      },
    });
    if (written.length > 0) {
      current = revision;
      commitLog.push(written);
      for (const listener of listeners) listener(written);
      if (current - compacted > 2 * retainedRevisions) {
        compact(current - retainedRevisions);
      }
    }
    return result;
  }

  function compact(revision: number): void {
    checkReadable(revision);
    compacted = revision;
    commitLog = commitLog.filter(
      ([first]) => (first?.modRevision ?? 0) > revision,
    );
    for (const [key, all] of versions) dropOldVersions(key, all);
  }

  function dropOldVersions(
    key: string,
    keyVersions: readonly VersionedEntry[],
  ): void {
    const retained = keyVersions.filter(
      (entry, i) =>
        entry.modRevision > compacted ||
        (entry.version > 0 &&
          (keyVersions[i + 1]?.modRevision ?? Infinity) > compacted),
    );
    if (retained.length === 0) versions.delete(key);
    else versions.set(key, retained);
  }

  function restore(copy: StateCopy): void {
    const lostRevision = current;
    versions.clear();
    for (const [key, all] of copy.versions) versions.set(key, [...all]);
    commitLog = [...copy.commitLog];
    current = copy.revision;
    compacted = copy.compactedRevision;
    clusterId += 1;
    for (const listener of [...restoreListeners]) listener(lostRevision);
  }

  return {
    clusterId: () => clusterId,
    revision: () => current,
    compactedRevision: () => compacted,
    get: key => entryAt(key, current),
    range: (range, revision = 0, limit = 0) => {
      const readRevision = revision || current;
      checkReadable(readRevision);
      const all = entriesIn(range, readRevision);
      const entries = limit > 0 ? all.slice(0, limit) : all;
      return {entries, count: all.length};
    },
    commit,
    changesSince: revision => {
      if (revision <= compacted) throw new RevisionError('compacted');
      return commitLog.filter(
        ([first]) => (first?.modRevision ?? 0) >= revision,
      );
    },
    compact,
    copy: () => ({
      revision: current,
      compactedRevision: compacted,
      versions: new Map([...versions].map(([key, all]) => [key, [...all]])),
      commitLog: [...commitLog],
    }),
    restore,
    registerRestoreListener: listener => {
      restoreListeners.add(listener);
      return () => restoreListeners.delete(listener);
    },
    registerCommitListener: listener => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}

function compareKeys(a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0;
}
