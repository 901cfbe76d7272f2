/**
 * A watch on a key prefix that reconnects. It resumes from the revision after
 * the last one received. If that revision was compacted, it lists the prefix,
 * reports every entry, and resumes from the revision of the list. Deletions in
 * the compacted range are not reported.
 */
import type {ClientDuplexStream} from '@grpc/grpc-js';
import type {Clock, KeyValue, Undo, WatchEvent} from '@toucanrouter/common';
import type {PlatformError} from '@toucanrouter/common';
import type {ResultAsync} from 'neverthrow';
import type {WatchRequest} from './generated/etcdserverpb/WatchRequest.js';
import type {WatchResponse__Output} from './generated/etcdserverpb/WatchResponse.js';
import {
  maxReconnectBackoffMs,
  minReconnectBackoffMs,
} from './KeyValueConstants.js';
import {prefixEnd, toWatchEvent} from './KeyValueUtils.js';

type WatchStream = ClientDuplexStream<WatchRequest, WatchResponse__Output>;

/** All entries with a prefix, at one revision. */
export interface Listing {
  readonly entries: readonly KeyValue[];
  readonly revision: number;
}

export interface WatchOptions {
  readonly prefix: string;
  readonly clock: Clock;
  /**
   * Time after which a watch that the service has not confirmed is reopened.
   */
  readonly timeoutMs: number;
  readonly openStream: () => WatchStream;
  readonly listPrefix: (prefix: string) => ResultAsync<Listing, PlatformError>;
  readonly onEvents: (events: readonly WatchEvent[]) => void;
}

/** Starts a watch. The returned function stops it. */
export function startWatch(options: WatchOptions): Undo {
  const key = Buffer.from(options.prefix);
  let stopped = false;
  let stream: WatchStream | undefined;
  let stopTimer: Undo = () => {};
  let nextRevision = 0; // 0 requests changes from now on.
  let backoffMs = minReconnectBackoffMs;

  function connect(): void {
    const opened = options.openStream();
    stream = opened;
    stopTimer = options.clock.after(options.timeoutMs, () => reconnect(opened));
    opened.on('data', (response: WatchResponse__Output) => {
      if (stream === opened) handleResponse(response);
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

  function handleResponse(response: WatchResponse__Output): void {
    stopTimer();
    if (response.compactRevision > 0) return relist();
    if (response.canceled) return reconnect(stream);
    backoffMs = minReconnectBackoffMs;
    const revision = response.header?.revision ?? 0;
    nextRevision = nextRevisionAfter(response, revision);
    const events = response.events
      .map(toWatchEvent)
      .filter(event => event !== undefined);
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
    const closing = stream;
    stream = undefined;
    closing?.cancel();
  }

  function scheduleRetry(run: () => void): void {
    stopTimer = options.clock.after(backoffMs, run);
    backoffMs = Math.min(backoffMs * 2, maxReconnectBackoffMs);
  }

  function reconnect(failedStream: WatchStream | undefined): void {
    if (stopped || stream !== failedStream) return;
    disconnect();
    scheduleRetry(connect);
  }

  function relist(): void {
    disconnect();
    void options.listPrefix(options.prefix).match(
      listing => {
        if (stopped) return;
        nextRevision = listing.revision + 1;
        const events = listing.entries.map(entry => ({key: entry.key, entry}));
        if (events.length > 0) options.onEvents(events);
        connect();
      },
      () => {
        if (!stopped) scheduleRetry(relist);
      },
    );
  }

  connect();
  return () => {
    stopped = true;
    stopTimer();
    disconnect();
  };
}
