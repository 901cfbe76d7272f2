import type {ManualClock} from '@toucanrouter/common';
import {
  createManualClock,
  PlatformError,
  toInstanceId,
} from '@toucanrouter/common';
import {createLogger} from '@toucanrouter/logging';
import {expect} from 'chai';
import {err, ok, ResultAsync} from 'neverthrow';
import {createActiveConfig} from '../../config/ActiveConfig.js';
import {createConfigAge} from '../../config/ConfigAge.js';
import {createPeerDirectory} from '../../peers/PeerDirectory.js';
import type {
  StateChange,
  StateStore,
  StateUpdate,
  WatchResult,
} from '../../state/StateStore.js';
import {createStateSync} from '../../state/StateSync.js';
import {createUpstreamRegistry} from '../../upstreams/UpstreamRegistry.js';
import {createConfig, createEntry, idsOf, service} from './GatewayFixtures.js';

type ScriptedResult<T> = T | 'lost';

function resultOf<T>(value: ScriptedResult<T>): ResultAsync<T, PlatformError> {
  const result =
    value === 'lost'
      ? err(new PlatformError('no response', false))
      : ok<T, PlatformError>(value);
  return new ResultAsync(Promise.resolve(result));
}

/** Creates a store whose next results are set by the test. */
function createScriptedStore() {
  const calls: string[] = [];
  let snapshot: ScriptedResult<StateUpdate> = {revision: 1, changes: []};
  const watchResults: ScriptedResult<WatchResult>[] = [];
  const store: StateStore = {
    readAll: () => {
      calls.push('all');
      return resultOf(snapshot);
    },
    readChanges: (revision, waitMs) => {
      calls.push(`after ${revision} wait ${waitMs}`);
      return resultOf<WatchResult>(
        watchResults.shift() ?? {revision, changes: []},
      );
    },
    readConfig: () => {
      calls.push('config');
      return resultOf(createConfig({version: 9}));
    },
    register: () => resultOf(1),
    renew: () => resultOf(true),
  };
  return {
    calls,
    store,
    queueResult: (result: ScriptedResult<WatchResult>) =>
      watchResults.push(result),
    setSnapshot: (next: ScriptedResult<StateUpdate>) => {
      snapshot = next;
    },
  };
}

/** Lets promises and timers run for `ms`, in small steps. */
async function advance(clock: ManualClock, ms: number): Promise<void> {
  for (let passed = 0; passed < ms; passed += 50) {
    for (let turn = 0; turn < 8; turn++) await Promise.resolve();
    clock.advance(50);
  }
}

function createSyncedState() {
  const clock = createManualClock(1_000);
  const script = createScriptedStore();
  const logger = createLogger({
    format: 'json',
    level: 'error',
    instanceId: toInstanceId('i'),
    write: () => undefined,
  });
  const config = createActiveConfig(() => undefined);
  const configAge = createConfigAge(clock);
  const registry = createUpstreamRegistry({
    clock,
    onAdded: () => undefined,
    onRemoved: () => undefined,
  });
  const sync = createStateSync({
    clock,
    logger,
    store: script.store,
    config,
    configAge,
    registry,
    peers: createPeerDirectory(toInstanceId('i')),
    minCallIntervalMs: () => 450,
  });
  return {clock, config, configAge, registry, script, sync};
}

const upstream: StateChange = {kind: 'upstream', entry: createEntry('one')};
const version2: StateChange = {
  kind: 'config',
  config: createConfig({version: 2}),
};

describe('StateSync', () => {
  it('reads a full snapshot once and then follows changes', async () => {
    const {clock, config, registry, script, sync} = createSyncedState();
    script.setSnapshot({revision: 5, changes: [upstream]});
    script.queueResult({revision: 7, changes: [version2]});
    sync.start();
    await advance(clock, 600);
    expect(config.current()?.version).to.equal(2);
    expect(idsOf(registry.usable(service))).to.deep.equal(['one']);
    expect(script.calls.slice(0, 2)).to.deep.equal([
      'all',
      'after 5 wait 1000',
    ]);
    sync.close();
  });

  it('reads a full snapshot again when the history was compacted', async () => {
    const {clock, registry, script, sync} = createSyncedState();
    script.queueResult('compacted');
    sync.start();
    await advance(clock, 100);
    script.setSnapshot({revision: 9, changes: [upstream]});
    await advance(clock, 1_000);
    expect(script.calls.filter(call => call === 'all')).to.have.length(2);
    expect(registry.usable(service)).to.have.length(1);
    sync.close();
  });

  it('lets the configuration age during an outage of the store', async () => {
    const {clock, configAge, script, sync} = createSyncedState();
    sync.start();
    await advance(clock, 100);
    for (let call = 0; call < 40; call++) script.queueResult('lost');
    await advance(clock, 3_000);
    expect(sync.connected()).to.equal(false);
    expect(configAge.ageMs()).to.be.at.least(2_000);
    sync.close();
  });

  it('bounds the number of calls while upstreams write continuously', async () => {
    const {clock, script, sync} = createSyncedState();
    sync.start();
    await advance(clock, 10_000);
    expect(script.calls.length).to.be.at.most(24);
    sync.close();
  });

  it('backs off its probes during an outage of the store', async () => {
    // Load: 31 instances that probed four times a second during an outage of 8 s
    // made three times as many calls as in normal operation.
    const {clock, script, sync} = createSyncedState();
    sync.start();
    await advance(clock, 100);
    const before = script.calls.length;
    for (let call = 0; call < 60; call++) script.queueResult('lost');
    await advance(clock, 8_000);
    expect(script.calls.length - before).to.be.within(7, 12);
    script.queueResult({revision: 2, changes: []});
    sync.close();
  });

  it('does not confirm the configuration for requests during an outage', async () => {
    const {clock, script, sync} = createSyncedState();
    sync.start();
    await advance(clock, 100);
    for (let call = 0; call < 60; call++) script.queueResult('lost');
    await advance(clock, 1_000);
    for (let request = 0; request < 20; request++) {
      await sync.confirmConfig();
      await advance(clock, 100);
    }
    expect(script.calls).not.to.include('config');
    sync.close();
  });

  it('shares one confirmation of the configuration among concurrent requests', async () => {
    const {clock, config, configAge, script, sync} = createSyncedState();
    script.setSnapshot('lost');
    await Promise.all([sync.confirmConfig(), sync.confirmConfig()]);
    expect(config.current()?.version).to.equal(9);
    expect(configAge.ageMs()).to.equal(0);
    clock.advance(0);
    sync.close();
  });
});
