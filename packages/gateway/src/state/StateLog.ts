/**
 * The items of the store that the gateway uses, with the revision of their latest
 * relevant change. Peers that read the store through this instance receive the
 * items after the revision that they know. Load pattern: upstreams rewrite
 * entries that say nothing new several times a second, which peers need not
 * learn.
 */
import type {Clock} from '@toucanrouter/common';
import type {StateChange, StoredItem, StoreEra} from './StateStore.js';

/** Items after a revision. */
export interface LoggedItems {
  /** Revision up to which the items are complete. */
  readonly revision: number;
  /** True if the items replace everything that the peer knows. */
  readonly complete: boolean;
  readonly items: readonly StoredItem[];
}

/** What the log knows of a key. */
export interface KnownItem {
  readonly change: StateChange;
  readonly isRemoved: boolean;
}

/** Holds the latest relevant items until the instance stops. */
export interface StateLog {
  /** History of the store that the revisions belong to, if it tells. */
  era(): StoreEra | undefined;
  /**
   * Continues with the revisions of another history. What is known goes over to
   * it at `revision`; peers with a cursor of another history receive all items.
   */
  beginHistory(era: StoreEra | undefined, revision: number): void;
  /** Names the history of the revisions, which was not known before. */
  nameHistory(era: StoreEra): void;
  /** Returns the latest item of a key, also one removed a short time ago. */
  known(key: string): KnownItem | undefined;
  /** Latest revision of the store; undefined before the first snapshot. */
  revision(): number | undefined;
  /** Records an item that was written at `revision` and what it means. */
  record(item: StoredItem, change: StateChange, revision: number): void;
  /** Returns the keys of items that exist. */
  keys(): readonly string[];
  /** Completes an update that leads to `revision`. */
  advance(revision: number): void;
  /**
   * Returns the items after a revision, or all of them if too much is gone or
   * the revision belongs to another history than `era()`.
   */
  since(revision: number, era?: StoreEra): LoggedItems | undefined;
  /** Calls `run` after each update that recorded an item; returns an undo. */
  onChange(run: () => void): () => void;
}

/** Removed items are kept for this time; it exceeds any wait of a peer. */
const removedLifetimeMs = 30_000;

interface LoggedItem {
  readonly item: StoredItem;
  readonly change: StateChange;
  /**
   * Undefined for what is only known from an earlier history: peers that joined
   * in the present one may know something else until it is written again.
   */
  readonly meaning: string | undefined;
  readonly revision: number;
  readonly recordedAtMs: number;
}

/** Equal for items that say the same. */
function meaningOf(change: StateChange): string {
  switch (change.kind) {
    case 'config':
      return `version ${change.config.version}`;
    case 'unreadable':
      return change.kind;
    default:
      return JSON.stringify(change);
  }
}

function isRemoved({item}: LoggedItem): boolean {
  return item.value === undefined;
}

/** Creates a log without items. */
export function createStateLog(clock: Clock): StateLog {
  const logged = new Map<string, LoggedItem>();
  const listeners = new Set<() => void>();
  let currentEra: StoreEra | undefined;
  let currentRevision: number | undefined;
  /** Removals up to this revision may be gone. */
  let oldestRevision = -Infinity;
  let changed = false;

  function dropOldRemovals(): void {
    const oldestMs = clock.nowMs() - removedLifetimeMs;
    for (const [key, entry] of logged) {
      if (!isRemoved(entry) || entry.recordedAtMs >= oldestMs) continue;
      logged.delete(key);
      oldestRevision = Math.max(oldestRevision, entry.revision);
    }
  }

  return {
    era: () => currentEra,
    beginHistory: (era, revision) => {
      currentEra = era;
      currentRevision = revision;
      oldestRevision = revision;
      for (const [key, entry] of logged) {
        logged.set(key, {...entry, meaning: undefined, revision});
      }
      changed = true;
    },
    nameHistory: era => {
      currentEra = era;
    },
    known: key => {
      const entry = logged.get(key);
      return entry && {change: entry.change, isRemoved: isRemoved(entry)};
    },
    revision: () => currentRevision,
    record: (item, change, revision) => {
      const meaning = meaningOf(change);
      const previous = logged.get(item.key);
      const isUnknownRemoval =
        previous === undefined && item.value === undefined;
      // A configuration may be known from peers before the store shows it.
      const isWrittenConfig =
        change.kind === 'config' &&
        revision > (previous?.revision ?? -Infinity);
      const saysNothingNew = previous?.meaning === meaning && !isWrittenConfig;
      if (isUnknownRemoval || saysNothingNew) return;
      const recordedAtMs = clock.nowMs();
      logged.set(item.key, {item, change, meaning, revision, recordedAtMs});
      changed = true;
    },
    keys: () =>
      [...logged].flatMap(([key, entry]) => (isRemoved(entry) ? [] : [key])),
    advance: revision => {
      if (currentRevision === undefined) oldestRevision = revision;
      currentRevision = Math.max(currentRevision ?? revision, revision);
      dropOldRemovals();
      if (!changed) return;
      changed = false;
      for (const listener of [...listeners]) listener();
    },
    since: (revision, era) => {
      if (currentRevision === undefined) return undefined;
      const isOtherHistory =
        era !== undefined && currentEra !== undefined && era !== currentEra;
      if (!isOtherHistory && revision > currentRevision) return undefined;
      const complete = isOtherHistory || revision < oldestRevision;
      const items = [...logged.values()]
        .filter(entry =>
          complete ? !isRemoved(entry) : entry.revision > revision,
        )
        .map(({item}) => item);
      return {revision: currentRevision, complete, items};
    },
    onChange: run => {
      listeners.add(run);
      return () => listeners.delete(run);
    },
  };
}
