/**
 * The items of the store that the gateway uses, with the revision of their latest
 * relevant change. Peers that read the store through this instance receive the
 * items after the revision that they know. Load pattern: upstreams rewrite
 * entries that say nothing new several times a second, which peers need not
 * learn.
 */
import type {Clock} from '@toucanrouter/common';
import type {StateChange, StoredItem} from './StateStore.js';

/** Items after a revision. */
export interface LoggedItems {
  /** Revision up to which the items are complete. */
  readonly revision: number;
  /** True if the items replace everything that the peer knows. */
  readonly complete: boolean;
  readonly items: readonly StoredItem[];
}

/** Holds the latest relevant items until the instance stops. */
export interface StateLog {
  /** Latest revision of the store; undefined before the first snapshot. */
  revision(): number | undefined;
  /** Records an item that was written at `revision` and what it means. */
  record(item: StoredItem, change: StateChange, revision: number): void;
  /** Returns the keys of items that exist. */
  keys(): readonly string[];
  /** Completes an update that leads to `revision`. */
  advance(revision: number): void;
  /** Returns the items after a revision, or all of them if too much is gone. */
  since(revision: number): LoggedItems | undefined;
  /** Calls `run` after each update that recorded an item; returns an undo. */
  onChange(run: () => void): () => void;
}

/** Removed items are kept for this time; it exceeds any wait of a peer. */
const removedLifetimeMs = 30_000;

interface LoggedItem {
  readonly item: StoredItem;
  readonly meaning: string;
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
    revision: () => currentRevision,
    record: (item, change, revision) => {
      const meaning = meaningOf(change);
      const previous = logged.get(item.key);
      const isUnknownRemoval =
        previous === undefined && item.value === undefined;
      if (isUnknownRemoval || previous?.meaning === meaning) return;
      const recordedAtMs = clock.nowMs();
      logged.set(item.key, {item, meaning, revision, recordedAtMs});
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
    since: revision => {
      if (currentRevision === undefined || revision > currentRevision) {
        return undefined;
      }
      const complete = revision < oldestRevision;
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
