/**
 * A watch on a key prefix that reconnects. It resumes from the revision after
 * the last one received. If that revision was compacted, is ahead of the
 * service, or belongs to another history of it, the watch lists the prefix,
 * reports every entry, and as deleted those that it reported before and that
 * the list lacks, and resumes from the revision of the list.
 */
import type {ClientDuplexStream} from '@grpc/grpc-js';
import type {
  Clock,
  KeyValue,
  PlatformError,
  StoreHistoryId,
  Undo,
  WatchEvent,
} from '@toucanrouter/common';
import type {ResultAsync} from 'neverthrow';
import type {WatchRequest} from './generated/etcdserverpb/WatchRequest.js';
import type {WatchResponse__Output} from './generated/etcdserverpb/WatchResponse.js';
import {
  maxReconnectBackoffMs,
  minReconnectBackoffMs,
} from './KeyValueConstants.js';
import {prefixEnd, toWatchEvent} from './KeyValueUtils.js';
import type {HistoryMark, StoreHistory} from './StoreHistory.js';

type WatchStream = ClientDuplexStream<WatchRequest, WatchResponse__Output>;

/** All entries with a prefix, at one revision. */
export interface Listing {
  readonly entries: readonly KeyValue[];
  readonly revision: number;
  readonly historyId: StoreHistoryId | undefined;
}

export interface WatchOptions {
  readonly prefix: string;
  readonly clock: Clock;
  /**
   * Time after which a watch that the service has not confirmed is reopened.
   */
  readonly timeoutMs: number;
  readonly history: StoreHistory;
  readonly openStream: () => WatchStream;
  readonly listPrefix: (prefix: string) => ResultAsync<Listing, PlatformError>;
  readonly onEvents: (events: readonly WatchEvent[]) => void;
}

/** Starts a watch. The returned function stops it. */
export function startWatch(options: WatchOptions): Undo {
  const {history} = options;
  const key = Buffer.from(options.prefix);
  let stopped = false;
  let stream: WatchStream | undefined;
  /** The listing in progress, if it is still wanted. */
  let listing: ReturnType<WatchOptions['listPrefix']> | undefined;
  let stopTimer: Undo = () => {};
  let nextRevision = 0; // 0 requests changes from now on.
  /** History that `nextRevision` belongs to. */
  let historyId: StoreHistoryId | undefined;
  const reportedKeys = new Set<string>();
  let backoffMs = minReconnectBackoffMs;
  /** True unless a listing has begun that no watch has continued yet. */
  let isListingConfirmed = true;

  function connect(): void {
    const mark = history.markReplicaRead();
    const opened = options.openStream();
    stream = opened;
    stopTimer = options.clock.after(options.timeoutMs, () => reconnect(opened));
    opened.on('data', (response: WatchResponse__Output) => {
      if (stream === opened) handleResponse(opened, response, mark);
    });
    opened.on('error', () => reconnect(opened));
    opened.on('end', () => reconnect(opened));
    opened.write({
      createRequest: {
        key,
        rangeEnd: prefixEnd(key),
        startRevision: nextRevision,
      },
    });
  }

  function handleResponse(
    opened: WatchStream,
    response: WatchResponse__Output,
    mark: HistoryMark,
  ): void {
    stopTimer();
    if (response.header !== null) {
      const observedId = history.observe(response.header, mark);
      // The handler of another history has closed the stream.
      if (stream !== opened) return;
      if (nextRevision === 0) historyId = observedId;
      if (observedId !== historyId) return reconnect(opened);
    }
    if (isAheadOf(response)) return relistLater();
    if (response.compactRevision > 0) return relist();
    if (response.canceled) return reconnect(opened);
    backoffMs = minReconnectBackoffMs;
    isListingConfirmed = true;
    const revision = response.header?.revision ?? 0;
    nextRevision = nextRevisionAfter(response, revision);
    report(
      response.events.map(toWatchEvent).filter(event => event !== undefined),
    );
  }

  /** A watch from a revision that doesn't exist yet waits in silence. */
  function isAheadOf({created, header}: WatchResponse__Output): boolean {
    return created && nextRevision > (header?.revision ?? 0) + 1;
  }

  function report(events: readonly WatchEvent[]): void {
    for (const {entry, key: reported} of events) {
      if (entry === undefined) reportedKeys.delete(reported);
      else reportedKeys.add(reported);
    }
    if (events.length > 0) options.onEvents(events);
  }

  function nextRevisionAfter(
    response: WatchResponse__Output,
    headerRevision: number,
  ): number {
    // When the watch resumes from an earlier revision, the header revision of
    // the "created" response is ahead of events that are still to be sent.
    if (response.created) return nextRevision || headerRevision + 1;
    const lastEventRevision = response.events.at(-1)?.kv?.modRevision ?? 0;
    return Math.max(nextRevision, lastEventRevision + 1);
  }

  function disconnect(): void {
    stopTimer();
    listing = undefined;
    const closing = stream;
    stream = undefined;
    closing?.cancel();
  }

  function scheduleRetry(run: () => void): void {
    stopTimer = options.clock.after(backoffMs, run);
    backoffMs = Math.min(backoffMs * 2, maxReconnectBackoffMs);
  }

  function reconnect(failedStream: WatchStream): void {
    if (stopped || stream !== failedStream) return;
    disconnect();
    scheduleRetry(connect);
  }

  function relistLater(): void {
    disconnect();
    scheduleRetry(relist);
  }

  function relist(): void {
    disconnect();
    isListingConfirmed = false;
    const started = options.listPrefix(options.prefix);
    listing = started;
    void started.match(
      listed => {
        if (listing === started) applyListing(listed);
      },
      () => {
        if (listing === started) scheduleRetry(relist);
      },
    );
  }

  function applyListing({entries, ...listed}: Listing): void {
    nextRevision = listed.revision + 1;
    historyId = listed.historyId;
    const listedKeys = new Set(entries.map(entry => entry.key));
    const deletedKeys = [...reportedKeys].filter(k => !listedKeys.has(k));
    report([
      ...deletedKeys.map(deleted => ({key: deleted, entry: undefined})),
      ...entries.map(entry => ({key: entry.key, entry})),
    ]);
    if (!stopped) connect();
  }

  // Without a cursor, the watch belongs to whichever history it starts in.
  const unregisterHistory = history.registerHandler(() => {
    if (nextRevision === 0) return;
    // Members that answer from two histories would cause calls without a pause.
    if (isListingConfirmed) relist();
    else relistLater();
  });
  connect();
  return () => {
    stopped = true;
    unregisterHistory();
    disconnect();
  };
}
