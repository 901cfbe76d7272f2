/**
 * A store of stream origins in memory that may be away, slow or come back from a
 * copy, and instances that follow it.
 */
import type {
  ManualClock,
  ServiceName,
  SoftwareVersion,
} from '@toucanrouter/common';
import {
  createManualClock,
  createSeededRandom,
  delay,
  PlatformError,
  toInstanceId,
  toServiceName,
  toSoftwareVersion,
  toWorkspaceId,
} from '@toucanrouter/common';
import {createLogger} from '@toucanrouter/logging';
import {err, errAsync, ok, ResultAsync} from 'neverthrow';
import type {
  StoredVersionList,
  StreamOriginStore,
  StreamRecordBatch,
  VersionList,
} from '../../state/StateStore.js';
import {toStoreEra} from '../../state/StateStore.js';
import {createStoreHistory} from '../../state/StoreHistory.js';
import {createStreamOrigins} from '../../streams/StreamOriginArchive.js';
import type {
  OriginLookup,
  StreamKey,
  StreamOrigins,
} from '../../streams/StreamOrigins.js';
import type {UpstreamEntry} from '../../upstreams/UpstreamEntry.js';
import {createEntry} from './GatewayFixtures.js';

export const chat = toServiceName('chat');
export const v1 = toSoftwareVersion('v1');
export const v2 = toSoftwareVersion('v2');
/** Retention of instances whose longest route timeout is 20 s. */
export const retentionMs = 35_000;
export const findTimeoutMs = 1_000;

export const keyOf = (requestId: string): StreamKey => ({
  workspaceId: toWorkspaceId('w'),
  requestId,
});

const notReachable = () => new PlatformError('no response', false);

/** A store that holds nothing, for tests of other matters. */
export const emptyOriginStore: StreamOriginStore = {
  readVersionLists: () => errAsync(notReachable()),
  writeVersionList: () => errAsync(notReachable()),
  readStreamRecords: () => errAsync(notReachable()),
  writeStreamRecords: () => errAsync(notReachable()),
};

/** Origins of which none is known; streams may begin anywhere. */
export const unknownOrigins: StreamOrigins = {
  mayBegin: () => true,
  streamBegan: () => undefined,
  find: () => Promise.resolve({kind: 'unknown', reason: 'no record'}),
};

interface StoredBatch {
  readonly batch: StreamRecordBatch;
  readonly untilMs: number;
}

interface Copy {
  readonly lists: ReadonlyMap<ServiceName, StoredVersionList>;
  readonly batches: ReadonlyMap<string, StoredBatch>;
}

/** Creates an empty store. */
export function createOriginStore(clock: ManualClock) {
  let era = 1;
  let revision = 0;
  let isReachable = true;
  let delayMs = 0;
  let conflictsLeft = 0;
  let lists = new Map<ServiceName, StoredVersionList>();
  let batches = new Map<string, StoredBatch>();
  const calls: string[] = [];
  const followers = new Set<() => void>();

  function call<T>(
    name: string,
    timeoutMs: number,
    run: () => T,
  ): ResultAsync<T, PlatformError> {
    calls.push(name);
    const respond = async () => {
      if (delayMs > 0) await delay(clock, Math.min(delayMs, timeoutMs));
      if (!isReachable || delayMs > timeoutMs) return err(notReachable());
      return ok(run());
    };
    return new ResultAsync(respond());
  }

  const notify = () => {
    for (const follower of [...followers]) follower();
  };

  const store: StreamOriginStore = {
    readVersionLists: timeoutMs =>
      call('read versions', timeoutMs, () => ({
        lists: [...lists.values()],
        era: toStoreEra(era),
      })),
    writeVersionList: (list, timeoutMs) =>
      call('write versions', timeoutMs, () => {
        const current = lists.get(list.service)?.revision ?? 0;
        const isWritten = conflictsLeft === 0 && current === list.revision;
        if (isWritten) {
          revision += 1;
          lists.set(list.service, {...list, revision});
          notify();
        }
        conflictsLeft = Math.max(0, conflictsLeft - 1);
        return {isWritten, era: toStoreEra(era)};
      }),
    readStreamRecords: timeoutMs =>
      call('read streams', timeoutMs, () => ({
        records: [...batches.values()]
          .filter(({untilMs}) => untilMs > clock.nowMs())
          .flatMap(({batch}) => batch.records),
        era: toStoreEra(era),
      })),
    writeStreamRecords: (batch, lease, leaseMs, timeoutMs) =>
      call('write streams', timeoutMs, () => {
        const previous = batches.get(batch.id);
        const untilMs = previous?.untilMs ?? clock.nowMs() + leaseMs;
        batches.set(batch.id, {batch, untilMs});
        return lease ?? {id: calls.length, era: toStoreEra(era)};
      }),
  };

  return {
    store,
    calls,
    countOf: (name: string) => calls.filter(call => call === name).length,
    era: () => toStoreEra(era),
    isReachable: () => isReachable,
    lists: (): readonly VersionList[] => [...lists.values()],
    versionsOf: (service: ServiceName): readonly SoftwareVersion[] =>
      lists.get(service)?.versions ?? [],
    follow: (run: () => void) => {
      followers.add(run);
      return () => followers.delete(run);
    },
    setReachable: (next: boolean) => {
      isReachable = next;
      if (next) notify();
    },
    setDelayMs: (next: number) => {
      delayMs = next;
    },
    /** Lets the next conditional writes fail as if others were faster. */
    addConflicts: (count: number) => {
      conflictsLeft += count;
    },
    copy: (): Copy => ({
      lists: new Map(lists),
      batches: new Map(batches),
    }),
    restore: (copy: Copy) => {
      era += 1;
      lists = new Map(copy.lists);
      batches = new Map(copy.batches);
      notify();
    },
  };
}

