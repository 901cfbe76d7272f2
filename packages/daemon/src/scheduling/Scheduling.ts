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
import {createProcessRandom, hash32, toPermitId} from '@toucanrouter/common';
import {encodeEffect} from '@toucanrouter/peer';
import type {RateSharing, RateStatement} from '@toucanrouter/policy';
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
  /** The request rates that upstreams of a shard stated to this instance. */
  readonly statedRates: (shardId: ShardId) => readonly RateStatement[];
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
        rateSharing: createRateSharing(shardId, fleet, directory),
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
    statedRates: options.statedRates,
  });
  return {host, permits};
}

/**
 * Each region whose calls go to a shard has a scheduler for it, so the shard's
 * rates are divided among these regions.
 */
function createRateSharing(
  shardId: ShardId,
  fleet: Fleet,
  directory: UpstreamDirectory,
): RateSharing {
  const sharerIdOf = (region: string) => hash32(`region ${region}`);

  function usesShard(region: string): boolean {
    const [upstream] = directory.inShard(shardId);
    if (upstream === undefined) return false;
    const {kind, serves} = upstream;
    return directory.shardsServing(kind, serves, region)[0] === shardId;
  }

  return {
    selfId: sharerIdOf(fleet.region),
    peerIds: () =>
      [...new Set(fleet.alive().map(({region}) => region))]
        .filter(region => region !== fleet.region && usesShard(region))
        .map(sharerIdOf),
  };
}

function createPermitIds(selfId: InstanceId, incarnation: number) {
  const prefix = `${selfId}.${incarnation.toString(36)}`;
  let lastPermit = 0;
  return () => toPermitId(`${prefix}.${(++lastPermit).toString(36)}`);
}
