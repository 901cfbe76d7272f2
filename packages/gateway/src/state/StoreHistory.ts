/**
 * The history of the store that this instance follows. A store that comes back
 * from a copy begins a new history: it lacks what was written after the copy was
 * made, and gives out revisions and leases again. The era, a number that rises
 * with each history, tells them apart. A revision, a lease or a cursor is valid
 * only in the era in which it was received.
 */
import type {StoreEra} from './StateStore.js';

/** What a response says about the history of the store. */
export type HistoryChange =
  /** It belongs to the history that was known, or does not tell. */
  | 'none'
  /** It is the first one of a new history. */
  | 'begun'
  /** It was sent before the present history began. */
  | 'outdated';

/** Follows the eras of a store. */
export interface StoreHistory {
  /** The latest era; undefined while no response has shown one. */
  era(): StoreEra | undefined;
  /** Records the era that a response shows. */
  observe(era: StoreEra | undefined): HistoryChange;
  /** Begins a new history of a store that does not tell eras. */
  begin(): void;
  /** Calls `run` whenever a new history begins. Returns an undo. */
  onBegin(run: () => void): () => void;
}

/** Creates a history without a known era. */
export function createStoreHistory(): StoreHistory {
  let latest: StoreEra | undefined;
  const listeners = new Set<() => void>();

  const notify = () => {
    for (const listener of [...listeners]) listener();
  };

  return {
    era: () => latest,
    observe: era => {
      if (era === undefined || era === latest) return 'none';
      if (latest !== undefined && era < latest) return 'outdated';
      const isFirst = latest === undefined;
      latest = era;
      if (isFirst) return 'none';
      notify();
      return 'begun';
    },
    begin: notify,
    onBegin: run => {
      listeners.add(run);
      return () => listeners.delete(run);
    },
  };
}