export type OriginStore = ReturnType<typeof createOriginStore>;

/** Lets promises and timers run for `ms`, in small steps. */
export async function advance(clock: ManualClock, ms: number): Promise<void> {
  for (let passed = 0; passed < ms; passed += 50) {
    for (let turn = 0; turn < 30; turn += 1) await Promise.resolve();
    clock.advance(50);
  }
  for (let turn = 0; turn < 30; turn += 1) await Promise.resolve();
}

/** Options of an instance. */
export interface OriginInstanceOptions {
  readonly id?: string;
  /** Time until this instance notices a change in the store. */
  readonly watchDelayMs?: number;
  readonly sharesRoute?: boolean;
}

/** Starts an instance that follows a store. */
export function startInstance(
  clock: ManualClock,
  origins: OriginStore,
  versions: () => readonly SoftwareVersion[],
  options: OriginInstanceOptions = {},
) {
  const {id = 'i', sharesRoute = false, watchDelayMs = 100} = options;
  const history = createStoreHistory();
  const lines: string[] = [];
  const entries = (): readonly UpstreamEntry[] =>
    versions().map(softwareVersion =>
      createEntry(`u-${softwareVersion}`, {service: chat, softwareVersion}),
    );
  const archive = createStreamOrigins({
    clock,
    logger: createLogger({
      format: 'json',
      level: 'info',
      instanceId: toInstanceId(id),
      write: line => lines.push(line),
    }),
    random: createSeededRandom(id.length),
    instanceId: toInstanceId(id),
    store: origins.store,
    history,
    usable: service => (service === chat ? entries() : []),
    isInSync: origins.isReachable,
    longestTimeoutMs: () => 20_000,
    sharesRoute: () => sharesRoute,
  });
  let isStopped = false;
  function readState(): void {
    if (isStopped || !origins.isReachable()) return;
    history.observe(origins.era());
    for (const stored of origins.lists()) archive.receive(stored);
  }
  const stopFollowing = origins.follow(() => {
    clock.after(watchDelayMs, readState);
  });
  readState();
  const noticeUpstreams = () => {
    for (const entry of entries()) archive.upstreamAdded(entry);
  };
  noticeUpstreams();
  return {
    archive,
    lines,
    noticeUpstreams,
    mayBegin: (softwareVersion: SoftwareVersion) =>
      archive.mayBegin({service: chat, softwareVersion}),
    begin: (requestId: string, softwareVersion: SoftwareVersion) =>
      archive.streamBegan(keyOf(requestId), {service: chat, softwareVersion}),
    /** Returns the version that is found, or undefined. */
    find: async (
      requestId: string | undefined,
      services: readonly ServiceName[] = [chat],
    ): Promise<SoftwareVersion | undefined> => {
      let found: OriginLookup | undefined;
      void archive
        .find(
          requestId === undefined ? undefined : keyOf(requestId),
          services,
          findTimeoutMs,
        )
        .then(lookup => (found = lookup));
      await advance(clock, findTimeoutMs + 100);
      if (found === undefined) throw new Error('find did not resolve in time');
      return found.kind === 'known' ? found.origin.softwareVersion : undefined;
    },
    stop: () => {
      isStopped = true;
      stopFollowing();
      archive.close();
    },
  };
}

export type OriginInstance = ReturnType<typeof startInstance>;

/** Creates a clock, a store and the versions of the upstreams in service. */
export function createOriginScene() {
  const clock = createManualClock(1_000);
  const origins = createOriginStore(clock);
  let versions: readonly SoftwareVersion[] = [v1];
  const instances: OriginInstance[] = [];
  return {
    clock,
    origins,
    advance: (ms: number) => advance(clock, ms),
    start: (options?: OriginInstanceOptions) => {
      const instance = startInstance(clock, origins, () => versions, options);
      instances.push(instance);
      return instance;
    },
    setVersions: (...next: readonly SoftwareVersion[]) => {
      versions = next;
      for (const instance of instances) instance.noticeUpstreams();
    },
    stopAll: () => {
      for (const instance of instances.splice(0)) instance.stop();
    },
  };
}
