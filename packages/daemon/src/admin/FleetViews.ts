/**
 * Builds the administration API's view of the fleet from the responses of its
 * instances.
 */
import type {
  FleetStatus,
  InstanceId,
  InstanceStatus,
  LaggingInstance,
  OperatorConfig,
  QueuedRequests,
  ShardSnapshot,
  UpstreamStatus,
} from '@toucanrouter/common';
import type {Fleet} from '../fleet/Fleet.js';
import type {
  FleetInspection,
  InstanceResponse,
} from '../fleet/FleetInspection.js';
import type {UpstreamDirectory} from '../fleet/UpstreamDirectory.js';
import type {FleetServiceLevels} from './AdminDependencies.js';

/** Parts of the instance from which the views are built. */
export interface FleetViewSources {
  readonly fleet: Fleet;
  readonly inspection: FleetInspection;
  readonly directory: UpstreamDirectory;
  readonly config: () => OperatorConfig;
}

interface ScheduledShard {
  readonly scheduler: InstanceId;
  readonly snapshot: ShardSnapshot;
}

function instancesWithoutResponse(
  responses: readonly InstanceResponse<'levels' | 'shards'>[],
): readonly InstanceId[] {
  return responses
    .filter(({response}) => response === undefined)
    .map(({instanceId}) => instanceId);
}

/** A previous owner may still host a shard, so only the owner's view is used. */
function scheduledShards(
  fleet: Fleet,
  responses: readonly InstanceResponse<'shards'>[],
): readonly ScheduledShard[] {
  return responses.flatMap(({response, instanceId}) =>
    (response ?? [])
      .filter(({shardId}) => fleet.owner(shardId) === instanceId)
      .map(snapshot => ({scheduler: instanceId, snapshot})),
  );
}

function instanceStatuses(fleet: Fleet): readonly InstanceStatus[] {
  const alive = fleet.alive();
  const aliveIds = new Set(alive.map(member => member.instanceId));
  const versions = fleet.configVersions();
  const suspects = fleet.knownPeers().filter(m => !aliveIds.has(m.instanceId));
  const toStatus = (
    member: (typeof alive)[number],
    state: InstanceStatus['state'],
  ): InstanceStatus => ({
    instanceId: member.instanceId,
    region: member.region,
    failureDomain: member.failureDomain,
    state,
    configVersion: versions.get(member.instanceId) ?? 0,
  });
  return [
    ...alive.map(member => toStatus(member, member.state)),
    ...suspects.map(member => toStatus(member, 'suspect')),
  ];
}

function upstreamStatuses(
  sources: FleetViewSources,
  shards: readonly ScheduledShard[],
): readonly UpstreamStatus[] {
  const drained = new Set(sources.config().drainedUpstreams);
  const shardStatuses = new Map(
    shards.flatMap(({snapshot}) =>
      snapshot.upstreams.map(upstream => [upstream.upstreamId, upstream]),
    ),
  );
  return sources.directory.all().map(info => {
    const shardStatus = shardStatuses.get(info.id);
    const isDrained = drained.has(info.id);
    const defaultState = info.leaving ? 'leaving' : 'healthy';
    return {
      upstreamId: info.id,
      kind: info.kind,
      serves: info.serves,
      failureDomain: info.failureDomain,
      state: shardStatus?.state ?? defaultState,
      reason: isDrained
        ? 'drained by an operator'
        : (shardStatus?.reason ?? 'not used yet'),
      drained: isDrained,
      limit: shardStatus?.limit ?? 0,
      inFlight: shardStatus?.inFlight ?? 0,
    };
  });
}

/** Reads the states of instances, shards and upstreams. */
export async function readFleetStatus(
  sources: FleetViewSources,
): Promise<FleetStatus> {
  const responses = await sources.inspection.query('shards');
  const shards = scheduledShards(sources.fleet, responses);
  return {
    instances: instanceStatuses(sources.fleet),
    shards: shards.map(({scheduler, snapshot}) => ({
      shardId: snapshot.shardId,
      scheduler,
      queues: snapshot.queues,
      counters: snapshot.counters,
    })),
    upstreams: upstreamStatuses(sources, shards),
    unanswered: instancesWithoutResponse(responses),
  };
}

/** Reads the queued requests by shard and class. */
export async function readQueuedRequests(
  sources: FleetViewSources,
): Promise<QueuedRequests> {
  const responses = await sources.inspection.query('shards');
  const {classes} = sources.config();
  const maxWaitMs = new Map(classes.map(c => [c.id, c.maxWaitMs]));
  const queues = scheduledShards(sources.fleet, responses).flatMap(
    ({snapshot}) =>
      snapshot.queues.map(queue => ({
        ...queue,
        shardId: snapshot.shardId,
        maxWaitMs: maxWaitMs.get(queue.classId),
      })),
  );
  queues.sort((a, b) => a.tier - b.tier || b.oldestWaitMs - a.oldestWaitMs);
  return {classes: queues, unanswered: instancesWithoutResponse(responses)};
}

/** Reads the service-level counts of all instances. */
export async function readServiceLevels(
  sources: FleetViewSources,
): Promise<FleetServiceLevels> {
  const responses = await sources.inspection.query('levels');
  const snapshots = responses.flatMap(({response}) =>
    response === undefined ? [] : [response],
  );
  return {snapshots, unanswered: instancesWithoutResponse(responses)};
}

/** Reads the configuration version in force at each instance alive. */
export function readConfigVersions(fleet: Fleet): readonly LaggingInstance[] {
  return [...fleet.configVersions()].map(([instanceId, version]) => ({
    instanceId,
    version,
  }));
}
