/**
 * Decides what to believe of a store that came back from a copy. The copy is
 * older than what this instance knows: what it lacks may only not have been
 * written again yet, and what it still holds may have been removed since.
 */
import type {Clock} from '@toucanrouter/common';
import type {KnownItem} from './StateLog.js';
import type {StateChange, StoredItem} from './StateStore.js';

/** An item of the store and what it means. */
export interface DecodedItem {
  readonly item: StoredItem;
  readonly change: StateChange | undefined;
}

/** Protects newer knowledge against the first snapshots of a new history. */
export interface RestoredState {
  /** Begins a grace period in which removals are deferred. */
  begin(): void;
  /**
   * Returns the items of a snapshot that can be believed. `known` is what this
   * instance knew before the copy; undefined in later snapshots of a history.
   */
  admit(
    items: readonly DecodedItem[],
    known: ((key: string) => KnownItem | undefined) | undefined,
  ): readonly DecodedItem[];
  /**
   * Notes the keys that the first snapshot of a history lacks. Nobody is known to
   * have removed them, so the snapshot of a further history may hold them.
   */
  noteLacking(keys: readonly string[]): void;
  /** Notes that an item has been written or removed in the present history. */
  noteWritten(key: string): void;
  /**
   * Takes the items that have been held back for the longest time allowed. One
   * that is known to be leaving, to be over or to be a lifted verdict stays.
   */
  takeOverdue(): readonly StoredItem[];
  readonly heldBackCount: number;
  /** Runs `remove` at the end of the grace period unless `key` is written. */
  deferRemoval(key: string, remove: () => void): void;
}

/**
 * Instances notice a new history within some seconds and write their entries
 * again.
 */
export const restoredEntryGraceMs = 4_000;
/**
 * An entry that nobody renews expires meanwhile. One that is still in the store
 * is renewed, although this instance may not see it through another one.
 */
export const maxHeldBackMs = 20_000;

interface HeldBackItem {
  readonly item: StoredItem;
  /** True if it was only removed, so its owner may have written it again. */
  readonly wasRemoved: boolean;
  /** False for verdicts: the store holds them to their end without an owner. */
  readonly isRenewed: boolean;
}

/** True if an item of the copy is older than what is known. */
function isOutdated(change: StateChange, known: KnownItem): boolean {
  switch (change.kind) {
    case 'upstream': {
      if (known.isRemoved) return true;
      if (known.change.kind !== 'upstream') return false;
      const latest = known.change.entry;
      const {leaving, startedAtMs} = change.entry;
      if (latest.startedAtMs === startedAtMs) return latest.leaving && !leaving;
      return (latest.startedAtMs ?? -Infinity) > (startedAtMs ?? -Infinity);
    }
    case 'peer':
    case 'peer_domain':
    case 'verdict':
      return known.isRemoved;
    default:
      return false;
  }
}

/** Creates a state without a copy. */
export function createRestoredState(clock: Clock): RestoredState {
  const heldBack = new Map<string, HeldBackItem>();
  const lacking = new Set<string>();
  const cancelRemovals = new Map<string, () => void>();
  let graceEndMs = -Infinity;
  let heldBackUntilMs = -Infinity;

  function cancelRemoval(key: string): void {
    cancelRemovals.get(key)?.();
    cancelRemovals.delete(key);
  }

  function scheduleRemoval(key: string, remove: () => void): void {
    const cancel = clock.after(Math.max(0, graceEndMs - clock.nowMs()), () => {
      cancelRemovals.delete(key);
      // Another history may have begun meanwhile.
      if (clock.nowMs() < graceEndMs) scheduleRemoval(key, remove);
      else remove();
    });
    cancelRemovals.set(key, cancel);
  }

  return {
    begin: () => {
      graceEndMs = clock.nowMs() + restoredEntryGraceMs;
      heldBackUntilMs = clock.nowMs() + maxHeldBackMs;
    },
    admit: (items, known) => {
      const present = new Set(items.map(({item}) => item.key));
      for (const key of heldBack.keys()) {
        if (!present.has(key)) heldBack.delete(key);
      }
      return items.filter(({change, item}) => {
        const held = heldBack.get(item.key);
        heldBack.delete(item.key);
        const knownItem = known?.(item.key);
        const isOld =
          known === undefined
            ? held !== undefined && held.item.value === item.value
            : change !== undefined &&
              knownItem !== undefined &&
              !lacking.has(item.key) &&
              isOutdated(change, knownItem);
        const wasRemoved = knownItem?.isRemoved ?? held?.wasRemoved ?? false;
        const isRenewed = change?.kind !== 'verdict';
        if (isOld) heldBack.set(item.key, {item, wasRemoved, isRenewed});
        else {
          lacking.delete(item.key);
          cancelRemoval(item.key);
        }
        return !isOld;
      });
    },
    noteLacking: keys => {
      for (const key of keys) lacking.add(key);
    },
    noteWritten: key => {
      lacking.delete(key);
      heldBack.delete(key);
      cancelRemoval(key);
    },
    takeOverdue: () => {
      if (clock.nowMs() >= heldBackUntilMs) lacking.clear();
      if (heldBack.size === 0 || clock.nowMs() < heldBackUntilMs) return [];
      const overdue = [...heldBack.values()]
        .filter(({isRenewed, wasRemoved}) => wasRemoved && isRenewed)
        .map(({item}) => item);
      for (const {key} of overdue) heldBack.delete(key);
      return overdue;
    },
    get heldBackCount() {
      return heldBack.size;
    },
    deferRemoval: (key, remove) => {
      cancelRemoval(key);
      if (clock.nowMs() < graceEndMs) scheduleRemoval(key, remove);
      else remove();
    },
  };
}
