/**
 * The baseline scheduler: one FIFO queue and a fixed concurrency limit per
 * upstream. It ignores tiers, refuses no request and checks no upstream's
 * health.
 */
import type {
  AcquireRequest,
  PermitId,
  PermitRelease,
  RequestId,
  SchedulerEffect,
  UpstreamId,
  UpstreamInfo,
} from '@toucanrouter/common';
import type {ShardScheduler} from '@toucanrouter/policy';

/** Options of the baseline scheduler. */
export interface FifoSchedulerOptions {
  readonly jobsPerUpstream: number;
  readonly createPermitId: () => PermitId;
}

/** The subset of the shard scheduler's interface that the simulation uses. */
export type SimulatedScheduler = Pick<
  ShardScheduler,
  'acquire' | 'cancel' | 'progress' | 'release' | 'setUpstreams' | 'tick'
>;

/** Creates a baseline scheduler without upstreams. */
export function createFifoScheduler(
  options: FifoSchedulerOptions,
): SimulatedScheduler {
  let queue: AcquireRequest[] = [];
  const permitsByUpstream = new Map<UpstreamId, Set<PermitId>>();
  const upstreamByPermit = new Map<PermitId, UpstreamId>();

  function leastLoadedUpstream(
    exclude: readonly UpstreamId[],
  ): UpstreamId | undefined {
    let best: UpstreamId | undefined;
    let lowestJobCount = options.jobsPerUpstream;
    for (const [id, permits] of permitsByUpstream) {
      if (exclude.includes(id) || permits.size >= lowestJobCount) continue;
      best = id;
      lowestJobCount = permits.size;
    }
    return best;
  }

  function grant(request: AcquireRequest, upstreamId: UpstreamId) {
    const permitId = options.createPermitId();
    permitsByUpstream.get(upstreamId)?.add(permitId);
    upstreamByPermit.set(permitId, upstreamId);
    const {holder, requestId, attempt} = request;
    return {
      kind: 'grant',
      holder,
      requestId,
      attempt,
      permitId,
      upstreamId,
    } as const;
  }

  function dispatch(): SchedulerEffect[] {
    const effects: SchedulerEffect[] = [];
    for (let next = queue[0]; next !== undefined; next = queue[0]) {
      const upstreamId = leastLoadedUpstream(next.exclude);
      if (upstreamId === undefined) break;
      queue.shift();
      effects.push(grant(next, upstreamId));
    }
    return effects;
  }

  function setUpstreams(infos: readonly UpstreamInfo[]): SchedulerEffect[] {
    const listed = new Set(infos.map(info => info.id));
    for (const id of permitsByUpstream.keys()) {
      if (!listed.has(id)) permitsByUpstream.delete(id);
    }
    for (const id of listed) {
      if (!permitsByUpstream.has(id)) permitsByUpstream.set(id, new Set());
    }
    return dispatch();
  }

  return {
    acquire: request => {
      queue.push(request);
      return dispatch();
    },
    cancel: (requestId: RequestId) => {
      queue = queue.filter(request => request.requestId !== requestId);
      return [];
    },
    progress: () => [],
    release: (release: PermitRelease) => {
      const upstreamId = upstreamByPermit.get(release.permitId);
      upstreamByPermit.delete(release.permitId);
      if (upstreamId !== undefined) {
        permitsByUpstream.get(upstreamId)?.delete(release.permitId);
      }
      return dispatch();
    },
    setUpstreams,
    tick: () => [],
  };
}
