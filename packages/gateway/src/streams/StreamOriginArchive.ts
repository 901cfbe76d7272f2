/**
 * The origins of streams that callers may still resume. Those that began at this
 * instance are remembered; those of others are found in the store. While a
 * service has one software version, its list in the store tells the origin of
 * all its streams, and nothing is recorded. While it has several, each stream is
 * recorded.
 */
import type {
  Clock,
  InstanceId,
  RandomSource,
  ServiceName,
} from '@toucanrouter/common';
import type {Logger} from '@toucanrouter/logging';
import type {StreamOriginStore, VersionList} from '../state/StateStore.js';
import type {StoreHistory} from '../state/StoreHistory.js';
import type {UpstreamEntry} from '../upstreams/UpstreamEntry.js';
import {createStreamOriginLookup} from './StreamOriginLookup.js';
import type {OriginLookup, StreamOrigins} from './StreamOrigins.js';
import {createStreamRecorder, streamHashOf} from './StreamRecorder.js';
import {createVersionListKeeper} from './VersionListKeeper.js';

/** Options of an archive. */
export interface StreamOriginsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: RandomSource;
  readonly instanceId: InstanceId;
  readonly store: StreamOriginStore;
  readonly history: StoreHistory;
  readonly usable: (service: ServiceName) => readonly UpstreamEntry[];
  readonly isInSync: () => boolean;
  /** Longest timeout of a route, within which streams end. */
  readonly longestTimeoutMs: () => number;
  /** True if a route leads to this service and to others. */
  readonly sharesRoute: (service: ServiceName) => boolean;
}

/** Origins that follow the state of the store until they are closed. */
export interface StreamOriginArchive extends StreamOrigins {
  upstreamAdded(entry: UpstreamEntry): void;
  receive(list: VersionList): void;
  receiveRemoval(service: ServiceName): void;
  /** Handles a change of the routes. */
  routesChanged(): void;
  close(): void;
}

/** Callers resume streams soon after they broke off. */
const resumptionReserveMs = 15_000;
const minRetentionMs = 30_000;

/** Creates an archive that knows no streams. */
export function createStreamOrigins(
  options: StreamOriginsOptions,
): StreamOriginArchive {
  const {clock} = options;
  const retentionMs = () =>
    Math.max(minRetentionMs, options.longestTimeoutMs() + resumptionReserveMs);
  const versions = createVersionListKeeper({
    ...options,
    retentionMs,
    onChange: () => recorder.recordedChanged(),
  });
  const recorder = createStreamRecorder({
    ...options,
    retentionMs,
    isRecorded: service =>
      !versions.isSingle(service) || options.sharesRoute(service),
  });
  const lookup = createStreamOriginLookup({
    ...options,
    coversSeen: versions.coversSeen,
  });

  /** Bounds the wait of the caller; the read itself may be shared. */
  async function findWithin(
    timeoutMs: number,
    found: Promise<OriginLookup>,
  ): Promise<OriginLookup> {
    let cancel = (): void => undefined;
    const late = new Promise<OriginLookup>(resolve => {
      const reason = 'the store did not answer in time';
      cancel = clock.after(timeoutMs, () => resolve({kind: 'unknown', reason}));
    });
    try {
      return await Promise.race([found, late]);
    } finally {
      cancel();
    }
  }

  return {
    mayBegin: versions.isListed,
    streamBegan: recorder.add,
    find: async (key, services, timeoutMs) => {
      const hash = key && streamHashOf(key);
      const remembered = hash && recorder.get(hash);
      if (remembered?.origin !== undefined) {
        return {kind: 'known', origin: remembered.origin};
      }
      if (remembered !== undefined) {
        return {kind: 'unknown', reason: 'several streams have this id'};
      }
      return findWithin(timeoutMs, lookup.find(hash, services));
    },
    upstreamAdded: versions.upstreamAdded,
    receive: versions.receive,
    receiveRemoval: versions.receiveRemoval,
    routesChanged: recorder.recordedChanged,
    close: () => {
      versions.close();
      recorder.close();
    },
  };
}
