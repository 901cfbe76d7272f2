/**
 * Connects the scheduler host and the permit client of an instance to the
 * fleet.
 */
import type {
  Clock,
  InstanceId,
  OperatorConfig,
  ShardId,
} from '@toucanrouter/common';
import {createProcessRandom, toPermitId} from '@toucanrouter/common';
import {encodeEffect} from '@toucanrouter/peer';
import {
  createLengthModel,
  createShardScheduler,
  createUpstreamTracker,
} from '@toucanrouter/policy';
import type {Fleet} from '../fleet/Fleet.js';
import type {UpstreamDirectory} from '../fleet/UpstreamDirectory.js';
import type {PermitClient} from './PermitClient.js';
import {createPermitClient} from './PermitClient.js';
import {createRemoteSchedulerPort} from './RemoteSchedulerPort.js';
import type {SchedulerHost, SchedulerPort} from './SchedulerHost.js';
import {createSchedulerHost} from './SchedulerHost.js';

/** Dependencies of scheduling. */
export interface SchedulingOptions {
  readonly clock: Clock;
  readonly fleet: Fleet;
  readonly directory: UpstreamDirectory;
  readonly config: () => OperatorConfig;
  /** Keeps permit ids distinct from those of earlier incarnations. */
  readonly incarnation: number;
}

/** Both sides of the permit exchange. */
export interface Scheduling {
  readonly host: SchedulerHost;
  readonly permits: PermitClient;
}

/** Creates the schedulers and the permit client of an instance. */
export function createScheduling(options: SchedulingOptions): Scheduling {
  const {clock, directory, fleet} = options;
  const {selfId} = fleet;
  const createPermitId = createPermitIds(selfId, options.incarnation);
  const remotePorts = new Map<InstanceId, SchedulerPort>();

  function portOf(scheduler: InstanceId): SchedulerPort {
    if (scheduler === selfId) return host;
    let port = remotePorts.get(scheduler);
    if (port === undefined) {
      port = createRemoteSchedulerPort(clock, envelope =>
        fleet.send(scheduler, envelope),
      );
      remotePorts.set(scheduler, port);
    }
    return port;
  }

  const host = createSchedulerHost({
    clock,
    selfId,
    createScheduler: shardId =>
      createShardScheduler({
        shardId,
        tracker: createUpstreamTracker(),
        lengths: createLengthModel(),
        random: createProcessRandom(),
        createPermitId,
      }),
    isOwned: shardId => fleet.owner(shardId) === selfId,
    upstreamsOf: directory.inShard,
    classes: () => options.config().classes,
    deliver: (shardId, effect) => {
      if (effect.holder === selfId) permits.deliver(shardId, selfId, effect);
      else fleet.send(effect.holder, encodeEffect(shardId, effect));
    },
    heartbeatAgeMs: fleet.heartbeatAgeMs,
  });
  const permits = createPermitClient({
    clock,
    selfId,
    ownerOf: (shardId: ShardId) => fleet.owner(shardId),
    portOf,
  });
  return {host, permits};
}

function createPermitIds(selfId: InstanceId, incarnation: number) {
  const prefix = `${selfId}.${incarnation.toString(36)}`;
  let lastPermit = 0;
  return () => toPermitId(`${prefix}.${(++lastPermit).toString(36)}`);
}
