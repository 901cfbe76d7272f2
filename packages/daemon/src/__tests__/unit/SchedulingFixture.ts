/**
 * A simulated fleet for tests of the permit exchange: real schedulers and
 * permit clients on several instances, with a manual clock and messages that
 * tests can lose, duplicate and delay.
 */
import type {
  Clock,
  InstanceId,
  ManualClock,
  SchedulerEffect,
  ServiceClass,
  ShardId,
  UpstreamInfo,
  RouterError,
} from '@toucanrouter/common';
import {
  createManualClock,
  createSeededRandom,
  toClassId,
  toInstanceId,
  toPermitId,
  toRequestId,
  toShardId,
  toUpstreamId,
  toWorkspaceId,
} from '@toucanrouter/common';
import {
  createLengthModel,
  createShardScheduler,
  createUpstreamTracker,
} from '@toucanrouter/policy';
import type {Permit, PermitClient} from '../../scheduling/PermitClient.js';
import {createPermitClient} from '../../scheduling/PermitClient.js';
import type {
  SchedulerHost,
  SchedulerPort,
} from '../../scheduling/SchedulerHost.js';
import {createSchedulerHost} from '../../scheduling/SchedulerHost.js';

export const shardId: ShardId = toShardId('engine:advisor@here');

export const testClass: ServiceClass = {
  id: toClassId('quick'),
  tier: 1,
  target: {firstTokenMs: 400},
  idempotent: true,
  maxWaitMs: 5_000,
  match: {models: ['advisor'], services: [], methods: [], paths: []},
};

export function upstreamInfo(name: string): UpstreamInfo {
  return {
    id: toUpstreamId(name),
    kind: 'engine',
    serves: 'advisor',
    address: '127.0.0.1:1',
    region: 'here',
    failureDomain: 'a',
    incarnation: 1,
    softwareVersion: undefined,
    leaving: false,
  };
}

/** A permit request and its outcomes so far. */
export interface TestRequest {
  readonly permits: Permit[];
  readonly errors: RouterError[];
  readonly abort: AbortController;
}

export interface TestInstance {
  readonly id: InstanceId;
  readonly host: SchedulerHost;
  readonly permits: PermitClient;
  alive: boolean;
  paused: boolean;
}

export interface TestFleet {
  readonly clock: ManualClock;
  readonly instances: readonly TestInstance[];
  /** Returns how many times a message is delivered; once by default. */
  copiesPerMessage: () => number;
  /** The instance that all others consider the owner. */
  owner(): TestInstance;
  request(instance: TestInstance, name: string): TestRequest;
  /** Advances the clock, delivers messages and runs promise callbacks. */
  run(forMs: number): Promise<void>;
  /** Jobs in flight as the owner's scheduler counts them. */
  inFlight(): number;
}

const stepMs = 10;
const suspectAfterMs = 500;

