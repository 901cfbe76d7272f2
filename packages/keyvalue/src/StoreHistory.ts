/**
 * Tells the histories of the key-value service apart. A service that comes back
 * from a copy begins a new history: it has lost what was written since the copy,
 * and its revisions go back and are given out again. It shows this by another
 * cluster id, or by a response with a revision before one that was seen when the
 * request was sent. A revision means nothing in another history than its own.
 */
import type {
  NewStoreHistory,
  StoreHistoryId,
  StoreHistoryStatus,
  Undo,
} from '@toucanrouter/common';
import {toStoreHistoryId} from '@toucanrouter/common';

/** What each response of the service says of its history. */
export interface HistoryHeader {
  readonly clusterId: number;
  readonly revision: number;
}

/** What was known of the history when a request was sent. */
export interface HistoryMark {
  /** Undefined before the first response. */
  readonly id: StoreHistoryId | undefined;
  readonly clusterId: number;
  /** The response can't have a lower revision; 0 if it may. */
  readonly minRevision: number;
}

export interface StoreHistory {
  status(): StoreHistoryStatus;
  /** Marks a read of the newest state, or a write, that is about to be sent. */
  mark(): HistoryMark;
  /** Marks a request whose response may come from a replica that is behind. */
  markReplicaRead(): HistoryMark;
  /** Returns the history that the response belongs to. */
  observe(header: HistoryHeader, mark: HistoryMark): StoreHistoryId;
  /** Calls `handler` whenever another history begins. */
  registerHandler(handler: (history: NewStoreHistory) => void): Undo;
}

/** Creates a history that begins with the first response. */
export function createStoreHistory(): StoreHistory {
  const handlers = new Set<(history: NewStoreHistory) => void>();
  let id: StoreHistoryId | undefined;
  let clusterId = 0;
  let revision = 0;
  let count = 0;

  function begin(header: HistoryHeader): StoreHistoryId {
    const previous = {clusterId, revision};
    count += 1;
    const begun = toStoreHistoryId(`${header.clusterId}/${count}`);
    id = begun;
    ({clusterId, revision} = header);
    if (count === 1) return begun;
    const change = {
      id: begun,
      clusterId,
      revision,
      previousClusterId: previous.clusterId,
      previousRevision: previous.revision,
    };
    for (const handler of [...handlers]) handler(change);
    return begun;
  }

  /** Whether the response was sent before the current history began. */
  function isLate(header: HistoryHeader, mark: HistoryMark): boolean {
    return (
      mark.id !== undefined &&
      mark.id !== id &&
      header.clusterId === mark.clusterId &&
      header.clusterId !== clusterId
    );
  }

  return {
    status: () => ({id, clusterId, revision, count}),
    mark: () => ({id, clusterId, minRevision: revision}),
    markReplicaRead: () => ({id, clusterId, minRevision: 0}),
    observe: (header, mark) => {
      if (mark.id !== undefined && isLate(header, mark)) return mark.id;
      if (id === undefined || header.clusterId !== clusterId) {
        return begin(header);
      }
      const wentBack = mark.id === id && header.revision < mark.minRevision;
      if (wentBack) return begin(header);
      revision = Math.max(revision, header.revision);
      return id;
    },
    registerHandler: handler => {
      handlers.add(handler);
      return () => handlers.delete(handler);
    },
  };
}
