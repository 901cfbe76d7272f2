/**
 * Builds the administration API's view of the fleet from the answers of its
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
  InstanceAnswer,
} from '../fleet/FleetInspection.js';
import type {UpstreamDirectory} from '../fleet/UpstreamDirectory.js';
import type {FleetServiceLevels} from './AdminDependencies.js';

/** What the views are built from. */
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

function unansweredOf(
  answers: readonly InstanceAnswer<'levels' | 'shards'>[],
): readonly InstanceId[] {
  return answers
    .filter(({answer}) => answer === undefined)
    .map(({instanceId}) => instanceId);
}

/** An earlier scheduler may still host a shard; the owner's view counts. */
function scheduledShards(
  fleet: Fleet,
  answers: readonly InstanceAnswer<'shards'>[],
): readonly ScheduledShard[] {
  return answers.flatMap(({answer, instanceId}) =>
    (answer ?? [])
      .filter(({shardId}) => fleet.owner(shardId) === instanceId)
      .map(snapshot => ({scheduler: instanceId, snapshot})),
  );
}

function instanceStatuses(fleet: Fleet): readonly InstanceStatus[] {
  const alive = fleet.alive();
  const aliveIds = new Set(alive.map(member => member.instanceId));
  const versions = fleet.configVersions();
  const silent = fleet.known().filter(m => !aliveIds.has(m.instanceId));
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
    ...silent.map(member => toStatus(member, 'suspect')),
  ];
}

function upstreamStatuses(
  sources: FleetViewSources,
  shards: readonly ScheduledShard[],
): readonly UpstreamStatus[] {
  const drained = new Set(sources.config().drainedUpstreams);
  const judged = new Map(
    shards.flatMap(({snapshot}) =>
      snapshot.upstreams.map(upstream => [upstream.upstreamId, upstream]),
    ),
  );
  return sources.directory.all().map(info => {
    const seen = judged.get(info.id);
    const isDrained = drained.has(info.id);
    const fallback = info.leaving ? 'leaving' : 'healthy';
    return {
      upstreamId: info.id,
      kind: info.kind,
      serves: info.serves,
      failureDomain: info.failureDomain,
      state: seen?.state ?? fallback,
      reason: isDrained
        ? 'drained by an operator'
        : (seen?.reason ?? 'not used yet'),
      drained: isDrained,
      limit: seen?.limit ?? 0,
      inFlight: seen?.inFlight ?? 0,
    };
  });
}

/** Instances, shards and upstreams with their states. */
export async function readFleetStatus(
  sources: FleetViewSources,
): Promise<FleetStatus> {
  const answers = await sources.inspection.ask('shards');
  const shards = scheduledShards(sources.fleet, answers);
  return {
    instances: instanceStatuses(sources.fleet),
    shards: shards.map(({scheduler, snapshot}) => ({
      shardId: snapshot.shardId,
      scheduler,
      queues: snapshot.queues,
      counters: snapshot.counters,
    })),
    upstreams: upstreamStatuses(sources, shards),
    unanswered: unansweredOf(answers),
  };
}

/** Requests that wait, by shard and class. */
export async function readQueuedRequests(
  sources: FleetViewSources,
): Promise<QueuedRequests> {
  const answers = await sources.inspection.ask('shards');
  const {classes} = sources.config();
  const maxWaitMs = new Map(classes.map(c => [c.id, c.maxWaitMs]));
  const queues = scheduledShards(sources.fleet, answers).flatMap(({snapshot}) =>
    snapshot.queues.map(queue => ({
      ...queue,
      shardId: snapshot.shardId,
      maxWaitMs: maxWaitMs.get(queue.classId),
    })),
  );
  queues.sort((a, b) => a.tier - b.tier || b.oldestWaitMs - a.oldestWaitMs);
  return {classes: queues, unanswered: unansweredOf(answers)};
}

/** Service-level counts of all instances. */
export async function readServiceLevels(
  sources: FleetViewSources,
): Promise<FleetServiceLevels> {
  const answers = await sources.inspection.ask('levels');
  const snapshots = answers.flatMap(({answer}) =>
    answer === undefined ? [] : [answer],
  );
  return {snapshots, unanswered: unansweredOf(answers)};
}

/** The configuration version in force at each instance alive. */
export function readConfigVersions(fleet: Fleet): readonly LaggingInstance[] {
  return [...fleet.configVersions()].map(([instanceId, version]) => ({
    instanceId,
    version,
  }));
}
