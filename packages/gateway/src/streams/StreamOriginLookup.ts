/**
 * Finds the origins of streams in the store. Only a read that starts after a
 * caller has asked to resume is sure to show the versions that the stream may
 * have begun at, so callers that wait share the next read and never join one
 * that has started.
 */
import type {ServiceName} from '@toucanrouter/common';
import type {
  StateStore,
  StoredVersionList,
  StreamHash,
  VersionList,
} from '../state/StateStore.js';
import type {StoreHistory} from '../state/StoreHistory.js';
import type {OriginLookup, StreamOrigin} from './StreamOrigins.js';
import {mergeOrigins} from './StreamRecorder.js';
import {isConfirmed} from './VersionListKeeper.js';

/** Options of a lookup. */
export interface StreamOriginLookupOptions {
  readonly store: Pick<StateStore, 'readStreamRecords' | 'readVersionLists'>;
  readonly history: StoreHistory;
  /** False if a version is known that a list lacks. */
  readonly coversSeen: (list: VersionList) => boolean;
}

/** Reads origins from the store. */
export interface StreamOriginLookup {
  find(
    hash: StreamHash | undefined,
    services: readonly ServiceName[],
  ): Promise<OriginLookup>;
}

/** Callers wait no longer, and each one joined a read before it started. */
export const maxOriginLookupMs = 500;

/** What the store showed. */
interface OriginView {
  /** The origin of streams of a service whose list has one version. */
  readonly onlyOrigins: ReadonlyMap<ServiceName, StreamOrigin>;
  /** Empty if no caller needed the records. */
  readonly records: ReadonlyMap<StreamHash, StreamOrigin | undefined>;
}

interface SharedRead {
  readonly serviceLists: (readonly ServiceName[])[];
  readonly view: Promise<OriginView | string>;
}

const unknown = (reason: string): OriginLookup => ({kind: 'unknown', reason});

function onlyOriginOf(
  services: readonly ServiceName[],
  onlyOrigins: OriginView['onlyOrigins'],
): StreamOrigin | undefined {
  const [service, ...others] = new Set(services);
  return service === undefined || others.length > 0
    ? undefined
    : onlyOrigins.get(service);
}

/** Creates a lookup; it holds no state between reads. */
export function createStreamOriginLookup(
  options: StreamOriginLookupOptions,
): StreamOriginLookup {
  const {history, store} = options;
  let running: Promise<unknown> = Promise.resolve();
  let next: SharedRead | undefined;

  async function read(
    serviceLists: readonly (readonly ServiceName[])[],
  ): Promise<OriginView | string> {
    const listed = await store.readVersionLists(maxOriginLookupMs);
    if (listed.isErr()) return listed.error.message;
    const {era, lists} = listed.value;
    if (history.observe(era) === 'outdated')
      return 'the store shows an old era';
    const onlyOrigins = new Map(
      lists.flatMap((stored: StoredVersionList) => {
        const {service, versions} = stored;
        const [softwareVersion, ...others] = versions;
        return softwareVersion === undefined ||
          others.length > 0 ||
          !isConfirmed(stored, era) ||
          !options.coversSeen(stored)
          ? []
          : [[service, {service, softwareVersion}] as const];
      }),
    );
    const records = new Map<StreamHash, StreamOrigin | undefined>();
    const needsRecords = serviceLists.some(
      services => onlyOriginOf(services, onlyOrigins) === undefined,
    );
    if (!needsRecords) return {onlyOrigins, records};
    const recorded = await store.readStreamRecords(maxOriginLookupMs);
    if (recorded.isErr()) return recorded.error.message;
    if (recorded.value.era !== era) return 'the store came back from a copy';
    for (const {hash, origin} of recorded.value.records) {
      const merged = records.has(hash)
        ? mergeOrigins(records.get(hash), origin)
        : origin;
      records.set(hash, merged);
    }
    return {onlyOrigins, records};
  }

  function joinNext(services: readonly ServiceName[]): SharedRead {
    if (next !== undefined) {
      next.serviceLists.push(services);
      return next;
    }
    const serviceLists = [services];
    const view = running.then(() => {
      next = undefined;
      return read(serviceLists);
    });
    running = view.catch(() => undefined);
    next = {serviceLists, view};
    return next;
  }

  return {
    find: async (hash, services) => {
      const view = await joinNext(services).view;
      if (typeof view === 'string') return unknown(view);
      if (hash !== undefined && view.records.has(hash)) {
        const origin = view.records.get(hash);
        return origin === undefined
          ? unknown('several streams have this id')
          : {kind: 'known', origin};
      }
      const origin = onlyOriginOf(services, view.onlyOrigins);
      return origin === undefined
        ? unknown('no record of the stream')
        : {kind: 'known', origin};
    },
  };
}