export function createTestFleet(
  instanceCount: number,
  upstreamCount: number,
): TestFleet {
  const clock = createManualClock();
  const upstreams = Array.from({length: upstreamCount}, (_, i) =>
    upstreamInfo(`engine-${i}`),
  );
  const instances: TestInstance[] = [];
  const lastHeartbeatAtMs = new Map<InstanceId, number>();
  const outbox: {to: TestInstance; deliver: () => void}[] = [];

  function send(from: TestInstance, to: TestInstance, deliver: () => void) {
    if (!from.alive) return;
    const copies = fleet.copiesPerMessage();
    for (let i = 0; i < copies; i++) outbox.push({to, deliver});
  }

  function isConsideredAlive(instance: TestInstance): boolean {
    const lastMs = lastHeartbeatAtMs.get(instance.id) ?? 0;
    return clock.nowMs() - lastMs <= suspectAfterMs;
  }

  function owner(): TestInstance {
    return instances.find(isConsideredAlive) ?? instances[0]!;
  }

  function addInstance(index: number): void {
    const id = toInstanceId(`router-${index}`);
    const ownClock = instanceClock(
      clock,
      () => instance.alive && !instance.paused,
    );
    let lastPermit = 0;
    const host = createSchedulerHost({
      clock: ownClock,
      selfId: id,
      createScheduler: shard =>
        createShardScheduler({
          shardId: shard,
          tracker: createUpstreamTracker(),
          lengths: createLengthModel(),
          random: createSeededRandom(index),
          createPermitId: () => toPermitId(`${id}.${++lastPermit}`),
        }),
      isOwned: () => owner().id === id,
      upstreamsOf: () => upstreams,
      classes: () => [testClass],
      deliver: (shard, effect) => deliverEffect(instance, shard, effect),
      heartbeatAgeMs: holder => {
        const atMs = lastHeartbeatAtMs.get(holder);
        return atMs === undefined ? undefined : clock.nowMs() - atMs;
      },
    });
    const permits = createPermitClient({
      clock: ownClock,
      selfId: id,
      ownerOf: () => owner().id,
      portOf: scheduler =>
        scheduler === id ? host : remotePort(instance, scheduler),
    });
    const instance: TestInstance = {
      id,
      host,
      permits,
      alive: true,
      paused: false,
    };
    instances.push(instance);
    host.start();
    permits.start();
  }

  function byId(id: InstanceId): TestInstance {
    return instances.find(instance => instance.id === id)!;
  }

  function deliverEffect(
    from: TestInstance,
    shard: ShardId,
    effect: SchedulerEffect,
  ): void {
    const holder = byId(effect.holder);
    const deliver = () => holder.permits.deliver(shard, from.id, effect);
    if (holder === from) deliver();
    else send(from, holder, deliver);
  }

  function remotePort(from: TestInstance, to: InstanceId): SchedulerPort {
    const target = byId(to);
    const sendCall = (call: (host: SchedulerHost) => void) =>
      send(from, target, () => call(target.host));
    return {
      acquire: (...args) => sendCall(host => host.acquire(...args)),
      cancel: (...args) => sendCall(host => host.cancel(...args)),
      progress: (...args) => sendCall(host => host.progress(...args)),
      release: (...args) => sendCall(host => host.release(...args)),
      announce: (...args) => sendCall(host => host.announce(...args)),
      receiveRates: (...args) => sendCall(host => host.receiveRates(...args)),
    };
  }

  function deliverAll(): void {
    for (const message of outbox.splice(0)) {
      if (message.to.paused) outbox.push(message);
      else if (message.to.alive) message.deliver();
    }
  }

  async function run(forMs: number): Promise<void> {
    const endMs = clock.nowMs() + forMs;
    while (clock.nowMs() < endMs) {
      for (const {alive, id, paused} of instances) {
        if (alive && !paused) lastHeartbeatAtMs.set(id, clock.nowMs());
      }
      for (const instance of instances) {
        if (instance.alive && !instance.paused) {
          instance.permits.refreshOwners();
        }
      }
      deliverAll();
      clock.advance(stepMs);
      deliverAll();
      await Promise.resolve();
    }
  }

  function request(instance: TestInstance, name: string): TestRequest {
    const testRequest: TestRequest = {
      permits: [],
      errors: [],
      abort: new AbortController(),
    };
    void instance.permits
      .acquire(
        shardId,
        {
          requestId: toRequestId(name),
          classId: testClass.id,
          workspaceId: toWorkspaceId('w'),
          fallbackTier: 1,
          arrivedAtMs: clock.nowMs(),
          deadlineAtMs: clock.nowMs() + 60_000,
          attempt: 1,
          idempotent: true,
          promptTokens: 10,
          exclude: [],
          hedge: false,
        },
        testRequest.abort.signal,
      )
      .then(result => {
        if (result.isOk()) testRequest.permits.push(result.value);
        else testRequest.errors.push(result.error);
      });
    return testRequest;
  }

  const fleet: TestFleet = {
    clock,
    instances,
    copiesPerMessage: () => 1,
    owner,
    request,
    run,
    inFlight: () => {
      const shard = owner().host.snapshots()[0];
      return (shard?.upstreams ?? []).reduce((sum, u) => sum + u.inFlight, 0);
    },
  };
  for (let i = 0; i < instanceCount; i++) addInstance(i);
  return fleet;
}

/** A clock whose timers do nothing while the instance is paused or killed. */
function instanceClock(clock: ManualClock, runs: () => boolean): Clock {
  const guard = (run: () => void) => () => {
    if (runs()) run();
  };
  return {
    nowMs: clock.nowMs,
    wallMs: clock.wallMs,
    after: (delayMs, run) => clock.after(delayMs, guard(run)),
    every: (intervalMs, run) => clock.every(intervalMs, guard(run)),
  };
}
