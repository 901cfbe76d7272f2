/**
 * A store in memory that can come back from a copy, and instances whose state
 * follows it. Values name what they mean, so that tests need no encoding.
 */
import type {InstanceId, ManualClock} from '@toucanrouter/common';
import {
  createManualClock,
  PlatformError,
  toInstanceId,
  toServiceName,
  toSoftwareVersion,
  toUpstreamId,
} from '@toucanrouter/common';
import {createLogger} from '@toucanrouter/logging';
import type {SegmentHash} from '@toucanrouter/policy';
import {toSegmentHash} from '@toucanrouter/policy';
import {err, ok, ResultAsync, okAsync} from 'neverthrow';
import {createActiveConfig} from '../../config/ActiveConfig.js';
import {createConfigAge} from '../../config/ConfigAge.js';
import {createPeerDirectory} from '../../peers/PeerDirectory.js';
import type {RelayClient} from '../../state/RelayClient.js';
import type {RelayResponse} from '../../state/RelayServer.js';
import {createStateLog} from '../../state/StateLog.js';
import type {
  StateChange,
  StateStore,
  StoredItem,
  StoreEra,
} from '../../state/StateStore.js';
import {toStoreEra} from '../../state/StateStore.js';
import {createStateSync} from '../../state/StateSync.js';
import {createStoreHistory} from '../../state/StoreHistory.js';
import {createUpstreamRegistry} from '../../upstreams/UpstreamRegistry.js';
import {createConfig, createEntry, service} from './GatewayFixtures.js';
import {emptyOriginStore} from './StreamOriginFixtures.js';

type Read<T> = ResultAsync<T, PlatformError>;

export function succeed<T>(value: T): Read<T> {
  return new ResultAsync(Promise.resolve(ok<T, PlatformError>(value)));
}

export function fail<T>(): Read<T> {
  const error = new PlatformError('no response', false);
  return new ResultAsync(Promise.resolve(err<T, PlatformError>(error)));
}

/** The segment of the verdict with a name. */
export function segmentOf(name: string): SegmentHash {
  return toSegmentHash(name.length);
}

/** Decodes `kind/id` keys with values such as `ready born 1 seq 3`. */
function decode({key, value}: StoredItem): StateChange | undefined {
  const [kind, id = ''] = key.split('/');
  switch (kind) {
    case 'config':
      return value === undefined
        ? undefined
        : {kind, config: createConfig({version: Number(value)})};
    case 'upstream': {
      if (value === undefined) {
        return {kind: 'upstream_removed', id: toUpstreamId(id)};
      }
      const [state, , born] = value.split(' ');
      const leaving = state === 'leaving';
      return {
        kind,
        entry: createEntry(id, {leaving, startedAtMs: Number(born)}),
      };
    }
    case 'peer': {
      const instanceId = toInstanceId(id);
      const address = {host: '127.0.0.1', port: 1};
      return value === undefined
        ? {kind: 'peer_removed', id: instanceId}
        : {kind, entry: {instanceId, address}};
    }
    case 'domain':
      return {
        kind: 'peer_domain',
        id: toInstanceId(id),
        failureDomain: value,
      };
    case 'versions': {
      const name = toServiceName(id);
      const versions = value?.split(' ').map(toSoftwareVersion) ?? [];
      return value === undefined
        ? {kind: 'service_versions_removed', service: name}
        : {
            kind: 'service_versions',
            list: {service: name, versions, era: undefined},
          };
    }
    case 'verdict': {
      const segment = segmentOf(id);
      return value === undefined
        ? {kind: 'verdict_removed', segment}
        : {
            kind,
            verdict: {segment, durationMs: 60_000, evidenceAgeMs: 0},
          };
    }
    default:
      return undefined;
  }
}

interface Copy {
  readonly revision: number;
  readonly items: ReadonlyMap<string, {value: string; revision: number}>;
  readonly events: readonly (StoredItem & {revision: number})[];
}

