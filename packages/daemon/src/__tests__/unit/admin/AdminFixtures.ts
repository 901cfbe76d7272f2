/**
 * A fake instance for tests of the administration API: an in-memory
 * configuration with compare-and-swap, a fixed status, and recorded audit
 * entries.
 */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import type {
  AuditEntry,
  FleetStatus,
  QueuedRequests,
  ShardId,
  StoredConfig,
} from '@toucanrouter/common';
import {
  createManualClock,
  toClassId,
  toInstanceId,
  toShardId,
  toUpstreamId,
  toWorkspaceId,
} from '@toucanrouter/common';
import {createServiceLevelRecorder} from '@toucanrouter/report';
import {okAsync} from 'neverthrow';
import type {
  AdminDependencies,
  ConfigChange,
  ConfigChangeOutcome,
} from '../../../admin/AdminDependencies.js';

/** Tokens of the fake instance. */
export const readerToken = 'reader-token-of-the-test';
export const writerToken = 'writer-token-of-the-test';

const startWallMs = 1_764_800_040_000;

/** Returns a classes file with one class. */
export function classesText(totalTarget = '1s'): string {
  return [
    '[class.quick]',
    'priority = 1',
    `target_total = ${totalTarget}`,
    'idempotent = yes',
    'max_wait = 2s',
    'models = m',
    '',
  ].join('\n');
}

/** A fake instance and the changes that it has recorded. */
export interface FakeInstance {
  readonly dependencies: AdminDependencies;
  /** Stored versions, oldest first. */
  readonly stored: StoredConfig[];
  readonly audited: AuditEntry[];
  /** Overrides the version that an instance reports to have in force. */
  readonly versions: Map<string, number>;
  /** Removes the token files. */
  close(): void;
}

/** Creates a fake instance; `overrides` replace individual dependencies. */
export function createFakeInstance(
  overrides: Partial<AdminDependencies> = {},
): FakeInstance {
  const directory = mkdtempSync(path.join(os.tmpdir(), 'admin-'));
  const stored: StoredConfig[] = [];
  const audited: AuditEntry[] = [];
  const versions = new Map<string, number>();
  const clock = createManualClock(startWallMs);
  const dependencies: AdminDependencies = {
    clock,
    readerTokenFile: writeToken(directory, 'reader', readerToken),
    writerTokenFile: writeToken(directory, 'writer', writerToken),
    fleetStatus: () => okAsync(toFleetStatus(stored.at(-1))),
    queuedRequests: () => okAsync(queuedRequests),
    currentConfig: () => stored.at(-1),
    changeConfig: change => okAsync(compareAndSwap(stored, change)),
    configHistory: limit => okAsync([...stored].reverse().slice(0, limit)),
    configVersions: () =>
      okAsync(
        ['router-1', 'router-2'].map(id => ({
          instanceId: toInstanceId(id),
          version: versions.get(id) ?? stored.length,
        })),
      ),
    isKnownUpstream: id => id.startsWith('engine-'),
    serviceLevels: () =>
      okAsync({
        snapshots: [recordSampleLevels()],
        unanswered: [toInstanceId('router-3')],
      }),
    audit: entry => audited.push(entry),
    logUnexpectedError: () => undefined,
    ...overrides,
  };
  return {
    dependencies,
    stored,
    audited,
    versions,
    close: () => rmSync(directory, {recursive: true}),
  };
}

function writeToken(directory: string, name: string, token: string): string {
  const file = path.join(directory, name);
  writeFileSync(file, `${token}\n`);
  return file;
}

/** Stores a change if the newest version is the one that it expects. */
export function compareAndSwap(
  stored: StoredConfig[],
  change: ConfigChange,
): ConfigChangeOutcome {
  const {expectedVersion, ...rest} = change;
  const newest = stored.at(-1);
  if (newest !== undefined && newest.version !== expectedVersion) {
    return {kind: 'conflict', winner: newest};
  }
  const next = {
    ...rest,
    version: expectedVersion + 1,
    changedAtWallMs: startWallMs,
  };
  stored.push(next);
  return {kind: 'accepted', stored: next};
}

const shardId: ShardId = toShardId('engine:m@zilina');

const queuedRequests: QueuedRequests = {
  classes: [
    {
      classId: toClassId('quick'),
      tier: 1,
      queued: 3,
      running: 4,
      oldestWaitMs: 250,
      shardId,
      maxWaitMs: 2000,
    },
  ],
  unanswered: [],
};

function toFleetStatus(config: StoredConfig | undefined): FleetStatus {
  const upstreamId = toUpstreamId('engine-1');
  return {
    instances: [
      {
        instanceId: toInstanceId('router-1'),
        region: 'zilina',
        failureDomain: 'zilina-a',
        state: 'live',
        configVersion: config?.version ?? 0,
      },
    ],
    shards: [
      {
        shardId,
        scheduler: toInstanceId('router-1'),
        queues: queuedRequests.classes,
        counters: {
          granted: 10,
          refused: 1,
          preempted: 0,
          hedged: 0,
          tokens: 900,
          wastedTokens: 4,
        },
      },
    ],
    upstreams: [
      {
        upstreamId,
        kind: 'engine',
        serves: 'm',
        failureDomain: 'zilina-a',
        state: 'suspect',
        reason: 'no token for 620 ms',
        drained: config?.drainedUpstreams.includes(upstreamId) ?? false,
        limit: 8,
        inFlight: 4,
      },
    ],
    unanswered: [toInstanceId('router-3')],
  };
}

function recordSampleLevels() {
  const recorder = createServiceLevelRecorder({
    clock: createManualClock(startWallMs),
    instanceId: toInstanceId('router-1'),
  });
  for (const totalMs of [100, 200, 300, 5000]) {
    recorder.record({
      serviceClass: {id: toClassId('quick'), tier: 1, target: {totalMs: 1000}},
      workspaceId: toWorkspaceId('w1'),
      outcome: 'completed',
      totalMs,
    });
  }
  return recorder.snapshot();
}