/** Creates a store with a revision of 100. */
export function createModelStore(tellsEra = true) {
  let era = 1;
  let revision = 100;
  let reachable = true;
  let items = new Map<string, {value: string; revision: number}>();
  let events: (StoredItem & {revision: number})[] = [];
  const calls: string[] = [];
  const shownEra = () => (tellsEra ? toStoreEra(era) : undefined);

  function read<T>(name: string, value: () => T): Read<T> {
    calls.push(name);
    return reachable ? succeed(value()) : fail();
  }

  const store: StateStore = {
    ...emptyOriginStore,
    decode,
    readAll: () =>
      read('all', () => ({
        revision,
        era: shownEra(),
        items: [...items].map(([key, {value}]) => ({key, value})),
      })),
    readChanges: after =>
      read(`after ${after}`, () =>
        after > revision && tellsEra
          ? ('compacted' as const)
          : {
              revision,
              era: shownEra(),
              items: events
                .filter(event => event.revision > after)
                .map(({key, value}) => ({key, value})),
            },
      ),
    readUpstream: () => okAsync(undefined),
    readConfig: () =>
      read('config', () => {
        const item = items.get('config');
        return (
          item && {
            revision: item.revision,
            era: shownEra(),
            items: [{key: 'config', value: item.value}],
          }
        );
      }),
    register: () => succeed({id: 1}),
    renew: () => succeed({exists: true}),
    saveVerdict: () => succeed(undefined),
    removeVerdict: () => succeed(undefined),
  };

  return {
    store,
    calls,
    era: (): StoreEra => toStoreEra(era),
    revision: () => revision,
    write: (key: string, value: string) => {
      revision += 1;
      items.set(key, {value, revision});
      events.push({key, value, revision});
    },
    remove: (key: string) => {
      revision += 1;
      items.delete(key);
      events.push({key, value: undefined, revision});
    },
    /** Lets the revision rise by writes that nobody follows. */
    writeOthers: (count: number) => {
      revision += count;
    },
    copy: (): Copy => ({revision, items: new Map(items), events: [...events]}),
    restore: (copy: Copy) => {
      era += 1;
      revision = copy.revision;
      items = new Map(copy.items);
      events = [...copy.events];
    },
    setReachable: (next: boolean) => {
      reachable = next;
    },
  };
}

export type ModelStore = ReturnType<typeof createModelStore>;

/** Lets promises and timers run for `ms`, in small steps. */
export async function advance(clock: ManualClock, ms: number): Promise<void> {
  for (let passed = 0; passed < ms; passed += 50) {
    for (let turn = 0; turn < 40; turn++) await Promise.resolve();
    clock.advance(50);
  }
  for (let turn = 0; turn < 40; turn++) await Promise.resolve();
}

const noRelay: RelayClient['read'] = () => fail<RelayResponse>();

/** Options of an instance. */
export interface FollowerOptions {
  readonly clock?: ManualClock;
  readonly selfId?: string;
  readonly readRelay?: RelayClient['read'];
}

/** Creates an instance whose state follows a store once it is started. */
export function createFollower(
  model: Pick<ModelStore, 'store'>,
  options: FollowerOptions = {},
) {
  const clock = options.clock ?? createManualClock(1_000);
  const instanceId: InstanceId = toInstanceId(options.selfId ?? 'i');
  const lines: {message: string; [field: string]: unknown}[] = [];
  const logger = createLogger({
    format: 'json',
    level: 'info',
    instanceId,
    write: line => lines.push(JSON.parse(line) as (typeof lines)[number]),
  });
  const config = createActiveConfig(() => undefined);
  const configAge = createConfigAge(clock);
  const registry = createUpstreamRegistry({
    clock,
    onAdded: () => undefined,
    onRemoved: () => undefined,
    leavingDelayMs: () => 2_000,
  });
  const peers = createPeerDirectory(instanceId);
  const log = createStateLog(clock);
  const history = createStoreHistory();
  const verdictEvents: string[] = [];
  const versionEvents: string[] = [];
  let ownRemovals = 0;
  const sync = createStateSync({
    clock,
    logger,
    instanceId,
    failureDomain: 'a',
    store: model.store,
    relays: {read: options.readRelay ?? noRelay},
    log,
    history,
    config,
    configAge,
    registry,
    peers,
    onVersionList: ({service, versions}) =>
      versionEvents.push(`${service}: ${versions.join(' ')}`),
    onVersionListRemoved: service => versionEvents.push(`${service}: none`),
    onDutyOwner: () => undefined,
    onVerdict: () => verdictEvents.push('verdict'),
    onVerdictRemoved: () => verdictEvents.push('removed'),
    onOwnEntryRemoved: () => {
      ownRemovals += 1;
    },
    changeDelayMs: () => 2_000,
  });
  return {
    clock,
    config,
    configAge,
    history,
    lines,
    log,
    peers,
    registry,
    sync,
    verdictEvents,
    versionEvents,
    ownRemovals: () => ownRemovals,
    version: () => config.current()?.version,
    usable: () => registry.usable(service).map(({id}): string => id),
  };
}
